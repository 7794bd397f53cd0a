"""Stand-ins for services of the platform, for local runs and tests."""
