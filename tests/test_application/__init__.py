"""Tests of whole hosts."""
