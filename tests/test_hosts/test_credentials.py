"""Tests of mutual TLS between hosts."""

from __future__ import annotations

import pathlib
import shutil
import tempfile
import unittest
from typing import TYPE_CHECKING

from returns import result

from mangotally.hosts import credentials, link, messages, router
from mangotally.settings import tls
from mangotally.standins import platform
from tests import certificates

if TYPE_CHECKING:
    from mangotally import errors

TIMEOUT_MS = 5000


class CredentialsTest(unittest.IsolatedAsyncioTestCase):
    """A server and links with all kinds of certificates."""

    async def asyncSetUp(self) -> None:
        """Starts a host's server with a good certificate."""
        found = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(found)
        self.authority = certificates.Authority(self.directory, "fleet")
        self.files = self.authority.sign("server")
        handlers = router.Router()
        handlers.add_unary(messages.Done, self.answer)
        self.address = f"127.0.0.1:{platform.free_ports(1)[0]}"
        server = link.Server(handlers, self.address, self.shown_by(self.files))
        await self.enterAsyncContext(server)

    async def answer(
        self, message: messages.Done
    ) -> errors.Outcome[messages.Done]:
        """Answers a call."""
        return result.Success(message)

    def shown_by(
        self, files: certificates.CertificateFiles, ca_file: str | None = None
    ) -> credentials.HostCredentials:
        """Returns a host's credentials from files."""
        return credentials.HostCredentials(
            tls.HostsTls(
                certificate_file=files.certificate_file,
                key_file=files.key_file,
                ca_file=ca_file or self.authority.file,
            )
        )

    async def call(
        self, shown: credentials.HostCredentials | None
    ) -> errors.Outcome[messages.Done]:
        """Makes one call over a new link."""
        async with link.Link(self.address, shown) as found:
            return await link.first(found.stream(messages.Done()), TIMEOUT_MS)

    async def test_host_of_the_fleet(self) -> None:
        """A host with a certificate of the fleet is served."""
        shown = self.shown_by(self.authority.sign("other"))
        self.assertEqual(
            await self.call(shown), result.Success(messages.Done())
        )

    async def test_strangers(self) -> None:
        """All others are refused, and the log says so."""
        stranger = certificates.Authority(self.directory, "stranger")
        for shown in (
            self.shown_by(stranger.sign("a")),
            self.shown_by(stranger.sign("b"), stranger.file),
            self.shown_by(self.authority.sign("c", expired=True)),
            self.shown_by(self.authority.sign("d", name="service.other")),
            None,
        ):
            with self.assertLogs("mangotally.hosts.link", "WARNING") as logs:
                outcome = await self.call(shown)
            self.assertIsInstance(outcome, result.Failure)
            self.assertIn("link_failed", str(logs.output))

    async def test_server_with_an_expired_certificate(self) -> None:
        """A host does not talk to it."""
        self.authority.sign("server", expired=True)
        with self.assertLogs("mangotally.hosts", "WARNING"):
            outcome = await self.call(
                self.shown_by(self.authority.sign("other"))
            )
        self.assertIsInstance(outcome, result.Failure)

    async def test_changed_files_are_read_again(self) -> None:
        """New connections follow a replaced certificate and authority."""
        successor = certificates.Authority(self.directory, "successor")
        shown = self.shown_by(successor.sign("new"), successor.file)
        with self.assertLogs("mangotally.hosts", "WARNING"):
            refused = await self.call(shown)
        self.assertIsInstance(refused, result.Failure)
        successor.sign("server")
        shutil.copyfile(successor.file, self.authority.file)
        self.assertEqual(
            await self.call(shown), result.Success(messages.Done())
        )
