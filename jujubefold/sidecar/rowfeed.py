"""Row feed port: tables of the platform that can be followed."""

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
        value: Its bytes; None when it was taken out.
    """

    key: str
    value: bytes | None


@dataclasses.dataclass(frozen=True, slots=True)
class Rows:
    """Rows as of one moment, or changes up to it.

    Args:
        rows: In any order.
        version: Number of the moment.
    """

    rows: tuple[Row, ...]
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryCompacted(errors.Failure):
    """The changes asked for are not kept any more; read the whole table."""


class RowFeed(abc.ABC):
    """Tables whose changes can be waited for; every outcome is a value."""

    @abc.abstractmethod
    async def read(self, table):
        """Read a whole table.

        Returns:
            `Ok(Rows)` or `Error(errors.StoreNotRun)`.
        """

    @abc.abstractmethod
    async def get(self, table, key):
        """Read one row.

        Returns:
            `Ok(bytes)`, `Ok(None)` without such a row, or
            `Error(errors.StoreNotRun)`.
        """

    @abc.abstractmethod
    async def changes(self, table, after, wait):
        """Wait for changes behind a version.

        Args:
            table: Table name.
            after: Version of the last `Rows` read.
            wait: Seconds after which no change is an answer too.

        Returns:
            `Ok(Rows)`, empty when none came in time, or `Error` of
            `HistoryCompacted` or `errors.StoreNotRun`.
        """

    @abc.abstractmethod
    async def put(self, table, key, value):
        """Write a row.

        Returns:
            `Ok(None)`, or `Error` of `errors.StoreNotRun` or
            `errors.StoreOutcomeUnknown`.
        """

    @abc.abstractmethod
    async def remove(self, table, key):
        """Take out a row.

        Returns:
            As `put`.
        """


class MemoryRowFeed(RowFeed):
    """In-memory twin, for tests.

    Args:
        history: Changes kept of all tables together.
    """

    def __init__(self, history=1000):
        self.fault = None
        self._history = history
        self._tables = {}
        self._changes = []
        self._version = 0
        self._changed = asyncio.Event()

    @property
    def version(self):
        """Version of the last change."""
        return self._version

    def compact(self):
        """Drop all kept changes."""
        self._changes.clear()
        self._changed.set()

    async def wake(self):
        """Have those that wait look again."""
        self._changed.set()
        await asyncio.sleep(0)

    async def read(self, table):
        if self.fault is not None:
            return expression.Error(self.fault)
        rows = self._tables.get(table, {})
        return expression.Ok(
            Rows(tuple(Row(*item) for item in rows.items()), self._version)
        )

    async def get(self, table, key):
        if self.fault is not None:
            return expression.Error(self.fault)
        return expression.Ok(self._tables.get(table, {}).get(key))

    async def changes(self, table, after, wait):
        loop = asyncio.get_running_loop()
        ends = loop.time() + wait
        while True:
            if self.fault is not None:
                return expression.Error(self.fault)
            oldest = self._version - len(self._changes)
            if after < oldest:
                return expression.Error(HistoryCompacted('history is gone'))
            rows = tuple(
                row
                for version, name, row in self._changes
                if version > after and name == table
            )
            if rows:
                return expression.Ok(Rows(rows, self._version))
            self._changed.clear()
            try:
                async with asyncio.timeout(ends - loop.time()):
                    await self._changed.wait()
            except TimeoutError:
                return expression.Ok(Rows((), self._version))

    async def put(self, table, key, value):
        if self.fault is not None:
            return expression.Error(self.fault)
        self._tables.setdefault(table, {})[key] = value
        self._note(table, Row(key, value))
        return expression.Ok(None)

    async def remove(self, table, key):
        if self.fault is not None:
            return expression.Error(self.fault)
        if self._tables.get(table, {}).pop(key, None) is not None:
            self._note(table, Row(key, None))
        return expression.Ok(None)

    def _note(self, table, row):
        self._version += 1
        self._changes.append((self._version, table, row))
        del self._changes[: -self._history]
        self._changed.set()
