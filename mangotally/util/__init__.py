"""Utilities shared by all packages."""
