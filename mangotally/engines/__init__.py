"""Model engines."""
