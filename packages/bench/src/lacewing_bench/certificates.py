"""Make a private authority and certificates for tests."""

from dataclasses import dataclass
from datetime import datetime
from datetime import timedelta
from datetime import UTC
from ipaddress import ip_address
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ec import (
    EllipticCurvePrivateKey,
)
from cryptography.hazmat.primitives.asymmetric.ec import generate_private_key
from cryptography.hazmat.primitives.asymmetric.ec import SECP256R1
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import Encoding
from cryptography.hazmat.primitives.serialization import NoEncryption
from cryptography.hazmat.primitives.serialization import PrivateFormat
from cryptography.x509 import BasicConstraints
from cryptography.x509 import Certificate
from cryptography.x509 import CertificateBuilder
from cryptography.x509 import IPAddress
from cryptography.x509 import Name
from cryptography.x509 import NameAttribute
from cryptography.x509 import random_serial_number
from cryptography.x509 import SubjectAlternativeName
from cryptography.x509.oid import NameOID
from lacewing_common.settings import TlsFiles

_DAYS = 1


@dataclass(frozen=True)
class Authority:
    """Hold an authority that signs certificates for 127.0.0.1."""

    certificate: Certificate
    key: EllipticCurvePrivateKey


def make_authority(name: str) -> Authority:
    """Make a self-signed authority, valid for a day."""
    key = generate_private_key(SECP256R1())
    subject = _name(name)
    constraints = BasicConstraints(ca=True, path_length=0)
    certificate = (
        _builder(subject, subject, key)
        .add_extension(constraints, critical=True)
        .sign(key, SHA256())
    )
    return Authority(certificate, key)


def write_certificate(
    authority: Authority, name: str, directory: Path
) -> TlsFiles:
    """Write a signed certificate, its key and the authority as PEM."""
    key = generate_private_key(SECP256R1())
    names = SubjectAlternativeName([IPAddress(ip_address('127.0.0.1'))])
    certificate = (
        _builder(_name(name), authority.certificate.subject, key)
        .add_extension(names, critical=False)
        .sign(authority.key, SHA256())
    )
    files = TlsFiles(
        certificate=str(directory / f'{name}.pem'),
        key=str(directory / f'{name}.key'),
        authority=str(directory / f'{name}-authority.pem'),
    )
    pem = Encoding.PEM
    Path(files.certificate).write_bytes(certificate.public_bytes(pem))
    Path(files.authority).write_bytes(authority.certificate.public_bytes(pem))
    Path(files.key).write_bytes(
        key.private_bytes(pem, PrivateFormat.PKCS8, NoEncryption())
    )
    return files


def _name(text: str) -> Name:
    return Name([NameAttribute(NameOID.COMMON_NAME, text)])


def _builder(
    subject: Name, issuer: Name, key: EllipticCurvePrivateKey
) -> CertificateBuilder:
    now = datetime.now(UTC)
    return (
        CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(key.public_key())
        .serial_number(random_serial_number())
        .not_valid_before(now - timedelta(days=_DAYS))
        .not_valid_after(now + timedelta(days=_DAYS))
    )
