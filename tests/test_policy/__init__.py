"""Tests of mangotally.policy."""
