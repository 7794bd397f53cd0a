"""Tests of mangotally.homes."""
