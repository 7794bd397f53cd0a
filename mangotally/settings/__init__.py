"""Settings and the operators' two lists, checked on load."""
