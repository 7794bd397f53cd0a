"""Decision logic without I/O: no sockets, event loop or clock reads."""
