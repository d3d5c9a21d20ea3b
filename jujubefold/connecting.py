"""Connecting: opens connections within a time limit, and listens for them."""

import asyncio

# Parts of a time limit that are waited one after the other. A stall of this
# process's own event loop uses up one part at most, so that connections which
# the other side accepted meanwhile are still taken.
PARTS = 4
# Connections that may wait to be accepted.
BACKLOG = 1024


def listening_at(bind, listener=None):
    """Return the arguments of `loop.create_server` for where to listen.

    Args:
        bind: `ip:port`; port 0 for any.
        listener: A socket that listens there already, or None.
    """
    if listener is not None:
        return {'sock': listener, 'backlog': BACKLOG}
    host, _, port = bind.rpartition(':')
    return {'host': host, 'port': int(port), 'backlog': BACKLOG}


async def open_within(opening, timeout):
    """Return the transport and protocol of a new connection.

    Args:
        opening: The coroutine of `loop.create_connection`.
        timeout: Seconds.

    Raises:
        TimeoutError: The connection was not open in time.
        OSError: Opening it failed.
    """
    task = asyncio.get_running_loop().create_task(opening)
    try:
        for _ in range(PARTS):
            done, _ = await asyncio.wait({task}, timeout=timeout / PARTS)
            if done:
                return task.result()
    except asyncio.CancelledError:
        _abandon(task)
        raise
    _abandon(task)
    raise TimeoutError


def _abandon(task):
    """Cancel a task that opens a connection, or close what it opened."""
    task.cancel()
    task.add_done_callback(_close_connection)


def _close_connection(task):
    if not task.cancelled() and task.exception() is None:
        task.result()[0].abort()
