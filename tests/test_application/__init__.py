"""Integration tests of complete hosts."""
