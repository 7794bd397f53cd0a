"""Messages between the hosts of the fleet."""
