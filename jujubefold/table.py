"""Table port: the platform's transactional table service."""

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
    """Names one row.

    Args:
        table: Table name.
        row: Row name, unique in its table.
    """

    table: str
    row: str


@dataclasses.dataclass(frozen=True, slots=True)
class Absent:
    """Condition: the row does not exist."""


@dataclasses.dataclass(frozen=True, slots=True)
class Equals:
    """Condition: a field of the row has this value."""

    field: str
    value: Value


@dataclasses.dataclass(frozen=True, slots=True)
class Always:
    """Condition that always holds."""


Condition = Absent | Equals | Always


@dataclasses.dataclass(frozen=True, slots=True)
class Put:
    """Replace a row when its condition holds."""

    key: Key
    values: dict[str, Value]
    condition: Condition = Always()


@dataclasses.dataclass(frozen=True, slots=True)
class Delete:
    """Remove a row when its condition holds."""

    key: Key
    condition: Condition = Always()


@dataclasses.dataclass(frozen=True, slots=True)
class Check:
    """Change nothing, but require a condition."""

    key: Key
    condition: Condition


Write = Put | Delete | Check


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row as read."""

    key: Key
    values: dict[str, Value]


class Table(abc.ABC):
    """Rows with transactions; every outcome is a value."""

    @abc.abstractmethod
    async def transact(self, writes, token=''):
        """Apply all writes or none.

        Args:
            writes: Sequence of at most `MAX_WRITES` `Write`, distinct keys.
            token: Makes a repeat within ten minutes idempotent; may be ''.

        Returns:
            `Ok(None)`, or `Error` of `errors.ConditionFailed`,
            `errors.StoreNotRun` or `errors.StoreOutcomeUnknown`.
        """

    @abc.abstractmethod
    async def read(self, keys):
        """Read rows, consistent with all transactions acknowledged before.

        Args:
            keys: Sequence of `Key`.

        Returns:
            `Ok(tuple[Row | None, ...])` in the order of `keys`, or
            `Error(errors.StoreNotRun)`.
        """

    @abc.abstractmethod
    async def scan(self, table, after='', limit=100):
        """Read rows of one table in row name order.

        Args:
            table: Table name.
            after: Row name to start behind; '' for the first.
            limit: Most rows returned.

        Returns:
            `Ok(tuple[Row, ...])` or `Error(errors.StoreNotRun)`.
        """


class Rows:
    """Rows in memory and the rules of a transaction, without outcomes."""

    def __init__(self):
        self._tables = {}

    def failed(self, writes):
        """Return the indexes of writes whose conditions do not hold."""
        return tuple(
            index
            for index, write in enumerate(writes)
            if not self._holds(write)
        )

    def apply(self, writes):
        """Carry out writes whose conditions were found to hold."""
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
        """Return up to `limit` rows behind the row name `after`."""
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
    """Check what every transaction must fulfil.

    Raises:
        errors.BrokenInvariant: Too many writes, or a key twice.
    """
    if not 0 < len(writes) <= MAX_WRITES:
        raise errors.BrokenInvariant(f'{len(writes)} writes in a transaction')
    if len({write.key for write in writes}) < len(writes):
        raise errors.BrokenInvariant('a transaction writes a key twice')


class MemoryTable(Table):
    """In-memory twin of the platform's table service."""

    def __init__(self):
        self._rows = Rows()
        self._tokens = set()

    async def transact(self, writes, token=''):
        check_writes(writes)
        if token and token in self._tokens:
            return expression.Ok(None)
        failed = self._rows.failed(writes)
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
