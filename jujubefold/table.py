"""Interface of the platform's transactional table service."""

import abc
import dataclasses
import itertools

import expression
import sortedcontainers

from jujubefold import errors

Value = str | int | bytes
MAX_WRITES = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """Key of a row.

    Args:
        table: Table name.
        row: Row name, unique in its table.
    """

    table: str
    row: str


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Condition that the row does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Equals:
    """Condition that the row exists and a field of it has a value."""

    field: str
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Always:
    """Condition that always holds."""


Condition = Absent | Equals | Always


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Write a row, or replace all of it, if its condition holds."""

    key: Key
    values: dict[str, Value]
    condition: Condition = Always()


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Remove a row if its condition holds; it may be absent."""

    key: Key
    condition: Condition = Always()


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Require that a condition holds, and change nothing."""

    key: Key
    condition: Condition


Write = Put | Delete | Check


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read from the table."""

    key: Key
    values: dict[str, Value]


class Table(abc.ABC):
    """A table service with transactions; failures are returned as values."""

    @abc.abstractmethod
    async def transact(self, writes, token=''):
        """Apply all writes or none.

        Args:
            writes: Sequence of `Write`: one to `MAX_WRITES`, with distinct
                keys.
            token: Idempotency token: a repeat with the same token within
                ten minutes is not applied again; '' for none.

        Returns:
            `Ok(None)`, or `Error` of `errors.ConditionFailed`,
            `errors.StoreNotRun` or `errors.StoreOutcomeUnknown`.
        """

    @abc.abstractmethod
    async def read(self, keys):
        """Read rows; sees every transaction confirmed before the call.

        Args:
            keys: Sequence of `Key`.

        Returns:
            `Ok(tuple[Row | None, ...])` in the order of `keys`, or
            `Error(errors.StoreNotRun)`.
        """

    @abc.abstractmethod
    async def scan(self, table, after='', limit=100):
        """Read the rows of one table in the order of their names.

        Args:
            table: Table name.
            after: Row name after which the page starts; '' for the first.
            limit: Maximum number of rows returned.

        Returns:
            `Ok(tuple[Row, ...])` or `Error(errors.StoreNotRun)`.
        """


class MemoryRows:
    """Rows in memory, with the evaluation of conditions and writes."""

    def __init__(self):
        self._tables = {}

    def failed_writes(self, writes):
        """Return the indexes of writes whose conditions do not hold."""
        return tuple(
            index
            for index, write in enumerate(writes)
            if not self._holds(write)
        )

    def apply(self, writes):
        """Apply writes without checking their conditions."""
        for write in writes:
            match write:
                case Put():
                    rows = self._rows_of(write.key.table)
                    rows[write.key.row] = dict(write.values)
                case Delete():
                    self._rows_of(write.key.table).pop(write.key.row, None)

    def row(self, key):
        """Return the `Row` of a key, or None."""
        values = self._rows_of(key.table).get(key.row)
        return None if values is None else Row(key, dict(values))

    def page(self, table, after, limit):
        """Return up to `limit` rows whose names follow `after`."""
        names = self._rows_of(table).irange(after, inclusive=(False, True))
        return tuple(
            self.row(Key(table, name))
            for name in itertools.islice(names, limit)
        )

    def _rows_of(self, table):
        return self._tables.setdefault(table, sortedcontainers.SortedDict())

    def _holds(self, write):
        values = self._rows_of(write.key.table).get(write.key.row)
        match write.condition:
            case Always():
                return True
            case Absent():
                return values is None
            case Equals(field=field, value=value):
                return values is not None and values.get(field) == value


def check_writes(writes):
    """Check the number of writes and that their keys are distinct.

    Args:
        writes: Sequence of `Write`.

    Raises:
        errors.BrokenInvariant: There are no or too many writes, or two for
            one key.
    """
    if not 0 < len(writes) <= MAX_WRITES:
        raise errors.BrokenInvariant(
            f'transaction has an invalid number of writes: {len(writes)}'
        )
    if len({write.key for write in writes}) < len(writes):
        raise errors.BrokenInvariant('transaction has two writes for one key')


class MemoryTable(Table):
    """In-memory table with the contract of the platform's service."""

    def __init__(self):
        self._rows = MemoryRows()
        self._tokens = set()

    async def transact(self, writes, token=''):
        check_writes(writes)
        if token and token in self._tokens:
            return expression.Ok(None)
        failed = self._rows.failed_writes(writes)
        if failed:
            return expression.Error(
                errors.ConditionFailed('condition failed', failed)
            )
        self._rows.apply(writes)
        if token:
            self._tokens.add(token)
        return expression.Ok(None)

    async def read(self, keys):
        return expression.Ok(tuple(self._rows.row(key) for key in keys))

    async def scan(self, table, after='', limit=100):
        return expression.Ok(self._rows.page(table, after, limit))
