"""Decisions as pure code: no sockets, no loop and no clock reads."""
