"""Background tasks, whose exceptions go to the event loop's handler."""

import asyncio
import os
import traceback

# Frames of an exception's traceback that are logged.
LOGGED_FRAMES = 4

_tasks = set()


def spawn(coroutine):
    """Run a coroutine as a background task.

    An exception that it raises goes to the event loop's exception handler.

    Args:
        coroutine: Coroutine to run.

    Returns:
        The `asyncio.Task`, which is referenced here until it ends.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_on_done)
    return task


def _on_done(task):
    _tasks.discard(task)
    if task.cancelled() or task.exception() is None:
        return
    task.get_loop().call_exception_handler(
        {
            'message': 'unhandled exception in a background task',
            'exception': task.exception(),
            'task': task,
        }
    )


def report_exception(error, during='serving a call'):
    """Report an unexpected exception to the event loop's handler.

    Args:
        error: The exception.
        during: What it interrupted, for the message.
    """
    asyncio.get_running_loop().call_exception_handler(
        {
            'message': f'unhandled exception while {during}',
            'exception': error,
        }
    )


def raised_at(error):
    """Return where an exception was raised, innermost frame first.

    No source file is read, so that logging never waits for a disk.

    Args:
        error: The exception, or None.

    Returns:
        List of texts such as `link.py:198 data_received`.
    """
    if error is None:
        return []
    places = [
        f'{os.path.basename(frame.f_code.co_filename)}:{line} '
        f'{frame.f_code.co_name}'
        for frame, line in traceback.walk_tb(error.__traceback__)
    ]
    return places[::-1][:LOGGED_FRAMES]


def run_guarded(function, *args):
    """Call a function; an exception is reported and does not propagate.

    Periodic work is made of such calls, so that an error in one part neither
    ends the others nor the period.

    Args:
        function: What to call.
        args: Its arguments.
    """
    try:
        function(*args)
    except Exception as error:
        report_exception(error, 'doing periodic work')
