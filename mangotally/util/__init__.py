"""Helpers shared by all packages."""
