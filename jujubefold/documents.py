"""Documents: the compressed form of configurations, with bounds."""

import expression
import zstandard

from jujubefold import errors

MAX_DOCUMENT_BYTES = 8 * 1024 * 1024
MAX_COMPRESSED_BYTES = 2 * 1024 * 1024
_LEVEL = 9


def compress(document):
    """Return the zstandard form of canonical bytes."""
    return zstandard.ZstdCompressor(level=_LEVEL).compress(document)


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
