"""Tests of the package operators."""
