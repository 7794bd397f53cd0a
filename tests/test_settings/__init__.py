"""Tests of settings and lists."""
