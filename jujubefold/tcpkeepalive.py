"""Socket options that make a connection which went silent end by itself."""

import contextlib
import socket

# Time bounds on sent bytes (TCP_USER_TIMEOUT) are left out: Linux also ends a
# connection by it whose receiver is alive and only slow to read.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
)


def enable(transport):
    """Have the system probe a connection and end it when nobody answers.

    Args:
        transport: An asyncio transport; ones without a socket are left.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    for level, name, value in _OPTIONS:
        # A system may lack one; the program's own time bounds hold too.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)
