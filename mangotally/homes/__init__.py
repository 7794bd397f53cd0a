"""Services of a host for the keys whose home it is.

The home of a key (an organisation, a pool, a partition) is the host that owns
it; rendezvous hashing over the members of the fleet selects it.
"""
