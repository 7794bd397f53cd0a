"""TLS settings."""

from __future__ import annotations

import pydantic


class _Strict(pydantic.BaseModel):
    """Settings that refuse unknown fields."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Certificate(_Strict):
    """A certificate of this host, reloaded when its file changes.

    Attributes:
        certificate_file: PEM file with the certificate and its chain.
        key_file: PEM file with the private key.
    """

    certificate_file: str
    key_file: str


class HostsTls(Certificate):
    """Mutual TLS between the hosts of a fleet.

    Attributes:
        ca_file: PEM file of the authorities that sign the certificates of
            hosts and no others.
        name: DNS name that every host's certificate carries.
    """

    ca_file: str
    name: str = "host.mangotally"


class TlsSettings(_Strict):
    """TLS of all connections of a host.

    Attributes:
        hosts: Mutual TLS between hosts; may be omitted on the loopback.
        callers: Certificate for callers; None if a balancer terminates TLS.
        operators: Certificate for operators.
        targets_ca_file: PEM file of the authorities trusted for targets,
            or None for those of the system.
        platform_ca_file: The same for the platform's log and host list.
    """

    hosts: HostsTls | None = None
    callers: Certificate | None = None
    operators: Certificate | None = None
    targets_ca_file: str | None = None
    platform_ca_file: str | None = None
