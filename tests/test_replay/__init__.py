"""Tests of mangotally.replay."""
