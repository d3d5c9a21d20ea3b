"""Acceptance: how an operator's patch becomes the next version.

One transaction changes the head, uses up the patch id and adds the version.
Rows, by table: `head/head`, `patches/<patch id>`, `versions/<number>` and
`blobs/<content hash>`. A patch has at most `patches.MAX_PATCH_BYTES`, which
bounds the row of a version.
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

# Raised when the meaning of a row's field changes.
SCHEMA = 1
HEAD = table.Key('head', 'head')
MAX_CHAIN = 32
MAX_PATCH_ID = 200
FIRST_RETRY_S = 0.05
LAST_RETRY_S = 1.0

_MILLISECONDS = 1000


class PatchState(enum.StrEnum):
    """What became of a patch id."""

    UNUSED = 'unused'
    ACCEPTED = 'accepted'
    ABANDONED = 'abandoned'


@dataclasses.dataclass(frozen=True, slots=True)
class Submission:
    """An operator's patch.

    Args:
        base: Version number that the patch was made against.
        patch_id: Unique over all versions; names the patch for ever.
        patch: JSON bytes of an RFC 6902 patch.
        operator: Who submits it.
    """

    base: int
    patch_id: str
    patch: bytes
    operator: str


@dataclasses.dataclass(frozen=True, slots=True)
class PatchStatus:
    """What became of a patch.

    Args:
        number: The accepted version's number; 0 unless accepted.
    """

    patch_id: str
    state: PatchState
    number: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Head:
    """The newest accepted version's identity.

    Args:
        number: 0 before the first.
        digest: Document digest; '' before the first.
        blob: Content hash of the compressed document.
    """

    number: int = 0
    digest: str = ''
    blob: str = ''

    @property
    def identity(self):
        """The value that the head row's condition compares."""
        return f'{self.number}/{self.digest}'


@dataclasses.dataclass(frozen=True, slots=True)
class Listed:
    """An accepted version as listed.

    Args:
        operator: Who submitted it.
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
class _Seen:
    """What one read of the store said."""

    head: Head
    patch: dict | None


@dataclasses.dataclass(slots=True)
class _Progress:
    """How far a submission came.

    Args:
        in_doubt: Whether a transaction was sent whose outcome is open.
    """

    in_doubt: bool = False

    def unfinished(self, patch_id):
        """Return the failure of a submission that ran out of time."""
        if self.in_doubt:
            reason = f'patch {patch_id} may be accepted: ask its status'
            return expression.Error(errors.StoreOutcomeUnknown(reason))
        reason = 'the store took too long; this submission changed nothing'
        return _not_run(reason)


class Acceptance:
    """Accepts patches into the platform's table and object store.

    Args:
        rows: A `table.Table`.
        objects: An `objects.Objects`.
        clock: A `clock.Clock`.
    """

    def __init__(self, rows, objects, clock):
        self._rows = rows
        self._objects = objects
        self._clock = clock

    async def submit(self, submission, timeout):
        """Accept a patch against the version it names.

        A repeat with the same patch id and patch returns the version that
        was accepted before.

        Args:
            submission: A `Submission`.
            timeout: Seconds, for all calls to the store together.

        Returns:
            `Ok(versions.Version)` or `Error(errors.SubmitFailure)`; only
            `errors.StoreOutcomeUnknown` leaves open whether it was accepted.
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
            return progress.unfinished(submission.patch_id)

    async def status(self, patch_id):
        """Return what became of a patch id.

        A patch in flight may still be accepted after `UNUSED` was read;
        `abandon` excludes that.

        Returns:
            `Ok(PatchStatus)` or `Error(errors.StoreNotRun)`.
        """
        found = await self._rows.read([_patch_key(patch_id)])
        return found.map(lambda rows: _status(patch_id, rows[0]))

    async def abandon(self, patch_id):
        """Make sure that an unused patch id is never accepted.

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
        reason = f'abandoning {patch_id} got no answer: repeat it'
        return expression.Error(errors.StoreOutcomeUnknown(reason))

    async def head(self):
        """Return the newest accepted version's identity.

        Returns:
            `Ok(Head)` or `Error(errors.StoreNotRun)`.
        """
        found = await self._rows.read([HEAD])
        return found.map(lambda rows: _head(rows[0]))

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
            A `dispatch.VersionsFetched`: the chain when it is short enough,
            else the last version and its document; empty on failure.
        """
        nothing = dispatch.VersionsFetched(())
        if upto <= after:
            return nothing
        if not whole and upto - after <= MAX_CHAIN:
            found = await self._listed(range(after + 1, upto + 1))
            if found is None:
                return nothing
            return dispatch.VersionsFetched(
                tuple(item.version for item in found)
            )
        found = await self._listed([upto])
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
        return await self._blob(values['blob'], values['digest'])

    async def listing(self, after, limit):
        """Return accepted versions in order.

        Args:
            after: Version number to start behind; 0 for the first.
            limit: Most versions returned.

        Returns:
            `Ok(tuple[Listed, ...])` or `Error(errors.StoreNotRun)`.
        """
        row = _version_key(after).row
        found = await self._rows.scan('versions', row, limit)
        return found.map(lambda rows: tuple(map(_listed, rows)))

    async def _prepare(self, submission):
        """Return a `_Candidate`, or the result that ends the submission."""
        seen = await self._see(submission.patch_id)
        if seen.is_error():
            return seen
        if seen.ok.patch is not None:
            return await self._known(submission, seen.ok.patch)
        if seen.ok.head.number != submission.base:
            return await self._moved(submission, seen.ok.head)
        document = await self._next_document(submission, seen.ok.head)
        if document.is_error():
            return document
        return await self._candidate(submission, seen.ok.head, document.ok)

    async def _next_document(self, submission, head):
        base = await self._base(head)
        if base.is_error():
            return base
        after = patches.apply(base.ok, submission.patch)
        if after.is_error():
            return after
        if after.ok == base.ok:
            reason = 'the patch changes nothing'
            return expression.Error(errors.Invalid(reason, 'patch'))
        return _checked(after.ok, head.number + 1)

    async def _base(self, head):
        if head.number == 0:
            return expression.Ok(versions.EMPTY_DOCUMENT)
        found = await self._blob(head.blob, head.digest)
        if found.is_ok() and found.ok is not None:
            return found
        reason = f'the document of version {head.number} cannot be read'
        return _not_run(reason)

    async def _candidate(self, submission, head, document):
        data = documents.compress(document)
        if len(data) > documents.MAX_COMPRESSED_BYTES:
            reason = f'over {documents.MAX_COMPRESSED_BYTES} bytes compressed'
            return expression.Error(errors.Invalid(reason, 'document'))
        stored = await self._objects.put(self._own(data, submission))
        if stored.is_error():
            return _not_run(f'not accepted: {stored.error.reason}')
        version = versions.Version(
            head.number + 1,
            versions.digest(document),
            head.digest or versions.EMPTY_DIGEST,
            submission.patch_id,
            submission.patch,
            int(self._clock.wall() * _MILLISECONDS),
        )
        return _Candidate(version, submission.operator, head, stored.ok)

    def _own(self, data, submission):
        times = f'{self._clock.wall()}/{self._clock.monotonic()}'
        return documents.named(data, f'{submission.patch_id}/{times}')

    async def _accept(self, submission, progress):
        prepared = await self._prepare(submission)
        if not isinstance(prepared, _Candidate):
            return prepared
        writes = self._writes(prepared)
        delay = FIRST_RETRY_S
        while True:
            result = await self._attempt(prepared, writes, progress)
            if result is not None:
                return result
            await asyncio.sleep(delay)
            delay = min(2 * delay, LAST_RETRY_S)

    async def _attempt(self, candidate, writes, progress):
        """Return a definite result, or None while the outcome is open.

        Repeating the transaction is safe: the head never names the same
        number twice and the patch id is used up.
        """
        version = candidate.version
        was_in_doubt = progress.in_doubt
        progress.in_doubt = True
        written = await self._rows.transact(writes, _token(version))
        if written.is_ok():
            return expression.Ok(version)
        if not isinstance(written.error, errors.StoreOutcomeUnknown):
            progress.in_doubt = was_in_doubt
        if isinstance(written.error, errors.ConditionFailed):
            return await self._explain(candidate)
        seen = await self._see(version.patch_id)
        if seen.is_ok() and seen.ok.patch is not None:
            return await self._known(_submission(candidate), seen.ok.patch)
        return None

    async def _explain(self, candidate):
        seen = await self._see(candidate.version.patch_id)
        if seen.is_error():
            return None
        submission = _submission(candidate)
        if seen.ok.patch is not None:
            return await self._known(submission, seen.ok.patch)
        if seen.ok.head.number != candidate.head.number:
            return await self._moved(submission, seen.ok.head)
        return _not_run('its document was removed meanwhile: repeat')

    def _writes(self, candidate):
        version = candidate.version
        head = Head(version.number, version.digest, candidate.blob)
        return [
            table.Put(HEAD, _head_values(head), _unmoved(candidate.head)),
            table.Put(
                _patch_key(version.patch_id),
                {
                    'schema': SCHEMA,
                    'state': PatchState.ACCEPTED.value,
                    'number': version.number,
                    'patch': _hash(version.patch),
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
                {'state': blobs.KEPT},
                table.Absent(),
            ),
        ]

    async def _see(self, patch_id):
        found = await self._rows.read([HEAD, _patch_key(patch_id)])
        return found.map(
            lambda rows: _Seen(
                _head(rows[0]), None if rows[1] is None else rows[1].values
            )
        )

    async def _known(self, submission, row):
        """Return the result of a patch id that was used before."""
        patch_id = submission.patch_id
        if row['state'] == PatchState.ABANDONED:
            reason = f'patch {patch_id} was abandoned and never accepted'
            return expression.Error(errors.PatchAbandoned(reason))
        number = row['number']
        is_same = row['patch'] == _hash(submission.patch)
        if not is_same or number != submission.base + 1:
            reason = f'patch {patch_id} is accepted with other content'
            return expression.Error(errors.PatchIdReused(reason))
        found = await self._listed([number])
        if found is None:
            reason = f'accepted as version {number}, which cannot be read'
            return expression.Error(errors.StoreOutcomeUnknown(reason))
        return expression.Ok(found[0].version)

    async def _moved(self, submission, head):
        if head.number < submission.base:
            reason = f'version {submission.base} does not exist'
            return expression.Error(errors.StaleBase(reason, head.number))
        first = max(submission.base + 1, head.number - MAX_CHAIN + 1)
        since = await self._listed(range(first, head.number + 1)) or ()
        clashes = patches.clashes(
            submission.patch, [item.version.patch for item in since]
        )
        reason = (
            f'not accepted: the head is {head.number}, '
            f'the patch names {submission.base}'
        )
        return expression.Error(errors.StaleBase(reason, head.number, clashes))

    async def _listed(self, numbers):
        found = await self._rows.read(list(map(_version_key, numbers)))
        if found.is_error() or None in found.ok:
            return None
        return [_listed(row) for row in found.ok]

    async def _blob(self, name, digest):
        found = await self._objects.get(name)
        if found.is_error() or found.ok is None:
            return found
        document = documents.decompress(found.ok)
        if document.is_ok() and versions.digest(document.ok) != digest:
            reason = 'the stored document does not fit its digest'
            return expression.Error(errors.Invalid(reason, name))
        return document


def _checked(document, number):
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


def _unmoved(head):
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


def _head(row):
    if row is None:
        return Head()
    values = row.values
    return Head(values['number'], values['digest'], values['blob'])


def _listed(row):
    values = row.values
    version = versions.Version(
        values['number'],
        values['digest'],
        values['parent_digest'],
        values['patch_id'],
        values['patch'],
        values['accepted_ms'],
    )
    return Listed(version, values['operator'])


def _status(patch_id, row):
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


def _token(version):
    text = f'{version.patch_id}/{version.number}/{_hash(version.patch)}'
    return f'accept-{_hash(text.encode())}'


def _hash(data):
    return hashlib.sha256(data).hexdigest()
