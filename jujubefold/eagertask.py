"""Eager tasks: coroutines that run at once until they have to wait.

An `asyncio.Task` starts and goes on in the next turn of the event loop,
which costs a call three turns more than it needs. Later versions of Python
have `asyncio.eager_task_factory` for the first of them.
"""

import asyncio

_PENDING = object()


class Waiter:
    """A result awaited by one eager task, which goes on as it is set."""

    __slots__ = ('_result', '_resume')

    def __init__(self):
        self._result = _PENDING
        self._resume = None

    def done(self):
        """Return whether the result is set."""
        return self._result is not _PENDING

    def set_result(self, result):
        """Set the result; the task that awaits it runs before this returns."""
        self._result = result
        resume, self._resume = self._resume, None
        if resume is not None:
            resume()

    def call_when_set(self, resume):
        """Call `resume` without arguments once the result is set."""
        self._resume = resume

    def __await__(self):
        if self._result is _PENDING:
            yield self
        return self._result


class EagerTask:
    """Runs a coroutine that awaits waiters, futures and nothing else.

    What needs `asyncio.current_task`, such as `asyncio.timeout`, has to be
    awaited as a task of its own.

    Args:
        coroutine: What to run; `start` begins it.
        ended: Called with this task at the end.
    """

    __slots__ = (
        '_coroutine',
        '_ended',
        '_awaits',
        '_cancelled',
        '_result',
        '_error',
    )

    def __init__(self, coroutine, ended):
        self._coroutine = coroutine
        self._ended = ended
        self._awaits = None
        self._cancelled = False
        self._result = None
        self._error = None

    @property
    def result(self):
        """What the coroutine returned."""
        return self._result

    @property
    def error(self):
        """The exception it ended by, or None."""
        return self._error

    def start(self):
        """Run until the coroutine has to wait or has ended."""
        self._step(self._coroutine.send, None)

    def cancel(self):
        """Raise `asyncio.CancelledError` where the coroutine waits."""
        awaits = self._awaits
        if isinstance(awaits, asyncio.Future):
            # False: it is done, and this task about to go on.
            self._cancelled = not awaits.cancel()
        elif awaits is not None:
            awaits.call_when_set(None)
            self._step(self._coroutine.throw, asyncio.CancelledError())

    def _step(self, advance, value):
        self._awaits = None
        try:
            awaits = advance(value)
        except StopIteration as stop:
            self._result = stop.value
        except (Exception, asyncio.CancelledError) as error:
            self._error = error
        else:
            self._wait(awaits)
            return
        # No cycle is left behind that keeps a call's body until collected.
        ended, self._ended = self._ended, None
        self._coroutine = None
        ended(self)

    def _wait(self, awaits):
        if isinstance(awaits, Waiter):
            self._awaits = awaits
            awaits.call_when_set(self._resume)
        elif awaits is None:
            # A bare yield, as of `asyncio.sleep(0)`.
            ready = asyncio.get_running_loop().create_future()
            ready.set_result(None)
            self._awaits = ready
            ready.add_done_callback(self._resume)
        else:
            awaits._asyncio_future_blocking = False
            self._awaits = awaits
            awaits.add_done_callback(self._resume)

    def _resume(self, _=None):
        if self._cancelled:
            self._cancelled = False
            self._step(self._coroutine.throw, asyncio.CancelledError())
        else:
            self._step(self._coroutine.send, None)


def spawn(coroutine, ended):
    """Start a coroutine and return its `EagerTask`.

    Args:
        coroutine: What to run.
        ended: Called with the task at its end, perhaps before this returns.
    """
    task = EagerTask(coroutine, ended)
    task.start()
    return task
