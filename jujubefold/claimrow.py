"""Rows of the claim table, one for each idempotency key."""

import dataclasses
import enum
import hashlib

from jujubefold import table

TABLE = 'claims'
SCHEMA = 1
ID_FIELD = 'claim'


class State(enum.StrEnum):
    """State of a key.

    The request of a `CLAIMED` key may be running, that of a `RELEASED` key
    did not run, that of an `ANSWERED` key ran, and for an `IN_DOUBT` key
    it can't be known whether it ran.
    """

    CLAIMED = 'claimed'
    RELEASED = 'released'
    ANSWERED = 'answered'
    IN_DOUBT = 'doubt'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """The stored row of one key.

    Every write is conditional on the id of the row that it replaces, so a
    delayed write finds another id and changes nothing.

    Args:
        key: `table.Key` of the row.
        id: Id of the claim or the release; never used twice.
        state: State of the key.
        holder: `vm/incarnation` of the daemon that made the claim.
        fingerprint: Digest of the request that was claimed.
        since_ms: Wall milliseconds of the claim.
        expires_ms: Wall milliseconds after which the row may be removed.
        answer: The recorded answer when it is stored inline, else b''.
        blob: Digest of the object that holds a large answer, else ''.
    """

    key: table.Key
    id: str
    state: State
    holder: str
    fingerprint: str
    since_ms: int
    expires_ms: int
    answer: bytes = b''
    blob: str = ''


def key_of(scope, key):
    """Return the `table.Key` of an idempotency key.

    Args:
        scope: Namespace of the key: a route or service.
        key: The caller's idempotency key, of any length.
    """
    name = f'{len(scope)}:{scope}{key}'.encode()
    return table.Key(TABLE, hashlib.sha256(name).hexdigest())


def values_of(row):
    """Return the table values of a `ClaimRow`."""
    return {
        'schema': SCHEMA,
        ID_FIELD: row.id,
        'state': str(row.state),
        'holder': row.holder,
        'fingerprint': row.fingerprint,
        'since_ms': row.since_ms,
        'expires_ms': row.expires_ms,
        'answer': row.answer,
        'blob': row.blob,
    }


def from_row(row):
    """Return the `ClaimRow` of a `table.Row`.

    A state that only a newer version knows is read as `IN_DOUBT`, because
    the request may have run.
    """
    values = row.values
    state = values.get('state')
    is_known = state in list(State)
    return ClaimRow(
        key=row.key,
        id=values.get(ID_FIELD, ''),
        state=State(state) if is_known else State.IN_DOUBT,
        holder=values.get('holder', ''),
        fingerprint=values.get('fingerprint', ''),
        since_ms=values.get('since_ms', 0),
        expires_ms=values.get('expires_ms', 0),
        answer=values.get('answer', b''),
        blob=values.get('blob', ''),
    )


def condition_for(row_id):
    """Return the condition of a write that replaces a row.

    Args:
        row_id: Id of the row that is replaced, '' when there is none.
    """
    return table.Equals(ID_FIELD, row_id) if row_id else table.Absent()
