"""Documents: the compressed form of configurations, with bounds."""

import struct

import expression
import zstandard

from jujubefold import errors

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_COMPRESSED_BYTES = 2 * 1024 * 1024
_LEVEL = 9
# A zstandard frame that decoders skip, RFC 8878 section 3.1.2.
_SKIPPABLE = struct.Struct('<II')
_SKIPPABLE_MAGIC = 0x184D2A50


def compress(document):
    """Return the zstandard form of canonical bytes."""
    return zstandard.ZstdCompressor(level=_LEVEL).compress(document)


def named(data, name):
    """Return compressed bytes that are unlike those of any other name.

    Args:
        data: What `compress` returned.
        name: Text put behind it, which `decompress` skips.
    """
    text = name.encode()
    return data + _SKIPPABLE.pack(_SKIPPABLE_MAGIC, len(text)) + text


def decompress(data):
    """Return the canonical bytes in their zstandard form.

    Args:
        data: Bytes from another daemon or the store, not trusted.

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
