"""Tests of mangotally.services."""
