"""Communication between the hosts of a fleet."""
