"""Tests of the links between hosts."""
