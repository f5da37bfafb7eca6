"""Certificates for tests of mutual TLS."""

from __future__ import annotations

import datetime
import ipaddress
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID


class CertificateAuthority:
    """A certificate authority that issues certificates for loopback.

    Parameters
    ----------
    folder : Path
        Folder for the certificate and key files.
    name : str
        Name of the authority.
    """

    def __init__(self, folder: Path, name: str) -> None:
        self._folder = folder
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        builder = _begin_certificate(name, name, self._key)
        constraint = x509.BasicConstraints(ca=True, path_length=0)
        builder = builder.add_extension(constraint, critical=True)
        self._certificate = builder.sign(self._key, hashes.SHA256())
        self.path = folder / f"{name}.pem"
        self.path.write_bytes(_encode(self._certificate))

    def issue(self, host: str) -> dict[str, str]:
        """Write a host's certificate and key; return its section `tls`."""
        key = ec.generate_private_key(ec.SECP256R1())
        address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
        certificate = (
            _begin_certificate(host, self._name, key)
            .add_extension(x509.SubjectAlternativeName([address]), False)
            .sign(self._key, hashes.SHA256())
        )
        prefix = f"{host}-{self._name}"
        (self._folder / f"{prefix}.pem").write_bytes(_encode(certificate))
        (self._folder / f"{prefix}.key").write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return {
            "certificate": f"{prefix}.pem",
            "key": f"{prefix}.key",
            "authority": self.path.name,
        }


def _begin_certificate(
    subject: str, issuer: str, key: ec.EllipticCurvePrivateKey
) -> x509.CertificateBuilder:
    now = datetime.datetime.now(datetime.UTC)
    day = datetime.timedelta(days=1)
    return (
        x509.CertificateBuilder()
        .subject_name(_build_name(subject))
        .issuer_name(_build_name(issuer))
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - day)
        .not_valid_after(now + day)
    )


def _build_name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def _encode(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
