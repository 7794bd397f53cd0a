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
    """Connections with valid, foreign and expired certificates."""

    async def asyncSetUp(self) -> None:
        """Starts the server of a host with a valid certificate."""
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = pathlib.Path(directory)
        self.authority = certificates.Authority(self.directory, "fleet")
        self.files = self.authority.sign("server")
        handlers = router.Router()
        handlers.add_unary(messages.Done, self.echo)
        self.address = f"127.0.0.1:{platform.free_ports(1)[0]}"
        server = link.Server(
            handlers, self.address, self.credentials_from(self.files)
        )
        await self.enterAsyncContext(server)

    async def echo(
        self, message: messages.Done
    ) -> errors.Outcome[messages.Done]:
        """Returns the message unchanged."""
        return result.Success(message)

    def credentials_from(
        self, files: certificates.CertificateFiles, ca_file: str | None = None
    ) -> credentials.HostCredentials:
        """Returns the credentials of a host with some certificate files."""
        return credentials.HostCredentials(
            tls.HostsTls(
                certificate_file=files.certificate_file,
                key_file=files.key_file,
                ca_file=ca_file or self.authority.file,
            )
        )

    async def call(
        self, own_credentials: credentials.HostCredentials | None
    ) -> errors.Outcome[messages.Done]:
        """Makes a call over a new link."""
        async with link.Link(self.address, own_credentials) as client:
            return await link.first_answer(
                client.stream(messages.Done()), TIMEOUT_MS
            )

    async def test_fleet_certificate_is_accepted(self) -> None:
        """A host with a certificate from the fleet's authority is served."""
        own_credentials = self.credentials_from(self.authority.sign("other"))
        self.assertEqual(
            await self.call(own_credentials), result.Success(messages.Done())
        )

    async def test_other_certificates_are_refused(self) -> None:
        """Connections without a valid certificate fail and are logged."""
        foreign = certificates.Authority(self.directory, "stranger")
        for own_credentials in (
            self.credentials_from(foreign.sign("a")),
            self.credentials_from(foreign.sign("b"), foreign.file),
            self.credentials_from(self.authority.sign("c", expired=True)),
            self.credentials_from(
                self.authority.sign("d", name="service.other")
            ),
            None,
        ):
            with self.assertLogs("mangotally.hosts.link", "WARNING") as logs:
                outcome = await self.call(own_credentials)
            self.assertIsInstance(outcome, result.Failure)
            self.assertIn("link_failed", str(logs.output))

    async def test_expired_server_certificate_is_refused(self) -> None:
        """A host does not connect to a server with an expired certificate."""
        self.authority.sign("server", expired=True)
        with self.assertLogs("mangotally.hosts", "WARNING"):
            outcome = await self.call(
                self.credentials_from(self.authority.sign("other"))
            )
        self.assertIsInstance(outcome, result.Failure)

    async def test_changed_files_are_reloaded(self) -> None:
        """New connections use a replaced certificate and authority."""
        successor = certificates.Authority(self.directory, "successor")
        own_credentials = self.credentials_from(
            successor.sign("new"), successor.file
        )
        with self.assertLogs("mangotally.hosts", "WARNING"):
            refused = await self.call(own_credentials)
        self.assertIsInstance(refused, result.Failure)
        successor.sign("server")
        shutil.copyfile(successor.file, self.authority.file)
        self.assertEqual(
            await self.call(own_credentials), result.Success(messages.Done())
        )
