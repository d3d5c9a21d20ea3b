"""In-memory store wrappers that fail on demand, for tests."""

import asyncio
import dataclasses
import enum

import expression

from jujubefold import errors
from jujubefold import objectstore
from jujubefold import table


class Mode(enum.StrEnum):
    """What happens to a store call.

    `DOWN` fails before any effect, `SLOW` waits and then works,
    `LOST_BEFORE` loses the request, `LOST_AFTER` loses the answer, and
    `LATE` reports a lost answer while the request arrives later.
    """

    NONE = 'none'
    DOWN = 'down'
    SLOW = 'slow'
    LOST_BEFORE = 'lost-before'
    LOST_AFTER = 'lost-after'
    LATE = 'late'


@dataclasses.dataclass(slots=True)
class Faults:
    """The fault that is in force for one store.

    Args:
        mode: What happens to calls.
        seconds: How long `SLOW` and `LATE` wait.
        count: Calls left until the fault clears itself; None for no end.
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
        """Return `(mode, seconds)` for the next call."""
        if self.count == 0:
            self.set(Mode.NONE)
        if self.count is not None:
            self.count -= 1
        return self.mode, self.seconds


class _Faulty:
    """Runs calls of the wrapped store under its faults."""

    def __init__(self, inner, faults):
        self._inner = inner
        self._faults = faults
        self._late = set()

    async def _write(self, run):
        mode, seconds = self._faults.take()
        match mode:
            case Mode.DOWN:
                return _not_run()
            case Mode.LOST_BEFORE:
                return _unknown()
            case Mode.LOST_AFTER:
                await run()
                return _unknown()
            case Mode.LATE:
                self._land_later(run, seconds)
                return _unknown()
            case Mode.SLOW:
                await asyncio.sleep(seconds)
        return await run()

    async def _read(self, run):
        mode, seconds = self._faults.take()
        if mode is Mode.SLOW:
            await asyncio.sleep(seconds)
        elif mode is not Mode.NONE:
            return _not_run()
        return await run()

    def _land_later(self, run, seconds):
        async def land():
            await asyncio.sleep(seconds)
            await run()

        task = asyncio.ensure_future(land())
        self._late.add(task)
        task.add_done_callback(self._late.discard)


class FaultyTable(_Faulty, table.Table):
    """A table that fails as its faults say.

    Args:
        inner: The `table.Table` that holds the rows.
        faults: A `Faults`, changed by the test at any time.
    """

    async def transact(self, writes, token=''):
        return await self._write(lambda: self._inner.transact(writes, token))

    async def read(self, keys):
        return await self._read(lambda: self._inner.read(keys))

    async def scan(self, table, after='', limit=100):
        return await self._read(lambda: self._inner.scan(table, after, limit))


class FaultyObjects(_Faulty, objectstore.ObjectStore):
    """An object store that fails as its faults say.

    Args:
        inner: The `objectstore.ObjectStore` that holds the blobs.
        faults: A `Faults`, changed by the test at any time.
    """

    async def put(self, data):
        return await self._write(lambda: self._inner.put(data))

    async def get(self, digest):
        return await self._read(lambda: self._inner.get(digest))

    async def delete(self, digest):
        return await self._write(lambda: self._inner.delete(digest))

    async def list_blobs(self):
        return await self._read(self._inner.list_blobs)


def _not_run():
    return expression.Error(errors.StoreNotRun('the store is down'))


def _unknown():
    return expression.Error(errors.StoreUnknown('the answer was lost'))
