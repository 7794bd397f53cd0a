"""Services that a host provides for the keys it is home of."""
