"""Replays recorded traces through the scheduling policy."""
