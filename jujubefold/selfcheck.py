"""Self-check: tests whether this daemon's call port accepts and answers."""

import asyncio

from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import callserver
from jujubefold import hops

INTERVAL_S = 5.0
TIMEOUT_S = 2.0
_ANSWER_LIMIT_BYTES = 64 * 1024


class SelfCheck:
    """Connects to the call port as another daemon would.

    A daemon can answer membership probes while it cannot serve calls, for
    example when it is out of file descriptors. Each check therefore opens a
    new connection.

    Args:
        address: Address of the call port, `ip:port`.
        clock: A `clock.Clock`.
        tls: Client `ssl.SSLContext`, or None for plain text.
    """

    def __init__(self, address, clock, tls=None):
        self._address = address
        self._clock = clock
        self._tls = tls

    async def call_port_answers(self):
        """Return whether any answer arrived within `TIMEOUT_S`."""
        pool = callclient.Pool(
            self._address,
            1,
            self._clock,
            bodymemory.Budget(_ANSWER_LIMIT_BYTES),
            _ANSWER_LIMIT_BYTES,
            self._tls,
        )
        try:
            connection = await pool.acquire(TIMEOUT_S)
            if isinstance(connection, callclient.Failure):
                return False
            result = await self._send_probe(connection)
            return isinstance(result, callserver.Answer)
        finally:
            pool.close()

    async def _send_probe(self, connection):
        # The request names no attempt, so it is refused without side effects.
        headers = [(b'host', self._address.encode())]
        message = callclient.ClientRequest(
            'POST', hops.BAR_PATH.encode(), headers, [], 0
        )
        deadline = self._clock.monotonic() + TIMEOUT_S
        bounds = callclient.ExchangeLimits(deadline, TIMEOUT_S)
        head = callclient.encode_head(message)
        answer = connection.start(message, head, bounds)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await answer
        except TimeoutError:
            return None
