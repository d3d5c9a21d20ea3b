"""Reply type shared by the services of the stand-in platform."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """HTTP reply of a service.

    Args:
        status: HTTP status.
        body: Body bytes.
        content_type: Value of the Content-Type header; '' for none.
        rows_written: Number of rows or objects that the call wrote.
    """

    status: int
    body: bytes = b''
    content_type: str = ''
    rows_written: int = 0
