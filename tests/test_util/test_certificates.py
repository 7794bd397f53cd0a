"""Tests of TLS on the ports for hosts, callers and operators."""

from __future__ import annotations

import pathlib
import tempfile
import unittest

import aiohttp

from mangotally.settings import host, loader, tls
from mangotally.util import certificates
from tests import certificates as test_certificates
from tests import fleet as fleet_lib

EXAMPLES = pathlib.Path(__file__).resolve().parents[2] / "examples"


class TlsTest(unittest.IsolatedAsyncioTestCase):
    """Complete hosts with TLS on all ports."""

    async def asyncSetUp(self) -> None:
        """Creates a certificate authority and a certificate."""
        found = self.enterContext(tempfile.TemporaryDirectory())
        self.authority = test_certificates.Authority(pathlib.Path(found), "ca")
        self.files = self.authority.sign("host")

    def settings(self) -> tls.TlsSettings:
        """Returns settings that enable TLS on all ports."""
        fields = {
            "certificate_file": self.files.certificate_file,
            "key_file": self.files.key_file,
        }
        return tls.TlsSettings(
            hosts=tls.HostsTls(ca_file=self.authority.file, **fields),
            callers=tls.Certificate(**fields),
            operators=tls.Certificate(**fields),
        )

    async def test_fleet(self) -> None:
        """Calls succeed over TLS; plain HTTP is refused."""
        fleet = fleet_lib.Fleet(hosts=2)
        fleet.local.platform.tls = self.settings()
        context = certificates.client_context(self.authority.file)
        assert context is not None
        connector = aiohttp.TCPConnector(ssl=context)
        async with fleet, aiohttp.ClientSession(connector=connector) as client:
            fleet.session = client
            program = await fleet.open_program()
            for turn, entry in ((1, 0), (2, 1), (3, 0)):
                status, answer = await fleet.turn(program, turn, "x", entry)
                self.assertEqual(status, 200, answer)
            settings = fleet.local.hosts[0].settings
            url = f"https://127.0.0.1:{settings.effective_operator_port}/admin/keys"
            async with client.get(url) as response:
                self.assertEqual(response.status, 401)
            with (
                self.assertLogs("asyncio", "ERROR"),
                self.assertRaises(aiohttp.ClientError),
            ):
                await client.get(url.replace("https:", "http:"))

    def test_reload(self) -> None:
        """Replaced files are loaded; unreadable ones are ignored."""
        fields = self.settings().callers
        assert fields is not None
        context = certificates.ServerContext(fields)
        self.assertFalse(context.reload())
        self.authority.sign("host")
        with self.assertLogs("mangotally.util.certificates", "INFO"):
            self.assertTrue(context.reload())
        pathlib.Path(fields.certificate_file).write_text("none")
        with self.assertLogs("mangotally.util.certificates", "ERROR"):
            self.assertFalse(context.reload())

    def test_connections_without_tls_only_on_the_loopback(self) -> None:
        """Settings with another address must configure tls.hosts."""
        loaded = loader.load(
            host.HostSettings,
            EXAMPLES / "settings.yaml",
            {"address": "10.0.0.1"},
        )
        self.assertIn("tls.hosts is missing", loaded.failure())
