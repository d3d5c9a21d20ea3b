"""Decoding: reads encoded input that may come from another writer.

Decoders raise an error for input of the wrong form, another one for input that
nests too deeply, and accept numbers that can't be encoded for other daemons.
Input from outside is decoded here, into types whose numbers are bounded, so
that one odd entry is an invalid value wherever it is read.
"""

import typing

import expression
import msgspec

from jujubefold import errors

# What a decoder raises for input that can't be decoded.
FAULTS = (msgspec.DecodeError, RecursionError, UnicodeError)

MAX_COUNT = 2**63 - 1
# The last millisecond of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999

# Numbers that each format can carry.
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
UnixMilliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]


def decode(decoder, data, where):
    """Decode input from outside.

    Args:
        decoder: A decoder of `msgspec`.
        data: The input as bytes.
        where: What it is, for the error.

    Returns:
        `Ok` of the value, or `Error(errors.Invalid)`.
    """
    try:
        return expression.Ok(decoder.decode(data))
    except FAULTS as error:
        return expression.Error(errors.Invalid(str(error), where))
