"""Plain services."""
