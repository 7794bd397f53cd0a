"""Tests of mangotally.weights."""
