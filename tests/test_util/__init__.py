"""Tests of the shared utilities."""
