"""TLS contexts that reload their certificates when the files change."""

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
_StatSnapshot = tuple[tuple[int, int, int], ...]


def stat_snapshot(paths: tuple[str, ...]) -> _StatSnapshot:
    """Returns a value that changes when one of the files is replaced."""
    stats = [os.stat(path) for path in paths]
    return tuple(
        (item.st_mtime_ns, item.st_size, item.st_ino) for item in stats
    )


def client_context(ca_file: str | None) -> ssl.SSLContext | None:
    """Returns a context that trusts the given certificate authorities.

    Args:
        ca_file: PEM file with the authorities; if None, None is returned, so
            that the default context is used.
    """
    if ca_file is None:
        return None
    return ssl.create_default_context(cafile=ca_file)


class ServerContext:
    """A server's TLS context that watches its certificate files.

    The files are watched while the context manager is entered.
    """

    def __init__(self, settings: tls.Certificate) -> None:
        """Reads the certificate; raises `OSError` if it cannot be read."""
        self._settings = settings
        self._paths = (settings.certificate_file, settings.key_file)
        self.context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.context.minimum_version = ssl.TLSVersion.TLSv1_2
        self._loaded_snapshot: _StatSnapshot | None = None
        self._load()
        self._background = background.BackgroundTasks(self._watch)

    async def __aenter__(self) -> Self:
        """Starts watching the files."""
        self._background.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops watching the files."""
        await self._background.stop()

    def reload(self) -> bool:
        """Reloads the files if they have changed; returns whether it did.

        New connections use the new certificate. If the files cannot be
        read, the old certificate stays in use.
        """
        try:
            if stat_snapshot(self._paths) == self._loaded_snapshot:
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
        snapshot = stat_snapshot(self._paths)
        self.context.load_cert_chain(*self._paths)
        self._loaded_snapshot = snapshot

    async def _watch(self) -> None:
        while True:
            await asyncio.sleep(clock_lib.to_seconds(CHECK_INTERVAL_MS))
            self.reload()
