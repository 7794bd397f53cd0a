"""Tests of mangotally.engines."""
