"""Tests of mangotally.hosts."""
