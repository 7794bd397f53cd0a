"""Randomized faults against real entry processes; see docs/design/soak.md."""
