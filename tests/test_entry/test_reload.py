"""Reload signal while a host starts."""

from __future__ import annotations

import importlib
import signal
import sys
import unittest


class ReloadTest(unittest.TestCase):
    """SIGHUP that arrives before the settings are read."""

    def test_a_reload_does_not_terminate_a_starting_host(self) -> None:
        previous = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        sys.modules.pop("mangotally.entry.__main__", None)
        importlib.import_module("mangotally.entry.__main__")
        self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)
