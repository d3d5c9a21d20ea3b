"""TCP keepalive: detects connections whose other end stopped answering."""

import contextlib
import socket

# TCP_USER_TIMEOUT is not set: with it, Linux also closes a connection whose
# receiver is alive but slow to read.
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
    """Enable keepalive, which closes the connection if no probe is answered.

    Args:
        transport: An asyncio transport; without a socket, nothing is done.
    """
    sock = transport.get_extra_info('socket')
    if sock is None:
        return
    for level, name, value in _OPTIONS:
        # A platform may lack an option; the callers' timeouts still apply.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, name, value)
