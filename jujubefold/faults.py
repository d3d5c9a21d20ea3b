"""Fault injection: store wrappers that fail on demand, for tests."""

import asyncio
import dataclasses
import enum

import expression

from jujubefold import errors
from jujubefold import objectstore
from jujubefold import table


class Mode(enum.StrEnum):
    """Fault applied to a store call.

    `DOWN` fails before the call has any effect. `SLOW` delays the call and
    then performs it. `LOST_BEFORE` loses the request and `LOST_AFTER` the
    answer. `LATE` reports a lost answer, and performs the call later.
    """

    NONE = 'none'
    DOWN = 'down'
    SLOW = 'slow'
    LOST_BEFORE = 'lost-before'
    LOST_AFTER = 'lost-after'
    LATE = 'late'


@dataclasses.dataclass(slots=True)
class InjectedFault:
    """The fault that is currently injected into one store.

    Args:
        mode: Fault applied to calls.
        seconds: Delay of `SLOW` and `LATE`.
        count: Remaining calls until the fault is cleared; None for no limit.
    """

    mode: Mode = Mode.NONE
    seconds: float = 0.0
    count: int | None = None

    def set(self, mode, seconds=0.0, count=None):
        """Replace the fault."""
        self.mode = mode
        self.seconds = seconds
        self.count = count

    def take(self):
        """Count one call and return its `(mode, seconds)`."""
        if self.count == 0:
            self.set(Mode.NONE)
        if self.count is not None:
            self.count -= 1
        return self.mode, self.seconds


class _FaultyStore:
    """Performs calls of a wrapped store with its injected fault."""

    def __init__(self, inner, fault):
        self._inner = inner
        self._faults = fault
        self._delayed_tasks = set()

    async def _write(self, call):
        mode, seconds = self._faults.take()
        match mode:
            case Mode.DOWN:
                return _store_down()
            case Mode.LOST_BEFORE:
                return _answer_lost()
            case Mode.LOST_AFTER:
                await call()
                return _answer_lost()
            case Mode.LATE:
                self._run_later(call, seconds)
                return _answer_lost()
            case Mode.SLOW:
                await asyncio.sleep(seconds)
        return await call()

    async def _read(self, call):
        mode, seconds = self._faults.take()
        if mode is Mode.SLOW:
            await asyncio.sleep(seconds)
        elif mode is not Mode.NONE:
            return _store_down()
        return await call()

    def _run_later(self, call, seconds):
        async def run_delayed():
            await asyncio.sleep(seconds)
            await call()

        task = asyncio.ensure_future(run_delayed())
        self._delayed_tasks.add(task)
        task.add_done_callback(self._delayed_tasks.discard)


class FaultyTable(_FaultyStore, table.Table):
    """A table with fault injection.

    Args:
        inner: The `table.Table` that holds the rows.
        fault: An `InjectedFault`, changed by the test at any time.
    """

    async def transact(self, writes, token=''):
        return await self._write(lambda: self._inner.transact(writes, token))

    async def read(self, keys):
        return await self._read(lambda: self._inner.read(keys))

    async def scan(self, table, after='', limit=100):
        return await self._read(lambda: self._inner.scan(table, after, limit))


class FaultyObjects(_FaultyStore, objectstore.ObjectStore):
    """An object store with fault injection.

    Args:
        inner: The `objectstore.ObjectStore` that holds the blobs.
        fault: An `InjectedFault`, changed by the test at any time.
    """

    async def put(self, data):
        return await self._write(lambda: self._inner.put(data))

    async def get(self, digest):
        return await self._read(lambda: self._inner.get(digest))

    async def delete(self, digest):
        return await self._write(lambda: self._inner.delete(digest))

    async def list_blobs(self):
        return await self._read(self._inner.list_blobs)


def _store_down():
    return expression.Error(
        errors.StoreNotRun('injected fault: the store is down')
    )


def _answer_lost():
    return expression.Error(
        errors.StoreOutcomeUnknown('injected fault: the answer was lost')
    )
