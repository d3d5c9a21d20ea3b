"""Eager tasks: coroutines that start and resume without the event loop.

An `asyncio.Task` starts and resumes in the next iteration of the event loop,
which would delay each call by three iterations. Python 3.12 avoids only the
first of them, with `asyncio.eager_task_factory`.
"""

import asyncio

_PENDING = object()


class Waiter:
    """A result awaited by one eager task, resumed when it is set."""

    __slots__ = ('_result', '_resume')

    def __init__(self):
        self._result = _PENDING
        self._resume = None

    def done(self):
        """Return whether the result is set."""
        return self._result is not _PENDING

    def set_result(self, result):
        """Set the result; the awaiting task resumes before this returns."""
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
    """Runs a coroutine that awaits only `Waiter`s and asyncio futures.

    Code that needs `asyncio.current_task`, such as `asyncio.timeout`, must
    be awaited as an asyncio task of its own.

    Args:
        coroutine: Coroutine to run; `start` begins it.
        on_done: Called with this task when the coroutine has ended.
    """

    __slots__ = (
        '_coroutine',
        '_on_done',
        '_awaited',
        '_cancelled',
        '_result',
        '_error',
    )

    def __init__(self, coroutine, on_done):
        self._coroutine = coroutine
        self._on_done = on_done
        self._awaited = None
        self._cancelled = False
        self._result = None
        self._error = None

    @property
    def result(self):
        """Return value of the coroutine."""
        return self._result

    @property
    def error(self):
        """Exception that ended the coroutine, or None."""
        return self._error

    def start(self):
        """Run until the coroutine waits or ends."""
        self._step(self._coroutine.send, None)

    def cancel(self):
        """Raise `asyncio.CancelledError` where the coroutine is waiting."""
        awaited = self._awaited
        if isinstance(awaited, asyncio.Future):
            # False if the future is done: `_resume`, already scheduled, will
            # raise the error.
            self._cancelled = not awaited.cancel()
        elif awaited is not None:
            awaited.call_when_set(None)
            self._step(self._coroutine.throw, asyncio.CancelledError())

    def _step(self, advance, value):
        self._awaited = None
        try:
            awaited = advance(value)
        except StopIteration as stop:
            self._result = stop.value
        except (Exception, asyncio.CancelledError) as error:
            self._error = error
        else:
            self._wait(awaited)
            return
        # Breaks reference cycles, which would keep a call's body in memory
        # until the garbage collector runs.
        on_done, self._on_done = self._on_done, None
        self._coroutine = None
        on_done(self)

    def _wait(self, awaited):
        if isinstance(awaited, Waiter):
            self._awaited = awaited
            awaited.call_when_set(self._resume)
        elif awaited is None:
            # A bare yield, as in `asyncio.sleep(0)`.
            ready = asyncio.get_running_loop().create_future()
            ready.set_result(None)
            self._awaited = ready
            ready.add_done_callback(self._resume)
        else:
            awaited._asyncio_future_blocking = False
            self._awaited = awaited
            awaited.add_done_callback(self._resume)

    def _resume(self, _=None):
        if self._cancelled:
            self._cancelled = False
            self._step(self._coroutine.throw, asyncio.CancelledError())
        else:
            self._step(self._coroutine.send, None)


def spawn(coroutine, on_done):
    """Start a coroutine and return its `EagerTask`.

    Args:
        coroutine: Coroutine to run.
        on_done: Called with the task when the coroutine has ended, possibly
            before this returns.
    """
    task = EagerTask(coroutine, on_done)
    task.start()
    return task
