"""Rows of the claim table, one a key."""

import dataclasses
import enum
import hashlib

from jujubefold import table

TABLE = 'claims'
SCHEMA = 1
ID_FIELD = 'claim'


class State(enum.StrEnum):
    """Life of a key.

    `CLAIMED` may be running, `RELEASED` provably did not run, `ANSWERED`
    ran, and of `IN_DOUBT` nobody will ever know.
    """

    CLAIMED = 'claimed'
    RELEASED = 'released'
    ANSWERED = 'answered'
    IN_DOUBT = 'doubt'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRow:
    """What the table holds of one key.

    Every write that changes who may run names the id it replaces, so a
    write that arrives late finds another id and changes nothing.

    Args:
        key: Where the row is.
        id: Names the claim or the release; never used twice.
        holder: `vm/incarnation` that made the claim.
        fingerprint: Digest of the request that was claimed.
        since_ms: Wall milliseconds of the claim.
        expires_ms: Wall milliseconds after which the row may be removed.
        answer: The recorded answer when it is small.
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
        scope: Route or service that keys belong to.
        key: The caller's key, of any length.
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

    A state of a later release counts as doubt: the key may have run.
    """
    values = row.values
    state = values.get('state')
    known = state in list(State)
    return ClaimRow(
        key=row.key,
        id=values.get(ID_FIELD, ''),
        state=State(state) if known else State.IN_DOUBT,
        holder=values.get('holder', ''),
        fingerprint=values.get('fingerprint', ''),
        since_ms=values.get('since_ms', 0),
        expires_ms=values.get('expires_ms', 0),
        answer=values.get('answer', b''),
        blob=values.get('blob', ''),
    )


def replaces(row_id):
    """Return the condition under which a row with this id is replaced.

    Args:
        row_id: Id of the row, '' for no row.
    """
    return table.Equals(ID_FIELD, row_id) if row_id else table.Absent()
