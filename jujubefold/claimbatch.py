"""Group commit of claim writes, and batched reads of claim rows."""

import asyncio
import dataclasses
import hashlib
import itertools
import math

import expression

from jujubefold import errors
from jujubefold import table

# An event loop timer may fire this much before its time.
TIMER_SLACK_S = 1e-6


@dataclasses.dataclass(frozen=True, slots=True)
class Fenced(errors.Failure):
    """The fencing check of a transaction failed: nothing was written."""


@dataclasses.dataclass(eq=False, slots=True)
class PendingWrite:
    """A write that is queued or whose transaction is under way.

    Args:
        write: The `table.Write`.
        write_id: Text that no different write has; part of the
            transaction's token.
        send_by: Event loop time at which it must be sent.
        future: Resolves to `Ok(None)` or an `Error` for this write alone.
        sent: Whether its transaction was started.
    """

    write: table.Write
    write_id: str
    send_by: float
    future: asyncio.Future
    sent: bool = False


class WriteBatcher:
    """Queues writes for a short time and sends them in one transaction.

    Args:
        rows: The `table.Table`.
        max_in_flight: Maximum number of concurrent transactions. Further
            writes are queued meanwhile, so batches grow with load.
        max_writes: Maximum number of writes in a transaction, the fencing
            check not included.
        fencing_check: Function that returns the `table.Check` which goes
            first into each transaction, or None for no check.
    """

    def __init__(self, rows, max_in_flight, max_writes, fencing_check=None):
        self._rows = rows
        self._max_in_flight = max_in_flight
        self._fencing_check = fencing_check
        self._max_writes = min(
            max_writes, table.MAX_WRITES - (fencing_check is not None)
        )
        self._queue = []
        self._sending = set()
        self._busy_keys = set()
        self._timer = None
        self._next_send_by = math.inf
        self._fenced = False
        self._numbers = itertools.count()

    @property
    def fenced(self):
        """Whether the fencing check of a transaction has failed."""
        return self._fenced

    def submit(self, write, write_id, window):
        """Queue a write.

        Args:
            write: A `table.Write`.
            write_id: As in `PendingWrite`.
            window: Longest time in seconds that it waits to be batched
                while a transaction may start.

        Returns:
            Its `PendingWrite`.
        """
        loop = asyncio.get_running_loop()
        send_by = loop.time() + window
        pending = PendingWrite(write, write_id, send_by, loop.create_future())
        self._queue.append(pending)
        if (
            send_by < self._next_send_by
            or len(self._queue) == self._max_writes
        ):
            self._next_send_by = min(self._next_send_by, send_by)
            self._send_ready()
        return pending

    def withdraw(self, pending):
        """Remove a write from the queue; return False if it was sent."""
        if pending.sent:
            return False
        self._queue.remove(pending)
        self._next_send_by = _earliest(self._queue)
        return True

    def _send_ready(self):
        """Send the batches that are due and set a timer for the next."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        while self._can_send():
            batch = self._take_batch()
            if not batch:
                # All queued keys are in transactions under way; the end of
                # one calls this again.
                return
            self._start_batch(batch)
        if self._queue and len(self._sending) < self._max_in_flight:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(self._next_send_by, self._send_ready)

    def _can_send(self):
        if not self._queue or len(self._sending) >= self._max_in_flight:
            return False
        now = asyncio.get_running_loop().time()
        is_due = self._next_send_by <= now + TIMER_SLACK_S
        return is_due or len(self._queue) >= self._max_writes

    def _take_batch(self):
        batch = []
        keys = set(self._busy_keys)
        for pending in self._queue:
            if pending.write.key not in keys and len(batch) < self._max_writes:
                keys.add(pending.write.key)
                batch.append(pending)
        taken = set(map(id, batch))
        self._queue = [p for p in self._queue if id(p) not in taken]
        self._next_send_by = _earliest(self._queue)
        return batch

    def _start_batch(self, batch):
        self._busy_keys.update(pending.write.key for pending in batch)
        for pending in batch:
            pending.sent = True
        task = asyncio.ensure_future(self._send(batch))
        self._sending.add(task)
        task.add_done_callback(lambda done: self._on_done(done, batch))

    def _on_done(self, task, batch):
        self._sending.discard(task)
        self._busy_keys.difference_update(p.write.key for p in batch)
        if task.cancelled():
            for pending in batch:
                pending.future.cancel()
            return
        if task.exception() is not None:
            for pending in batch:
                _set_exception(pending, task.exception())
        self._send_ready()

    async def _send(self, batch):
        while batch:
            result = await self._transact(batch)
            failed = _failed_indexes(result)
            if not failed:
                return _set_results(batch, result)
            if self._fencing_check is not None:
                if failed[0] == 0:
                    self._fenced = True
                    fenced = Fenced(
                        'another daemon became the owner of the slot'
                    )
                    return _set_results(batch, expression.Error(fenced))
                failed = tuple(index - 1 for index in failed)
            _set_results([batch[index] for index in failed], result)
            # Retry without the refused writes, so that they don't fail the
            # others.
            refused = set(failed)
            batch = [p for n, p in enumerate(batch) if n not in refused]

    async def _transact(self, batch):
        writes = [pending.write for pending in batch]
        if self._fencing_check is not None:
            writes.insert(0, self._fencing_check())
        return await self._rows.transact(writes, self._token(writes, batch))

    def _token(self, writes, batch):
        """Return an idempotency token unique to this transaction.

        A retry by the table client uses the same token. A later
        transaction of the same writes must have another one: the rows may
        have changed, and the store would report the outcome of the first.
        In a daemon that claims for itself the write ids are unique to the
        process; in an owner of a slot the fencing check is.
        """
        fencing_check = writes[0] if self._fencing_check is not None else ''
        write_ids = '\n'.join(pending.write_id for pending in batch)
        name = f'{next(self._numbers)}\n{fencing_check}\n{write_ids}'
        return hashlib.sha256(name.encode()).hexdigest()


class ReadBatcher:
    """Collects reads of rows for a short time and sends them as one.

    Args:
        rows: The `table.Table`.
        window: Seconds that a read waits to be batched with others.
    """

    def __init__(self, rows, window):
        self._rows = rows
        self._window = window
        self._keys = {}
        self._collect_task = None

    async def read(self, key):
        """Read one row, as it is at or after the time of the call.

        Args:
            key: The `table.Key` of the row.

        Returns:
            `Ok(table.Row | None)` or `Error(errors.StoreNotRun)`.
        """
        if self._collect_task is None:
            self._collect_task = asyncio.ensure_future(self._collect())
        self._keys[key] = None
        # Cancelling one caller must not cancel the shared read.
        result = await asyncio.shield(self._collect_task)
        return result.map(lambda found: found[key])

    async def _collect(self):
        await asyncio.sleep(self._window)
        keys = tuple(self._keys)
        self._keys = {}
        self._collect_task = None
        result = await self._rows.read(keys)
        return result.map(lambda rows: dict(zip(keys, rows)))


def _earliest(queue):
    return min((pending.send_by for pending in queue), default=math.inf)


def _failed_indexes(result):
    if result.is_error():
        if isinstance(result.error, errors.ConditionFailed):
            return result.error.failed
    return ()


def _set_results(batch, result):
    for pending in batch:
        if not pending.future.done():
            pending.future.set_result(result)


def _set_exception(pending, exception):
    if not pending.future.done():
        pending.future.set_exception(exception)
