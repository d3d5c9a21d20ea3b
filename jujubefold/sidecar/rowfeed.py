"""Row feed port: the store's tables, and a feed of their changes."""

import abc
import asyncio
import dataclasses

import expression

from jujubefold import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Args:
        key: Unique in its table.
        value: Its bytes; None if the row was deleted.
        version: Store version of its last change; 0 if unknown.
    """

    key: str
    value: bytes | None
    version: int = dataclasses.field(default=0, compare=False)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Cursor:
    """A position in the changes of the store.

    Versions of different eras have no order of their own: a store that
    returned from an older copy gives them out again.

    Args:
        era: Era of the store; 0 if it tells none.
        version: Store version in that era.
    """

    era: int = 0
    version: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """The rows of a table at a store version, or the changes up to it.

    Args:
        rows: In any order.
        version: Store version; it increases with each change of an era.
        era: Era of the store; 0 if it tells none.
        now: The store's steady clock in seconds when it answered; 0.0 if it
            tells none.
    """

    rows: tuple[Row, ...]
    version: int
    era: int = 0
    now: float = 0.0

    @property
    def cursor(self):
        """The `Cursor` up to which the rows are complete."""
        return Cursor(self.era, self.version)


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """What must hold for a transaction to be carried out.

    Args:
        table: Table name.
        key: Key of the row.
        version: Version that the row must have; 0 if it must not exist.
    """

    table: str
    key: str
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """A row that a transaction writes.

    Args:
        table: Table name.
        key: Key of the row.
        value: Its bytes.
    """

    table: str
    key: str
    value: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict(errors.Failure):
    """A condition of a transaction did not hold; nothing was written."""


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryCompacted(errors.Failure):
    """The requested changes were compacted away; read the table in full."""


class RowFeed(abc.ABC):
    """Tables whose changes can be awaited.

    Failures are returned as values, not raised.
    """

    @abc.abstractmethod
    async def read(self, table):
        """Read all rows of a table.

        Returns:
            `Ok(Rows)` or `Error(errors.StoreNotRun)`.
        """

    @abc.abstractmethod
    async def get(self, table, key):
        """Read one row.

        Returns:
            `Ok(Rows)` with one row, or none if there is no such row, or
            `Error(errors.StoreNotRun)`.
        """

    @abc.abstractmethod
    async def changes(self, table, after, wait):
        """Wait for changes after a version.

        Args:
            table: Table name.
            after: Version of the last `Rows` read.
            wait: Seconds to wait for a change before returning none.

        Returns:
            `Ok(Rows)`, empty if none came in time, or `Error` of
            `HistoryCompacted` or `errors.StoreNotRun`.
        """

    @abc.abstractmethod
    async def put(self, table, key, value):
        """Write a row, replacing one with the same key.

        Returns:
            `Ok(int)`, the store's era as in `Rows`, or `Error` of
            `errors.StoreNotRun` or `errors.StoreOutcomeUnknown`.
        """

    @abc.abstractmethod
    async def remove(self, table, key):
        """Delete a row.

        Returns:
            As `put`.
        """

    @abc.abstractmethod
    async def transact(self, conditions, puts):
        """Write rows together, if all conditions hold.

        Args:
            conditions: Each `Condition`.
            puts: Each `Put`.

        Returns:
            As `put`, or `Error(Conflict)`.
        """


class MemoryRowFeed(RowFeed):
    """In-memory implementation for tests.

    Args:
        history: Number of changes kept, over all tables.

    Attributes:
        fault: Failure that each call returns, or None.
        era: Era in each answer.
        now: Called for the store's clock in each answer about rows.
    """

    def __init__(self, history=1000):
        self.fault = None
        self.era = 0
        self.now = lambda: 0.0
        self._history = history
        self._tables = {}
        self._changes = []
        self._version = 0
        # Version up to which changes may have been discarded.
        self._compacted = 0
        self._changed = asyncio.Event()

    @property
    def version(self):
        """Store version after the last change."""
        return self._version

    def copy(self):
        """Return a copy of the rows, to be restored later."""
        tables = {name: dict(rows) for name, rows in self._tables.items()}
        return tables, self._version

    def restore(self, copied):
        """Return to a copy, in a new era, without any history.

        Calls of `changes` that wait lose their connection.

        Args:
            copied: What `copy` returned.
        """
        tables, self._version = copied
        self._tables = {name: dict(rows) for name, rows in tables.items()}
        self.era += 1
        self.compact()

    def compact(self):
        """Discard the history of changes."""
        self._changes.clear()
        self._compacted = self._version
        self._changed.set()

    async def wake(self):
        """Make pending calls of `changes` check for changes and faults."""
        self._changed.set()
        await asyncio.sleep(0)

    async def read(self, table):
        if self.fault is not None:
            return expression.Error(self.fault)
        rows = self._tables.get(table, {})
        return self._answer(tuple(rows.values()))

    async def get(self, table, key):
        if self.fault is not None:
            return expression.Error(self.fault)
        row = self._tables.get(table, {}).get(key)
        return self._answer(() if row is None else (row,))

    async def changes(self, table, after, wait):
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait
        era = self.era
        while True:
            if self.era != era:
                return expression.Error(
                    errors.StoreNotRun('the connection was lost')
                )
            if self.fault is not None:
                return expression.Error(self.fault)
            oldest = self._compacted
            if after < oldest or after > self._version:
                return expression.Error(
                    HistoryCompacted('history was compacted')
                )
            rows = tuple(
                row
                for version, name, row in self._changes
                if version > after and name == table
            )
            if rows:
                return self._answer(rows)
            self._changed.clear()
            try:
                async with asyncio.timeout(deadline - loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                return self._answer(())

    async def put(self, table, key, value):
        if self.fault is not None:
            return expression.Error(self.fault)
        row = Row(key, value, self._version + 1)
        self._tables.setdefault(table, {})[key] = row
        self._append_change(table, row)
        return expression.Ok(self.era)

    async def remove(self, table, key):
        if self.fault is not None:
            return expression.Error(self.fault)
        if self._tables.get(table, {}).pop(key, None) is not None:
            self._append_change(table, Row(key, None, self._version + 1))
        return expression.Ok(self.era)

    async def transact(self, conditions, puts):
        if self.fault is not None:
            return expression.Error(self.fault)
        for condition in conditions:
            row = self._tables.get(condition.table, {}).get(condition.key)
            if condition.version != (0 if row is None else row.version):
                return expression.Error(Conflict('a row has changed'))
        # All rows of a transaction have one version.
        version = self._version + 1
        for put in puts:
            row = Row(put.key, put.value, version)
            self._tables.setdefault(put.table, {})[put.key] = row
            self._changes.append((version, put.table, row))
        self._version = version
        self._discard_old_changes()
        return expression.Ok(self.era)

    def _answer(self, rows):
        return expression.Ok(Rows(rows, self._version, self.era, self.now()))

    def _append_change(self, table, row):
        self._version += 1
        self._changes.append((self._version, table, row))
        self._discard_old_changes()

    def _discard_old_changes(self):
        discarded = self._changes[: -self._history]
        if discarded:
            self._compacted = discarded[-1][0]
            del self._changes[: -self._history]
        self._changed.set()
