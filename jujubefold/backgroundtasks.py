"""Background tasks of a process, whose failures are never lost."""

import asyncio

_tasks = set()


def spawn(coroutine):
    """Run a coroutine in the background.

    An exception that ends it goes to the event loop's exception handler.

    Args:
        coroutine: What to run.

    Returns:
        The `asyncio.Task`; it is kept alive until it ends.
    """
    task = asyncio.get_running_loop().create_task(coroutine)
    _tasks.add(task)
    task.add_done_callback(_ended)
    return task


def _ended(task):
    _tasks.discard(task)
    if task.cancelled() or task.exception() is None:
        return
    task.get_loop().call_exception_handler(
        {
            'message': 'a background task failed',
            'exception': task.exception(),
            'task': task,
        }
    )


def report_exception(error):
    """Hand an unexpected exception to the loop's exception handler.

    Args:
        error: The exception.
    """
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'the call path broke', 'exception': error}
    )
