"""Self-check: whether this daemon's own call port still answers."""

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

    A daemon may answer probes while it serves nothing: out of file
    descriptors, say. Each check opens a connection, so that this shows.

    Args:
        address: The call port, `ip:port`.
        clock: A `clock.Clock`.
        tls: `ssl.SSLContext` of a client, or None.
    """

    def __init__(self, address, clock, tls=None):
        self._address = address
        self._clock = clock
        self._tls = tls

    async def passes(self):
        """Return whether an answer came in time, whatever it says."""
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
            result = await self._ask(connection)
            return isinstance(result, callserver.Answer)
        finally:
            pool.close()

    async def _ask(self, connection):
        # It names no attempt, so that it is refused and changes nothing.
        headers = [(b'host', self._address.encode())]
        message = callclient.ClientRequest(
            'POST', hops.BAR_PATH.encode(), headers, [], 0
        )
        deadline = self._clock.monotonic() + TIMEOUT_S
        bounds = callclient.ExchangeLimits(deadline, TIMEOUT_S)
        head = callclient.encode_head(message)
        answered = connection.start(message, head, bounds)
        try:
            async with asyncio.timeout(TIMEOUT_S):
                return await answered
        except TimeoutError:
            return None
