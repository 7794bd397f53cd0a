"""Soak test: random faults in real processes; see docs/design/soak.md."""
