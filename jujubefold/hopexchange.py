"""Hop exchange: sends a request over a pool of connections to a daemon."""

import dataclasses

from jujubefold import callclient
from jujubefold import callgate
from jujubefold import calls
from jujubefold import callserver
from jujubefold import errors

# Connections tried for one request that turn out to be closing already.
MAX_CLOSING_CONNECTIONS = 3

_NOT_SENT = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.PEER_LOST,
    callgate.RETRY_AFTER_S,
    'the request could not be sent to the other daemon',
)
_NOT_SENT_IN_TIME = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.DEADLINE,
    detail='the deadline passed before a connection to the other daemon was '
    'free',
)


async def send(pool, message, head, bounds, deadline, clock):
    """Send a request over an idle or new connection of a pool.

    The other daemon may close a connection between its release and its next
    use here. Nothing was sent then, so another connection is taken.

    Args:
        pool: A `callclient.Pool`.
        message: A `callclient.ClientRequest`.
        head: The message's `callclient.encode_head`.
        bounds: `callclient.ExchangeLimits`.
        deadline: Monotonic seconds until which to wait for a connection.
        clock: A `clock.Clock`.

    Returns:
        A `callserver.Answer` or a `callclient.Failure`.
    """
    for _ in range(MAX_CLOSING_CONNECTIONS):
        connection = pool.take_idle()
        if connection is None:
            left = deadline - clock.monotonic()
            connection = await pool.acquire(max(0.0, left))
            if isinstance(connection, callclient.Failure):
                return connection
        result = await callclient.exchange(connection, message, head, bounds)
        if isinstance(result, callserver.Answer) or result.sent:
            break
    return result


def unsent_refusal(failure, deadline, now):
    """Return the `calls.Refusal` of a request that was not sent.

    Args:
        failure: The `callclient.Failure`, whose `sent` is False.
        deadline: Monotonic seconds at which the caller stops waiting.
        now: Monotonic seconds.
    """
    refusal = _NOT_SENT_IN_TIME if now >= deadline else _NOT_SENT
    detail = f'{refusal.detail}: {failure.detail}'
    return dataclasses.replace(refusal, detail=detail)
