"""TLS contexts whose certificates are re-read when their files change."""

from __future__ import annotations

import asyncio
import logging
import os
import ssl
from typing import TYPE_CHECKING, Self

from mangotally.util import background
from mangotally.util import clock as clock_lib

if TYPE_CHECKING:
    from mangotally.settings import tls

logger = logging.getLogger(__name__)

CHECK_INTERVAL_MS = 5000
_Stamp = tuple[tuple[int, int, int], ...]


def stat_snapshot(paths: tuple[str, ...]) -> _Stamp:
    """Returns what changes when one of some files is replaced."""
    stats = [os.stat(path) for path in paths]
    return tuple(
        (item.st_mtime_ns, item.st_size, item.st_ino) for item in stats
    )


def client_context(ca_file: str | None) -> ssl.SSLContext | None:
    """Returns a context that trusts some authorities, or None.

    Args:
        ca_file: PEM file of the authorities, or None for the default.
    """
    if ca_file is None:
        return None
    return ssl.create_default_context(cafile=ca_file)


class ServerContext:
    """A server's TLS context; entering it watches its files."""

    def __init__(self, settings: tls.Certificate) -> None:
        """Reads the certificate; raises `OSError` if it cannot be read."""
        self._settings = settings
        self._paths = (settings.certificate_file, settings.key_file)
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._stamp: _Stamp | None = None
        self._load()
        self._background = background.BackgroundTasks(self._watch)

    async def __aenter__(self) -> Self:
        """Starts to watch the files."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops to watch the files."""
        await self._background.stop()

    def reload(self) -> bool:
        """Reads the files again if they changed; returns whether it did.

        New connections get the new certificate. Files that cannot be read
        leave the old one in use.
        """
        try:
            if stat_snapshot(self._paths) == self._stamp:
                return False
            self._load()
        except OSError as error:
            logger.error(
                "certificate_unreadable",
                extra={"file": self._paths[0], "reason": str(error)},
            )
            return False
        logger.info("certificate_reloaded", extra={"file": self._paths[0]})
        return True

    def _load(self) -> None:
        stamp = stat_snapshot(self._paths)
        self.context.load_cert_chain(*self._paths)
        self._stamp = stamp

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(CHECK_INTERVAL_MS))
            self.reload()
