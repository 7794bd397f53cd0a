"""Tests of the package mangotally.log."""
