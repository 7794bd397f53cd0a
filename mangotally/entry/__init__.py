"""Entry hosts: they forward callers' requests to targets of any service."""
