"""Tests of mangotally.standins."""
