"""Leaving check: asks an upstream whether it still serves.

A daemon that starts in an outage of the store does not know what upstreams
told an earlier start. An announcement proves little, as it may be late. The
upstream itself knows whether it leaves, and says so at the health path of its
service.
"""

import asyncio
import re

from jujubefold import callclient
from jujubefold.sidecar import instance

# Seconds that one question may take, and between two of them. It may wait for
# a slot or be rejected, like any request.
TIMEOUT_S = 0.5
RETRY_INTERVAL_S = 0.1
MAX_QUESTIONS = 5

# What a request line can carry.
_PATH = re.compile(r'/[!-~]*')
_SERVING = 200
_NOT_SERVING = 503


class LeavingCheck:
    """Asks the upstream over the connections of its gate.

    Args:
        egress: The `egress.Egress`.
        versions: The `versions.Versions`, for the service's health path.
        service: Service of the upstream.
        names: `attempt.HeaderNames`.
        clock: A `clock.Clock`.
    """

    def __init__(self, egress, versions, service, names, clock):
        self._egress = egress
        self._versions = versions
        self._service = service
        self._names = names
        self._clock = clock

    async def ask(self, upstream_id):
        """Ask until there is an answer that tells something.

        Args:
            upstream_id: Id that the upstream announced.

        Returns:
            An `instance.Confirmation`; `UNKNOWN` if it tells nothing.
        """
        for _ in range(MAX_QUESTIONS):
            answer = await self._exchange()
            if answer is not None:
                return self._interpret(answer, upstream_id)
            await asyncio.sleep(RETRY_INTERVAL_S)
        return instance.Confirmation.UNKNOWN

    async def _exchange(self):
        """Return an answer that was given by the upstream itself, or None."""
        service = self._versions.current.mesh.services.get(self._service)
        if service is None or not _PATH.fullmatch(service.health_path):
            return None
        pool = self._egress.pool
        connection = await pool.acquire(TIMEOUT_S)
        if isinstance(connection, callclient.Failure):
            return None
        message = callclient.ClientRequest(
            'GET',
            service.health_path.encode(),
            [(b'host', pool.address.encode())],
            [],
            0,
        )
        deadline = self._clock.monotonic() + TIMEOUT_S
        result = await connection.start(
            message,
            callclient.encode_head(message),
            callclient.ExchangeLimits(deadline, TIMEOUT_S),
        )
        if isinstance(result, callclient.Failure):
            return None
        pool.answer_memory.release(result.memory)
        return None if self._names.not_run in dict(result.headers) else result

    def _interpret(self, answer, upstream_id):
        if answer.status == _NOT_SERVING:
            return instance.Confirmation.LEAVES
        named = dict(answer.headers).get(self._names.upstream)
        if answer.status != _SERVING or named is None:
            # It does not speak of itself, so nothing follows.
            return instance.Confirmation.UNKNOWN
        if named == upstream_id.encode('latin-1'):
            return instance.Confirmation.SERVES
        return instance.Confirmation.LEAVES
