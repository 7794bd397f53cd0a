"""Clients for model engines."""
