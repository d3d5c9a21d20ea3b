"""Table port: the platform's transactional table service."""

import abc
import dataclasses

import expression

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
            `errors.StoreNotRun` or `errors.StoreUnknown`.
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


class MemoryTable(Table):
    """In-memory twin of the platform's table service."""

    def __init__(self):
        self._rows = {}
        self._tokens = set()

    async def transact(self, writes, token=''):
        if token and token in self._tokens:
            return expression.Ok(None)
        failed = tuple(
            index
            for index, write in enumerate(writes)
            if not self._holds(write)
        )
        if failed:
            return expression.Error(
                errors.ConditionFailed('condition failed', failed)
            )
        for write in writes:
            self._apply(write)
        if token:
            self._tokens.add(token)
        return expression.Ok(None)

    async def read(self, keys):
        return expression.Ok(tuple(self._row(key) for key in keys))

    async def scan(self, table, after='', limit=100):
        keys = sorted(
            (key for key in self._rows if key.table == table),
            key=lambda key: key.row,
        )
        page = [key for key in keys if key.row > after][:limit]
        return expression.Ok(tuple(self._row(key) for key in page))

    def _row(self, key):
        values = self._rows.get(key)
        return None if values is None else Row(key, dict(values))

    def _holds(self, write):
        values = self._rows.get(write.key)
        match write.condition:
            case Always():
                return True
            case Absent():
                return values is None
            case Equals(field=field, value=value):
                return values is not None and values.get(field) == value

    def _apply(self, write):
        match write:
            case Put():
                self._rows[write.key] = dict(write.values)
            case Delete():
                self._rows.pop(write.key, None)
            case Check():
                pass
