"""Tests of the entry path."""
