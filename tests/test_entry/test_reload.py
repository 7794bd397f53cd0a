"""Reload signal while a host starts."""

from __future__ import annotations

import gc
import importlib
import os
import signal
import sys
import unittest
from typing import Self

from mangotally.commands import process


class ReloadTest(unittest.TestCase):
    """SIGHUP that arrives before the settings are read."""

    def test_a_reload_does_not_terminate_a_starting_host(self) -> None:
        previous = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        self.addCleanup(gc.enable)
        sys.modules.pop("mangotally.entry.__main__", None)
        importlib.import_module("mangotally.entry.__main__")
        self.assertIs(signal.getsignal(signal.SIGHUP), signal.SIG_IGN)


class _Service:
    """Asks for its own stop once it has started."""

    def __init__(self) -> None:
        self.collects: list[bool] = []

    async def __aenter__(self) -> Self:
        self.collects.append(gc.isenabled())
        os.kill(os.getpid(), signal.SIGTERM)
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self.collects.append(gc.isenabled())


class GarbageCollectorTest(unittest.TestCase):
    """Collections begin when a host has started, not during its imports."""

    def test_collections_begin_after_the_start(self) -> None:
        self.addCleanup(gc.unfreeze)
        self.addCleanup(gc.enable)
        sys.modules.pop("mangotally.entry.__main__", None)
        previous = signal.getsignal(signal.SIGHUP)
        self.addCleanup(signal.signal, signal.SIGHUP, previous)
        importlib.import_module("mangotally.entry.__main__")
        service = _Service()
        process.run_until_stopped(lambda: service)
        self.assertEqual(service.collects, [False, True])
