"""Stand-ins for the platform, for local runs and tests."""
