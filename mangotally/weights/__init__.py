"""The platform's weight store."""
