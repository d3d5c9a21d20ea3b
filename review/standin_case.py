"""Runs a case: plays it, writes its record and sets the exit status."""

import asyncio
import os
import pathlib
import signal
import sys
import traceback

BROKEN, HELD, NOT_RUN = 1, 0, 2


def main(play, path):
    """Play a case and exit.

    Args:
        play: Coroutine function; called with whether to disturb, it returns
            the exit status, a `fleet.Record` and lines for people.
        path: Path of the case's main file.
    """
    trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        status, record, notes = asyncio.run(_play(play, trouble))
    except (Exception, asyncio.CancelledError, KeyboardInterrupt):
        traceback.print_exc()
        sys.exit(NOT_RUN)
    for note in notes:
        record.add('result', note)
        print(note)
    record.write(pathlib.Path(path).resolve().parent / 'record.txt')
    sys.exit(status)


async def _play(play, trouble):
    """Play a case; a SIGTERM cancels it, so that it ends its processes."""
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    return await play(trouble)
