"""Replay of recorded traces through the scheduling policy."""
