"""Documents: compression of configuration documents, with size limits."""

import struct

import expression
import zstandard

from jujubefold import errors

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_COMPRESSED_BYTES = 2 * 1024 * 1024
_COMPRESSION_LEVEL = 9
# A zstandard frame that decoders skip, RFC 8878 section 3.1.2.
_SKIPPABLE = struct.Struct('<II')
_SKIPPABLE_MAGIC = 0x184D2A50


def compress(document):
    """Return canonical JSON bytes compressed with zstandard."""
    return zstandard.ZstdCompressor(level=_COMPRESSION_LEVEL).compress(
        document
    )


def append_name(data, name):
    """Return compressed bytes with a name appended in a skippable frame.

    The same document stored under two names has two content hashes;
    `decompress` ignores the name.

    Args:
        data: Bytes that `compress` returned.
        name: Name to append.
    """
    text = name.encode()
    return data + _SKIPPABLE.pack(_SKIPPABLE_MAGIC, len(text)) + text


def decompress(data):
    """Return the canonical JSON bytes of a compressed document.

    Args:
        data: Untrusted bytes from another daemon or the store.

    Returns:
        `Ok(bytes)` or `Error(errors.Invalid)`.
    """
    try:
        size = zstandard.frame_content_size(data)
        if not 0 <= size <= MAX_DOCUMENT_BYTES:
            reason = f'larger than {MAX_DOCUMENT_BYTES} bytes'
            return expression.Error(errors.Invalid(reason, 'document'))
        return expression.Ok(zstandard.ZstdDecompressor().decompress(data))
    except zstandard.ZstdError as error:
        return expression.Error(errors.Invalid(str(error), 'document'))
