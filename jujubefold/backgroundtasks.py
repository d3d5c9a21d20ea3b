"""Background tasks, whose exceptions go to the event loop's handler."""

import asyncio

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


def report_exception(error):
    """Report an unexpected exception to the event loop's handler.

    Args:
        error: The exception.
    """
    asyncio.get_running_loop().call_exception_handler(
        {
            'message': 'unhandled exception while serving a call',
            'exception': error,
        }
    )
