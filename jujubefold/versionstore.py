"""Version store: accepted versions in the platform's table and object store.

An operator's patch becomes the next version in one transaction, which
advances the head, marks the patch id as used and adds the version. Rows, by
table: `head/head`, `patches/<patch id>`, `versions/<number>` and
`blobs/<content hash>`. The limit `patches.MAX_PATCH_BYTES` bounds the size
of a version's row.
"""

import asyncio
import dataclasses
import enum
import hashlib

import expression

from jujubefold import blobs
from jujubefold import declarations
from jujubefold import dispatch
from jujubefold import documents
from jujubefold import errors
from jujubefold import patches
from jujubefold import table
from jujubefold import versions

# Schema version of the rows; incremented when the meaning of a field changes.
SCHEMA = 1
HEAD_KEY = table.Key('head', 'head')
MAX_CHAIN = 32
MAX_PATCH_ID = 200
MIN_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0

_MILLISECONDS = 1000


class PatchState(enum.StrEnum):
    """State of a patch id."""

    UNUSED = 'unused'
    ACCEPTED = 'accepted'
    ABANDONED = 'abandoned'


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """An operator's patch.

    Args:
        base: Number of the version that the patch applies to.
        patch_id: Unique over all versions, and never reused.
        patch: JSON bytes of an RFC 6902 patch.
        operator: Name of the submitting operator.
    """

    base: int
    patch_id: str
    patch: bytes
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class PatchStatus:
    """State of a patch id, and the number of the accepted version.

    Args:
        patch_id: The patch id.
        state: Its state.
        number: The accepted version's number; 0 unless accepted.
    """

    patch_id: str
    state: PatchState
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """Number, digest and blob of the newest accepted version.

    Args:
        number: 0 before the first version.
        digest: Document digest; '' before the first version.
        blob: Content hash of the compressed document.
    """

    number: int = 0
    digest: str = ''
    blob: str = ''

    @property
    def identity(self):
        """Value compared by the transaction's condition on the head row."""
        return f'{self.number}/{self.digest}'


@dataclasses.dataclass(frozen=True, slots=True)
class VersionRecord:
    """An accepted version with the operator who submitted it.

    Args:
        version: The version.
        operator: Name of the operator.
    """

    version: versions.Version
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    version: versions.Version
    operator: str
    head: Head
    blob: str


@dataclasses.dataclass(frozen=True, slots=True)
class _StoreState:
    """Head and row of one patch id, from one read of the table."""

    head: Head
    patch: dict | None


@dataclasses.dataclass(slots=True)
class _Progress:
    """Progress of a submission.

    Args:
        in_doubt: Whether a transaction was sent whose outcome is unknown.
    """

    in_doubt: bool = False

    def timeout_failure(self, patch_id):
        """Return the `Error` of a submission that timed out."""
        if self.in_doubt:
            reason = (
                f'patch {patch_id} may have been accepted: query its status'
            )
            return expression.Error(errors.StoreOutcomeUnknown(reason))
        reason = 'the store timed out; this submission had no effect'
        return _not_run(reason)


class VersionStore:
    """Accepts patches, and reads accepted versions.

    Args:
        rows: A `table.Table`.
        objects: An `objectstore.ObjectStore`.
        clock: A `clock.Clock`.
    """

    def __init__(self, rows, objects, clock):
        self._rows = rows
        self._objects = objects
        self._clock = clock

    async def submit(self, submission, timeout):
        """Accept a patch against the version it names.

        A repeat with the same patch id, base and patch returns the version
        that was accepted before.

        Args:
            submission: A `Submission`.
            timeout: Seconds for all calls to the store together.

        Returns:
            `Ok(versions.Version)` or `Error(errors.SubmitFailure)`; only
            after `errors.StoreOutcomeUnknown` may the patch have been
            accepted.
        """
        if not 0 < len(submission.patch_id) <= MAX_PATCH_ID:
            reason = f'needs 1 to {MAX_PATCH_ID} characters'
            return expression.Error(errors.Invalid(reason, 'patch_id'))
        patch = patches.normalize(submission.patch)
        if patch.is_error():
            return patch
        submission = dataclasses.replace(submission, patch=patch.ok)
        progress = _Progress()
        try:
            async with asyncio.timeout(timeout):
                return await self._accept(submission, progress)
        except TimeoutError:
            return progress.timeout_failure(submission.patch_id)

    async def status(self, patch_id):
        """Return the state of a patch id.

        After `UNUSED`, a submission in flight may still be accepted;
        `abandon` prevents that.

        Returns:
            `Ok(PatchStatus)` or `Error(errors.StoreNotRun)`.
        """
        found = await self._rows.read([_patch_key(patch_id)])
        return found.map(lambda rows: _patch_status(patch_id, rows[0]))

    async def abandon(self, patch_id):
        """Mark an unused patch id so that it can never be accepted.

        Returns:
            `Ok(PatchStatus)`, abandoned or accepted, or
            `Error(errors.StoreNotRun | errors.StoreOutcomeUnknown)`.
        """
        tombstone = table.Put(
            _patch_key(patch_id),
            {'schema': SCHEMA, 'state': PatchState.ABANDONED.value},
            table.Absent(),
        )
        written = await self._rows.transact([tombstone])
        if written.is_ok():
            return expression.Ok(PatchStatus(patch_id, PatchState.ABANDONED))
        if isinstance(written.error, errors.StoreNotRun):
            return written
        found = await self.status(patch_id)
        if found.is_ok() and found.ok.state is not PatchState.UNUSED:
            return found
        reason = f'no answer when abandoning patch {patch_id}: repeat the call'
        return expression.Error(errors.StoreOutcomeUnknown(reason))

    async def head(self):
        """Read the identity of the newest accepted version.

        Returns:
            `Ok(Head)` or `Error(errors.StoreNotRun)`.
        """
        found = await self._rows.read([HEAD_KEY])
        return found.map(lambda rows: _head_from(rows[0]))

    async def read_head(self):
        """Answer `effects.ReadHead` with a `dispatch.HeadRead`."""
        found = await self.head()
        if found.is_error():
            return dispatch.HeadRead(None)
        return dispatch.HeadRead(found.ok.number, found.ok.digest)

    async def fetch(self, after, upto, whole=False):
        """Answer `effects.FetchVersions`.

        Args:
            after: Version number held.
            upto: Highest version number wanted.
            whole: Fetch only `upto`, with its document.

        Returns:
            A `dispatch.VersionsFetched`: all versions after `after` if they
            are at most `MAX_CHAIN`, else `upto` with its document; empty on
            failure.
        """
        nothing = dispatch.VersionsFetched(())
        if upto <= after:
            return nothing
        if not whole and upto - after <= MAX_CHAIN:
            found = await self._read_versions(range(after + 1, upto + 1))
            if found is None:
                return nothing
            return dispatch.VersionsFetched(
                tuple(item.version for item in found)
            )
        found = await self._read_versions([upto])
        document = await self.document(upto)
        if found is None or document.is_error() or document.ok is None:
            return nothing
        return dispatch.VersionsFetched((found[0].version,), document.ok)

    async def document(self, number):
        """Return the canonical document of a version.

        Returns:
            `Ok(bytes)`, `Ok(None)` when there is no such version, or
            `Error(errors.StoreNotRun | errors.Invalid)`.
        """
        if number == 0:
            return expression.Ok(versions.EMPTY_DOCUMENT)
        found = await self._rows.read([_version_key(number)])
        if found.is_error():
            return found
        if found.ok[0] is None:
            return expression.Ok(None)
        values = found.ok[0].values
        return await self._read_document(values['blob'], values['digest'])

    async def list_versions(self, after, limit):
        """Return accepted versions in ascending order.

        Args:
            after: Return versions with higher numbers; 0 for all.
            limit: Maximum number of versions returned.

        Returns:
            `Ok(tuple[VersionRecord, ...])` or `Error(errors.StoreNotRun)`.
        """
        row = _version_key(after).row
        found = await self._rows.scan('versions', row, limit)
        return found.map(lambda rows: tuple(map(_version_record, rows)))

    async def _prepare(self, submission):
        """Return a `_Candidate`, or the final result of the submission."""
        state = await self._read_state(submission.patch_id)
        if state.is_error():
            return state
        if state.ok.patch is not None:
            return await self._earlier_result(submission, state.ok.patch)
        if state.ok.head.number != submission.base:
            return await self._base_moved(submission, state.ok.head)
        document = await self._next_document(submission, state.ok.head)
        if document.is_error():
            return document
        return await self._make_candidate(
            submission, state.ok.head, document.ok
        )

    async def _next_document(self, submission, head):
        base = await self._base_document(head)
        if base.is_error():
            return base
        after = patches.apply(base.ok, submission.patch)
        if after.is_error():
            return after
        if after.ok == base.ok:
            reason = 'the patch does not change the document'
            return expression.Error(errors.Invalid(reason, 'patch'))
        return _validated(after.ok, head.number + 1)

    async def _base_document(self, head):
        if head.number == 0:
            return expression.Ok(versions.EMPTY_DOCUMENT)
        found = await self._read_document(head.blob, head.digest)
        if found.is_ok() and found.ok is not None:
            return found
        reason = f'cannot read the document of version {head.number}'
        return _not_run(reason)

    async def _make_candidate(self, submission, head, document):
        data = documents.compress(document)
        if len(data) > documents.MAX_COMPRESSED_BYTES:
            reason = (
                f'over {documents.MAX_COMPRESSED_BYTES} bytes when compressed'
            )
            return expression.Error(errors.Invalid(reason, 'document'))
        stored = await self._objects.put(self._unique_blob(data, submission))
        if stored.is_error():
            return _not_run(
                f'cannot store the document: {stored.error.reason}'
            )
        version = versions.Version(
            head.number + 1,
            versions.digest(document),
            head.digest or versions.EMPTY_DIGEST,
            submission.patch_id,
            submission.patch,
            int(self._clock.wall() * _MILLISECONDS),
        )
        return _Candidate(version, submission.operator, head, stored.ok)

    def _unique_blob(self, data, submission):
        times = f'{self._clock.wall()}/{self._clock.monotonic()}'
        return documents.append_name(data, f'{submission.patch_id}/{times}')

    async def _accept(self, submission, progress):
        prepared = await self._prepare(submission)
        if not isinstance(prepared, _Candidate):
            return prepared
        writes = self._writes(prepared)
        delay = MIN_RETRY_DELAY_S
        while True:
            result = await self._attempt(prepared, writes, progress)
            if result is not None:
                return result
            await asyncio.sleep(delay)
            delay = min(2 * delay, MAX_RETRY_DELAY_S)

    async def _attempt(self, candidate, writes, progress):
        """Return a definite result, or None while the outcome is unknown.

        Repeating the transaction is safe: if it took effect, the head has
        advanced and the patch id is used, so that its conditions fail.
        """
        version = candidate.version
        was_in_doubt = progress.in_doubt
        progress.in_doubt = True
        written = await self._rows.transact(
            writes, _transaction_token(version)
        )
        if written.is_ok():
            return expression.Ok(version)
        if not isinstance(written.error, errors.StoreOutcomeUnknown):
            progress.in_doubt = was_in_doubt
        if isinstance(written.error, errors.ConditionFailed):
            return await self._refused_result(candidate)
        state = await self._read_state(version.patch_id)
        if state.is_ok() and state.ok.patch is not None:
            return await self._earlier_result(
                _submission(candidate), state.ok.patch
            )
        return None

    async def _refused_result(self, candidate):
        state = await self._read_state(candidate.version.patch_id)
        if state.is_error():
            return None
        submission = _submission(candidate)
        if state.ok.patch is not None:
            return await self._earlier_result(submission, state.ok.patch)
        if state.ok.head.number != candidate.head.number:
            return await self._base_moved(submission, state.ok.head)
        return _not_run('the stored document was removed: submit again')

    def _writes(self, candidate):
        version = candidate.version
        head = Head(version.number, version.digest, candidate.blob)
        return [
            table.Put(
                HEAD_KEY, _head_values(head), _head_unchanged(candidate.head)
            ),
            table.Put(
                _patch_key(version.patch_id),
                {
                    'schema': SCHEMA,
                    'state': PatchState.ACCEPTED.value,
                    'number': version.number,
                    'patch': _sha256(version.patch),
                },
                table.Absent(),
            ),
            table.Put(
                _version_key(version.number),
                {
                    'schema': SCHEMA,
                    'number': version.number,
                    'digest': version.digest,
                    'parent_digest': version.parent_digest,
                    'patch_id': version.patch_id,
                    'patch': version.patch,
                    'operator': candidate.operator,
                    'accepted_ms': version.accepted_ms,
                    'blob': candidate.blob,
                },
                table.Absent(),
            ),
            table.Put(
                blobs.key(candidate.blob),
                {'state': blobs.REFERENCED},
                table.Absent(),
            ),
        ]

    async def _read_state(self, patch_id):
        found = await self._rows.read([HEAD_KEY, _patch_key(patch_id)])
        return found.map(
            lambda rows: _StoreState(
                _head_from(rows[0]),
                None if rows[1] is None else rows[1].values,
            )
        )

    async def _earlier_result(self, submission, row):
        """Return the result for a patch id that was used before."""
        patch_id = submission.patch_id
        if row['state'] == PatchState.ABANDONED:
            reason = f'patch {patch_id} was abandoned and cannot be accepted'
            return expression.Error(errors.PatchAbandoned(reason))
        number = row['number']
        has_same_patch = row['patch'] == _sha256(submission.patch)
        if not has_same_patch or number != submission.base + 1:
            reason = (
                f'patch id {patch_id} was accepted with another patch or base'
            )
            return expression.Error(errors.PatchIdReused(reason))
        found = await self._read_versions([number])
        if found is None:
            reason = (
                f'patch accepted as version {number}, which cannot be read'
            )
            return expression.Error(errors.StoreOutcomeUnknown(reason))
        return expression.Ok(found[0].version)

    async def _base_moved(self, submission, head):
        if head.number < submission.base:
            reason = f'version {submission.base} does not exist'
            return expression.Error(errors.StaleBase(reason, head.number))
        first = max(submission.base + 1, head.number - MAX_CHAIN + 1)
        since = await self._read_versions(range(first, head.number + 1)) or ()
        clashes = patches.clashes(
            submission.patch, [item.version.patch for item in since]
        )
        reason = (
            f'patch not accepted: the head is version {head.number}, '
            f'but the patch applies to version {submission.base}'
        )
        return expression.Error(errors.StaleBase(reason, head.number, clashes))

    async def _read_versions(self, numbers):
        found = await self._rows.read(list(map(_version_key, numbers)))
        if found.is_error() or None in found.ok:
            return None
        return [_version_record(row) for row in found.ok]

    async def _read_document(self, name, digest):
        found = await self._objects.get(name)
        if found.is_error() or found.ok is None:
            return found
        document = documents.decompress(found.ok)
        if document.is_ok() and versions.digest(document.ok) != digest:
            reason = 'the stored document does not match its digest'
            return expression.Error(errors.Invalid(reason, name))
        return document


def _validated(document, number):
    found = declarations.compile_document(document, number)
    if found.is_ok():
        return expression.Ok(document)
    first = found.error[0]
    reason = '; '.join(f'{item.where}: {item.reason}' for item in found.error)
    return expression.Error(errors.Invalid(reason, first.where))


def _submission(candidate):
    version = candidate.version
    return Submission(
        candidate.head.number,
        version.patch_id,
        version.patch,
        candidate.operator,
    )


def _head_unchanged(head):
    if head.number == 0:
        return table.Absent()
    return table.Equals('identity', head.identity)


def _head_values(head):
    return {
        'schema': SCHEMA,
        'identity': head.identity,
        'number': head.number,
        'digest': head.digest,
        'blob': head.blob,
    }


def _head_from(row):
    if row is None:
        return Head()
    values = row.values
    return Head(values['number'], values['digest'], values['blob'])


def _version_record(row):
    values = row.values
    version = versions.Version(
        values['number'],
        values['digest'],
        values['parent_digest'],
        values['patch_id'],
        values['patch'],
        values['accepted_ms'],
    )
    return VersionRecord(version, values['operator'])


def _patch_status(patch_id, row):
    if row is None:
        return PatchStatus(patch_id, PatchState.UNUSED)
    state = PatchState(row.values['state'])
    return PatchStatus(patch_id, state, row.values.get('number', 0))


def _not_run(reason):
    return expression.Error(errors.StoreNotRun(reason))


def _patch_key(patch_id):
    return table.Key('patches', patch_id)


def _version_key(number):
    return table.Key('versions', f'{number:020d}')


def _transaction_token(version):
    text = f'{version.patch_id}/{version.number}/{_sha256(version.patch)}'
    return f'accept-{_sha256(text.encode())}'


def _sha256(data):
    return hashlib.sha256(data).hexdigest()
