"""Adapter to the platform: its store, record formats and header names."""
