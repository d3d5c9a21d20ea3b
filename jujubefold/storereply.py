"""Replies of the stand-in's services."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """What a service answers.

    Args:
        status: HTTP status.
        rows_written: Rows that the call wrote.
    """

    status: int
    body: bytes = b''
    content_type: str = ''
    rows_written: int = 0
