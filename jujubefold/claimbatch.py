"""Group commit: many claims in one transaction, many reads in one."""

import asyncio
import dataclasses
import hashlib
import itertools
import math

import expression

from jujubefold import errors
from jujubefold import table

# A timer may fire this much early.
TIMER_SLACK_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced(errors.Failure):
    """The guard of a transaction failed, so nothing was written."""


@dataclasses.dataclass(eq=False, slots=True)
class Pending:
    """A write that waits for its transaction or its outcome.

    Args:
        write: The `table.Write`.
        label: Differs between any two writes that are not the same.
        due: Loop time at which it must leave.
        future: Resolves to `Ok(None)` or an `Error` for this write alone.
    """

    write: table.Write
    label: str
    due: float
    future: asyncio.Future
    sent: bool = False


class Batcher:
    """Collects writes for a short while and sends them together.

    Args:
        rows: The `table.Table`.
        in_flight: Transactions under way at once; while they are, further
            writes gather, so batches grow with load.
        most: Writes in a transaction.
        guard: Returns a `table.Check` that goes first into each
            transaction, or None.
    """

    def __init__(self, rows, in_flight, most, guard=None):
        self._rows = rows
        self._in_flight = in_flight
        self._guard = guard
        self._most = min(most, table.MAX_WRITES - (guard is not None))
        self._queue = []
        self._sending = set()
        self._busy_keys = set()
        self._timer = None
        self._due = math.inf
        self._fenced = False
        self._numbers = itertools.count()

    @property
    def fenced(self):
        """Whether the guard failed once."""
        return self._fenced

    def submit(self, write, label, window):
        """Queue a write.

        Args:
            window: Seconds it may wait for company.

        Returns:
            Its `Pending`.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + window
        pending = Pending(write, label, due, loop.create_future())
        self._queue.append(pending)
        if due < self._due or len(self._queue) == self._most:
            self._due = min(self._due, due)
            self._pump()
        return pending

    def withdraw(self, pending):
        """Take back a write; return whether it was never sent."""
        if pending.sent:
            return False
        self._queue.remove(pending)
        self._due = _earliest(self._queue)
        return True

    def _pump(self):
        """Send what is due, and come back when the next is."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._can_send():
            batch = self._take()
            if not batch:
                # All keys are under way; the end of one pumps again.
                return
            self._start(batch)
        if self._queue and len(self._sending) < self._in_flight:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._due, self._pump)

    def _can_send(self):
        if not self._queue or len(self._sending) >= self._in_flight:
            return False
        now = asyncio.get_running_loop().time()
        is_due = self._due <= now + TIMER_SLACK_S
        return is_due or len(self._queue) >= self._most

    def _take(self):
        batch = []
        keys = set(self._busy_keys)
        for pending in self._queue:
            if pending.write.key not in keys and len(batch) < self._most:
                keys.add(pending.write.key)
                batch.append(pending)
        taken = set(map(id, batch))
        self._queue = [p for p in self._queue if id(p) not in taken]
        self._due = _earliest(self._queue)
        return batch

    def _start(self, batch):
        self._busy_keys.update(pending.write.key for pending in batch)
        for pending in batch:
            pending.sent = True
        task = asyncio.ensure_future(self._send(batch))
        self._sending.add(task)
        task.add_done_callback(lambda done: self._ended(done, batch))

    def _ended(self, task, batch):
        self._sending.discard(task)
        self._busy_keys.difference_update(p.write.key for p in batch)
        if task.cancelled():
            for pending in batch:
                pending.future.cancel()
            return
        if task.exception() is not None:
            for pending in batch:
                _fail(pending, task.exception())
        self._pump()

    async def _send(self, batch):
        while batch:
            result = await self._transact(batch)
            failed = _failed(result)
            if not failed:
                return _tell(batch, result)
            if self._guard is not None:
                if failed[0] == 0:
                    self._fenced = True
                    fenced = Fenced('another owner took over')
                    return _tell(batch, expression.Error(fenced))
                failed = tuple(index - 1 for index in failed)
            _tell([batch[index] for index in failed], result)
            # One key's refusal must not fail the others.
            refused = set(failed)
            batch = [p for n, p in enumerate(batch) if n not in refused]

    async def _transact(self, batch):
        writes = [pending.write for pending in batch]
        if self._guard is not None:
            writes.insert(0, self._guard())
        return await self._rows.transact(writes, self._token(writes, batch))

    def _token(self, writes, batch):
        """Return a token that no other transaction has.

        A repeat within the table client shares it. A later transaction of
        the same writes must not: the rows may have moved on, and the store
        would report the outcome of the first. Labels are unique to this
        process, and for an owner its guard is.
        """
        guard = writes[0] if self._guard is not None else ''
        labels = '\n'.join(pending.label for pending in batch)
        name = f'{next(self._numbers)}\n{guard}\n{labels}'
        return hashlib.sha256(name.encode()).hexdigest()


class ReadBatcher:
    """Collects reads of rows for a short while and makes them together.

    Args:
        rows: The `table.Table`.
        window: Seconds that a read waits for company.
    """

    def __init__(self, rows, window):
        self._rows = rows
        self._window = window
        self._keys = {}
        self._collecting = None

    async def read(self, key):
        """Read one row, as it is after this was called.

        Returns:
            `Ok(table.Row | None)` or `Error(errors.StoreNotRun)`.
        """
        if self._collecting is None:
            self._collecting = asyncio.ensure_future(self._collect())
        self._keys[key] = None
        # A reader that gives up must not end the others' read.
        result = await asyncio.shield(self._collecting)
        return result.map(lambda found: found[key])

    async def _collect(self):
        await asyncio.sleep(self._window)
        keys = tuple(self._keys)
        self._keys = {}
        self._collecting = None
        result = await self._rows.read(keys)
        return result.map(lambda rows: dict(zip(keys, rows)))


def _earliest(queue):
    return min((pending.due for pending in queue), default=math.inf)


def _failed(result):
    if result.is_error():
        if isinstance(result.error, errors.ConditionFailed):
            return result.error.failed
    return ()


def _tell(batch, result):
    for pending in batch:
        if not pending.future.done():
            pending.future.set_result(result)


def _fail(pending, exception):
    if not pending.future.done():
        pending.future.set_exception(exception)
