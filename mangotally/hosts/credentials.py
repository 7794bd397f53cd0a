"""Mutual TLS between hosts; changed certificate files are reloaded."""

from __future__ import annotations

import logging
import pathlib
from typing import TYPE_CHECKING, Any

import grpc

from mangotally.util import certificates

if TYPE_CHECKING:
    from mangotally.settings import tls

logger = logging.getLogger(__name__)

_SUBJECT_NAMES = "x509_subject_alternative_name"


class HostCredentials:
    """TLS credentials of this host, and its checks of other hosts.

    The certificates of all hosts carry the same DNS name and are signed by
    the fleet's own certificate authority. Both sides of a connection verify
    the name and the signature.
    """

    def __init__(self, settings: tls.HostsTls) -> None:
        """Reads the certificate files.

        Raises:
            OSError: A file cannot be read.
        """
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
        """DNS name that the certificates of all hosts carry."""
        return self._settings.name

    def server_credentials(self) -> grpc.ServerCredentials:
        """Returns server credentials that reload changed files."""
        return grpc.dynamic_ssl_server_credentials(
            self._server_configuration(),
            self._reload_if_changed,
            require_client_authentication=True,
        )

    def channel_credentials(self) -> grpc.ChannelCredentials:
        """Returns credentials for a new connection, read from the files."""
        authority, key, chain = self._read()
        return grpc.ssl_channel_credentials(authority, key, chain)

    def is_trusted(self, auth_context: dict[str, list[bytes]]) -> bool:
        """Returns whether the peer's certificate carries the fleet's name."""
        names = auth_context.get(_SUBJECT_NAMES, [])
        return self.name.encode() in names

    def _server_configuration(self) -> Any:
        authority, key, chain = self._read()
        return grpc.ssl_server_certificate_configuration(
            [(key, chain)], root_certificates=authority
        )

    def _reload_if_changed(self) -> Any:
        try:
            stamp = certificates.stat_snapshot(self._paths)
            if stamp == self._stamp:
                return None
            configuration = self._server_configuration()
        except OSError as error:
            logger.error(
                "certificate_unreadable",
                extra={"file": self._paths[0], "reason": str(error)},
            )
            return None
        self._stamp = stamp
        logger.info("certificate_reloaded", extra={"file": self._paths[0]})
        return configuration

    def _read(self) -> tuple[bytes, bytes, bytes]:
        return (
            pathlib.Path(self._settings.ca_file).read_bytes(),
            pathlib.Path(self._settings.key_file).read_bytes(),
            pathlib.Path(self._settings.certificate_file).read_bytes(),
        )
