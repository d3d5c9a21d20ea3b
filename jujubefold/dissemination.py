"""Dissemination: how an accepted version reaches every daemon."""

import dataclasses

from jujubefold import versions


@dataclasses.dataclass(slots=True)
class DisseminationTable:
    """Versions this daemon holds.

    Args:
        held: The version in force, or None before the first.
    """

    held: versions.Held | None = None


def run(tables, context):
    """Announce, pull and read the head where due.

    Returns:
        Iterator of `effects.Effect`.
    """
    yield from ()
