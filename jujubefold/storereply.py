"""Replies of the stand-in's services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a service answers.

    Args:
        status: HTTP status.
        rows: Rows that the call wrote.
    """

    status: int
    body: bytes = b''
    content_type: str = ''
    rows: int = 0
