"""Connecting: opens connections within a time limit."""

import asyncio

# Parts of a time limit that are waited one after the other. A stall of this
# process's own event loop uses up one part at most, so that connections which
# the other side accepted meanwhile are still taken.
PARTS = 4


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
