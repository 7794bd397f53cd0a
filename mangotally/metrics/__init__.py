"""Metrics of a host."""
