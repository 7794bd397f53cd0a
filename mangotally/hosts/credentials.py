"""Mutual TLS between hosts; certificates are re-read when they change."""

from __future__ import annotations

import logging
import pathlib
from typing import TYPE_CHECKING, Any

import grpc

from mangotally.util import certificates

if TYPE_CHECKING:
    from mangotally.settings import tls

logger = logging.getLogger(__name__)

_NAMES = "x509_subject_alternative_name"


class HostCredentials:
    """What this host shows other hosts and asks of them.

    Every host's certificate carries one DNS name and is signed by the
    fleet's own authority; both sides check both.
    """

    def __init__(self, settings: tls.HostsTls) -> None:
        """Reads the certificate; raises `OSError` if it cannot be read."""
        self._settings = settings
        self._paths = (
            settings.certificate_file,
            settings.key_file,
            settings.ca_file,
        )
        self._stamp = certificates.stat_snapshot(self._paths)
        self._read()

    @property
    def name(self) -> str:
        """DNS name that every host's certificate carries."""
        return self._settings.name

    def server(self) -> grpc.ServerCredentials:
        """Returns credentials that follow the files as they change."""
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(),
            self._fetch,
            require_client_authentication=True,
        )

    def channel(self) -> grpc.ChannelCredentials:
        """Returns credentials for a new connection, from the files now."""
        authority, key, chain = self._read()
        return grpc.ssl_channel_credentials(authority, key, chain)

    def admits(self, auth_context: dict[str, list[bytes]]) -> bool:
        """Returns whether the other side's certificate has the name."""
        names = auth_context.get(_NAMES, [])
        return self.name.encode() in names

    def _server_configuration(self) -> Any:
        authority, key, chain = self._read()
        return grpc.ssl_server_certificate_configuration(
            [(key, chain)], root_certificates=authority
        )

    def _fetch(self) -> Any:
        try:
            stamp = certificates.stat_snapshot(self._paths)
            if stamp == self._stamp:
                return None
            found = self._server_configuration()
        except OSError as error:
            logger.error(
                "certificate_unreadable",
                extra={"file": self._paths[0], "reason": str(error)},
            )
            return None
        self._stamp = stamp
        logger.info("certificate_reloaded", extra={"file": self._paths[0]})
        return found

    def _read(self) -> tuple[bytes, bytes, bytes]:
        return (
            pathlib.Path(self._settings.ca_file).read_bytes(),
            pathlib.Path(self._settings.key_file).read_bytes(),
            pathlib.Path(self._settings.certificate_file).read_bytes(),
        )
