"""A changed settings file while a host starts."""

from __future__ import annotations

import importlib
import signal
import sys
import unittest


class ReloadTest(unittest.TestCase):
    """SIGHUP before the host serves."""

    def test_a_reload_does_not_end_a_host_that_starts(self) -> None:
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, before)
        sys.modules.pop("mangotally.entry.__main__", None)
        importlib.import_module("mangotally.entry.__main__")
        self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)
