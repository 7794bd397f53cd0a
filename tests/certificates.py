"""Certificates for tests."""

from __future__ import annotations

import dataclasses
import datetime
import ipaddress
from typing import TYPE_CHECKING

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec

if TYPE_CHECKING:
    import pathlib

HOST_NAME = "host.mangotally"
DAY = datetime.timedelta(days=1)


@dataclasses.dataclass(frozen=True)
class CertificateFiles:
    """Paths of a certificate and its key."""

    certificate_file: str
    key_file: str


class Authority:
    """A certificate authority."""

    def __init__(self, directory: pathlib.Path, name: str) -> None:
        self._directory = directory
        self._name = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        self._key = ec.generate_private_key(ec.SECP256R1())
        certificate = (
            self._builder(self._name, self._key.public_key(), 1)
            .add_extension(x509.BasicConstraints(True, None), critical=True)
            .sign(self._key, hashes.SHA256())
        )
        path = directory / f"{name}.pem"
        path.write_bytes(_to_pem(certificate))
        self.file = str(path)

    def sign(
        self, file: str, name: str = HOST_NAME, expired: bool = False
    ) -> CertificateFiles:
        """Writes a certificate and its key; returns their paths."""
        key = ec.generate_private_key(ec.SECP256R1())
        subject = x509.Name(
            [x509.NameAttribute(x509.NameOID.COMMON_NAME, name)]
        )
        names = x509.SubjectAlternativeName(
            [
                x509.DNSName(name),
                x509.IPAddress(ipaddress.ip_address("127.0.0.1")),
            ]
        )
        days = -1 if expired else 1
        certificate = (
            self._builder(subject, key.public_key(), days)
            .add_extension(names, critical=False)
            .sign(self._key, hashes.SHA256())
        )
        paths = [self._directory / f"{file}.{kind}" for kind in ("crt", "key")]
        paths[0].write_bytes(_to_pem(certificate))
        paths[1].write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return CertificateFiles(str(paths[0]), str(paths[1]))

    def _builder(
        self, subject: x509.Name, key: ec.EllipticCurvePublicKey, days: int
    ) -> x509.CertificateBuilder:
        now = datetime.datetime.now(datetime.UTC)
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 10 * DAY)
            .not_valid_after(now + days * DAY)
        )


def _to_pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
