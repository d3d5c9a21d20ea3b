"""Certificate authority that issues keys and certificates for tests."""

import datetime
import pathlib

from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography import x509
from cryptography.x509 import oid

from jujubefold import settings
from jujubefold import trust

_VALIDITY = datetime.timedelta(days=2)


class Authority:
    """A certificate authority.

    Args:
        folder: Folder to write the files to.
        name: Common name, and name of its file without the suffix.
    """

    def __init__(self, folder, name='authority'):
        self._folder = pathlib.Path(folder)
        self._name = name
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign(name, self._key.public_key(), True)
        self.path = self._write(f'{name}.pem', _pem(self._certificate))

    def issue(self, name, file=None, daemon=True, operators=()):
        """Write a certificate and its key, and return a `settings.Tls`.

        Args:
            name: Common name.
            file: Name of the files without suffixes; None for `name`.
            daemon: Whether the certificate has the role name of daemons.
            operators: Common names of operators in the returned settings.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(name, key.public_key(), False, daemon)
        file = file or name
        encoded_key = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        return settings.Tls(
            certificate=self._write(f'{file}.crt', _pem(certificate)),
            key=self._write(f'{file}.key', encoded_key),
            authority=self.path,
            operators=operators,
        )

    def _sign(self, name, public_key, is_authority, daemon=False):
        now = datetime.datetime.now(datetime.UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(_name(name))
            .issuer_name(_name(self._name))
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - _VALIDITY)
            .not_valid_after(now + _VALIDITY)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
        )
        if daemon:
            names = x509.SubjectAlternativeName(
                [x509.DNSName(trust.DAEMON_NAME)]
            )
            builder = builder.add_extension(names, False)
        return builder.sign(self._key, hashes.SHA256())

    def _write(self, name, data):
        path = self._folder / name
        path.write_bytes(data)
        return path


def _name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)
