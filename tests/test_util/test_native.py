"""Tests of the logging of lines from native libraries."""

from __future__ import annotations

import os
import sys
import unittest

from mangotally.util import native


class StderrCaptureTest(unittest.IsolatedAsyncioTestCase):
    """File descriptor 2 while a process serves."""

    async def test_lines_become_events(self) -> None:
        """Each line becomes an event, failed handshakes one of their own."""
        before = os.readlink(f"/proc/self/fd/{native.STDERR_FD}")
        python_stderr = sys.stderr
        with self.assertLogs(native.logger, "INFO") as found:
            async with native.StderrCapture():
                os.write(native.STDERR_FD, b"I1 a.cc:1] Got goa")
                os.write(native.STDERR_FD, b"way\n\nE1 b.cc:2] Handshake ")
                os.write(native.STDERR_FD, b"failed with error X\n")
        self.assertEqual(
            [(item.getMessage(), item.levelname) for item in found.records],
            [("native_line", "INFO"), ("tls_handshake_failed", "WARNING")],
        )
        self.assertEqual(
            vars(found.records[0])["text"], "I1 a.cc:1] Got goaway"
        )
        self.assertEqual(vars(found.records[1])["reason"], "with error X")
        after = os.readlink(f"/proc/self/fd/{native.STDERR_FD}")
        self.assertEqual((after, sys.stderr), (before, python_stderr))

    async def test_full_pipe_does_not_block(self) -> None:
        """A write to a full pipe fails at once instead of blocking."""
        with self.assertLogs(native.logger, "INFO"):
            async with native.StderrCapture():
                with self.assertRaises(BlockingIOError):
                    while True:
                        os.write(native.STDERR_FD, b"x" * 1000 + b"\n")
