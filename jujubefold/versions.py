"""Versions: numbered states of the mesh configuration."""

import dataclasses
import hashlib

import msgspec

from jujubefold import mesh


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """An accepted version without its document.

    Args:
        number: 1 for the first accepted version; 0 is the empty document.
        digest: Hex SHA-256 of the canonical document.
        parent_digest: Digest of version `number - 1`.
        patch_id: Identifier chosen by the operator, unique over all versions.
        patch: RFC 6902 patch from the parent, canonical JSON bytes.
        accepted_ms: Milliseconds since the epoch, by the clock of the daemon
            that accepted it; 0 when an older release sent it.
    """

    number: int
    digest: str
    parent_digest: str
    patch_id: str
    patch: bytes
    accepted_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class CompiledVersion:
    """A version with its document, validated and compiled.

    Args:
        version: The accepted version.
        document: Canonical JSON bytes of the configuration.
        mesh: The compiled form that requests are routed with.
    """

    version: Version
    document: bytes
    mesh: mesh.Mesh


SECTIONS = (
    'services',
    'groups',
    'retries',
    'limits',
    'timeouts',
    'headers',
    'tls',
    'routes',
)


def canonical(document):
    """Return the canonical JSON bytes of a document.

    Args:
        document: JSON-compatible value.
    """
    return msgspec.json.encode(document, order='deterministic')


def digest(document_bytes):
    """Return the hex SHA-256 digest of canonical JSON bytes."""
    return hashlib.sha256(document_bytes).hexdigest()


EMPTY_DOCUMENT = canonical({'schema': 1, **{name: {} for name in SECTIONS}})
EMPTY_DIGEST = digest(EMPTY_DOCUMENT)
