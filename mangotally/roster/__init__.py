"""Client of the platform's list of live and leaving hosts and targets."""
