"""Client of the platform's weight store."""
