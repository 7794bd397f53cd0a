"""Adapter: the platform's store, records and names of headers."""
