"""Input files: reading files named by operators, up to a size limit."""

import sys

import expression

from jujubefold import errors

MAX_FILE_BYTES = 8 * 1024 * 1024
STANDARD_INPUT = '-'


def read(path, limit=MAX_FILE_BYTES):
    """Read a file.

    Args:
        path: `pathlib.Path`; `-` for standard input.
        limit: Maximum size in bytes.

    Returns:
        `Ok(bytes)` or `Error(errors.Invalid)` naming the file.
    """
    try:
        data = _read(path, limit + 1)
    except (OSError, ValueError) as error:
        reason = getattr(error, 'strerror', None) or str(error)
        return _invalid(path, f'cannot be read: {reason}')
    if len(data) > limit:
        return _invalid(path, f'larger than {limit} bytes')
    return expression.Ok(data)


def read_text(path, limit=MAX_FILE_BYTES):
    """Read a file of UTF-8 text.

    Args:
        path: As for `read`.
        limit: As for `read`.

    Returns:
        `Ok(str)` or `Error(errors.Invalid)` naming the file and, when it is
        not UTF-8, the position.
    """
    return read(path, limit).bind(lambda data: _text(path, data))


def _read(path, size):
    if str(path) == STANDARD_INPUT:
        return sys.stdin.buffer.read(size)
    with open(path, 'rb') as file:
        return file.read(size)


def _text(path, data):
    try:
        return expression.Ok(data.decode())
    except UnicodeDecodeError as error:
        line = data.count(b'\n', 0, error.start) + 1
        return _invalid(path, f'not UTF-8 at byte {error.start} (line {line})')


def _invalid(path, reason):
    return expression.Error(errors.Invalid(reason, str(path)))
