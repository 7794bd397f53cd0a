"""Tests of mangotally.metrics."""
