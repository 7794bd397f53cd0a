"""The path of a caller's request to a target, for any service."""
