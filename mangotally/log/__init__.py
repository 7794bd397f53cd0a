"""The platform's append-only log service."""
