"""Operators' commands as functions, which the command line calls."""

import concurrent.futures
import dataclasses
import functools
import json
import pathlib
import re
import time
import urllib.parse
import uuid

import expression
import msgspec

from jujubefold import adminclient
from jujubefold import adminmodels
from jujubefold import declarations
from jujubefold import errors
from jujubefold import inputfiles
from jujubefold import messages
from jujubefold import patches
from jujubefold import settings
from jujubefold.sidecar import options
from jujubefold import timeline as timelines
from jujubefold import versions as versions_module

POLL_INTERVAL_S = 0.2
VERSIONS_PER_PAGE = 100
MAX_CONCURRENT_READS = 32

_PATCH_ID = re.compile(adminmodels.PATCH_ID_PATTERN)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Changes that `apply` would submit.

    Args:
        base: Number of the version that the plan was made against.
        operations: RFC 6902 operations; empty when nothing changes.
    """

    base: int
    operations: tuple[dict, ...]

    @property
    def patch(self):
        """The operations as JSON bytes."""
        return msgspec.json.encode(self.operations)


@dataclasses.dataclass(frozen=True, slots=True)
class Convergence:
    """On which daemons of the fleet a version is in force.

    Args:
        version: Number of the version asked for.
        behind: VM names of live daemons whose version in force is older.
        total: Number of live daemons.
    """

    version: int
    behind: tuple[str, ...]
    total: int

    @property
    def done(self):
        """Whether every live daemon has this version or a newer one."""
        return self.total > 0 and not self.behind


@dataclasses.dataclass(frozen=True, slots=True)
class MergedTimeline:
    """Events of all daemons in causal order.

    Args:
        events: `events.RecordedEvent`, earliest first.
        unreachable: VM names of daemons that did not respond.
    """

    events: tuple
    unreachable: tuple[str, ...]


def check_settings(path, sidecar=False):
    """Check a daemon's settings file.

    Args:
        path: TOML file.
        sidecar: Whether the file is for a sidecar; see `options.load`.

    Returns:
        `Ok(values)`, a nested dict with defaults filled in, or
        `Error(errors.Invalid)`; see `settings.load` and `options.load`.
    """
    if sidecar:
        return options.load(path).map(msgspec.to_builtins)
    loaded = settings.load(pathlib.Path(path))
    return loaded.map(lambda item: item.model_dump(mode='json'))


def settings_lines(values, prefix=''):
    """Yield a line for each setting, prefixed with its sections.

    Args:
        values: Nested dict as `check_settings` returns it.
        prefix: Enclosing sections, each followed by a dot.
    """
    for key, value in values.items():
        if isinstance(value, dict):
            yield from settings_lines(value, f'{prefix}{key}.')
        else:
            yield f'{prefix}{key} = {json.dumps(value)}'


def validate(path):
    """Check a file of declarations.

    Args:
        path: TOML file.

    Returns:
        `Ok(document)` or `Error(tuple[errors.Invalid, ...])`.
    """
    text = inputfiles.read_text(path)
    if text.is_error():
        return expression.Error((text.error,))
    parsed = declarations.parse(text.ok, str(path))
    if parsed.is_error():
        return parsed
    compiled = declarations.compile_mesh(parsed.ok, 0)
    return parsed if compiled.is_ok() else compiled


def plan(client, path, base=None):
    """Compare declarations with a version.

    Args:
        client: An `adminclient.AdminClient`.
        path: TOML file.
        base: Version number to compare with; the head by default.

    Returns:
        `Ok(Plan)`, or the `Error` of `validate` or the client.
    """
    declared = validate(path)
    if declared.is_error():
        return declared
    read = _read_document(client, base)
    if read.is_error():
        return read
    number, document = read.ok
    patch = patches.difference(document, declared.ok)
    return expression.Ok(Plan(number, tuple(json.loads(patch))))


def apply(client, path, base, patch_id=None):
    """Submit the patch that makes the configuration match declarations.

    Args:
        client: An `adminclient.AdminClient`.
        path: TOML file.
        base: Number of the version that the operator planned against.
        patch_id: Id of the patch; a new one by default.

    Returns:
        `Ok(VersionSummary)`, or the `Error` of `plan` or `submit`.
    """
    planned = plan(client, path, base)
    if planned.is_error():
        return planned
    if not planned.ok.operations:
        return expression.Error(
            errors.Invalid('nothing to change', f'version {base}')
        )
    return submit(client, base, planned.ok.patch, patch_id)


def submit(client, base, patch, patch_id=None):
    """Submit a patch against a base version.

    Args:
        client: An `adminclient.AdminClient`.
        base: Version number that the patch was made against.
        patch: RFC 6902 JSON bytes.
        patch_id: Id of the patch; a new one by default.

    Returns:
        `Ok(VersionSummary)`, or `Error` of `adminmodels.Problem`,
        `errors.Invalid` or `errors.PeerUnreachable`.
    """
    checked = _checked_patch_id(
        new_patch_id() if patch_id is None else patch_id
    )
    if checked.is_error():
        return checked
    normalized = patches.normalize(patch)
    if normalized.is_error():
        return normalized
    submission = adminmodels.PatchSubmission(
        base=base, patch_id=checked.ok, patch=msgspec.Raw(normalized.ok)
    )
    return client.send(
        'POST', '/v1/patches', adminmodels.VersionSummary, submission
    )


def submit_file(client, base, path, patch_id=None):
    """Submit the patch in a file; see `submit`.

    Args:
        client: An `adminclient.AdminClient`.
        base: Version number that the patch was made against.
        path: JSON file; `-` for standard input.
        patch_id: Id of the patch; a new one by default.
    """
    data = inputfiles.read_text(path, patches.MAX_PATCH_BYTES)
    if data.is_error():
        return data
    normalized = patches.normalize(data.ok.encode())
    if normalized.is_error():
        reason = f'not a JSON patch: {normalized.error.reason}'
        return expression.Error(errors.Invalid(reason, str(path)))
    return submit(client, base, normalized.ok, patch_id)


def new_patch_id():
    """Return a new, unique patch id."""
    return f'patch-{uuid.uuid4()}'


def patch_status(client, patch_id):
    """Read the outcome of a patch.

    Returns:
        `Ok(adminmodels.PatchState)`, or the client's `Error`.
    """
    return _checked_patch_id(patch_id).bind(
        lambda checked_id: client.get(
            _patch_path(checked_id), adminmodels.PatchState
        )
    )


def patch_abandon(client, patch_id):
    """Abandon a patch id, so that a pending submission never runs.

    A patch that was accepted already stays accepted.

    Returns:
        `Ok(adminmodels.PatchState)`, or the client's `Error`.
    """
    return _checked_patch_id(patch_id).bind(
        lambda checked_id: client.send(
            'POST',
            _patch_path(checked_id) + '/abandon',
            adminmodels.PatchState,
        )
    )


def versions(client, after=0, limit=VERSIONS_PER_PAGE):
    """List accepted versions.

    Returns:
        `Ok(tuple[VersionSummary, ...])`, or the client's `Error`.
    """
    kind = tuple[adminmodels.VersionSummary, ...]
    return client.get('/v1/versions', kind, after=after, limit=limit)


def version(client, number):
    """Read one version with its document.

    Returns:
        `Ok(adminmodels.VersionDetail)`, or the client's `Error`.
    """
    return client.get(f'/v1/versions/{number}', adminmodels.VersionDetail)


def diff(client, old, new):
    """Return the operations that turn one version into another.

    Returns:
        `Ok(tuple[dict, ...])`, or the client's `Error`.
    """
    before = _read_document(client, old)
    if before.is_error():
        return before
    after = _read_document(client, new)
    if after.is_error():
        return after
    patch = patches.difference(before.ok[1], after.ok[1])
    return expression.Ok(tuple(json.loads(patch)))


def status(client):
    """Return a daemon's `Ok(adminmodels.Status)`, or the client's `Error`."""
    return client.get('/v1/status', adminmodels.Status)


def members(client):
    """Return one daemon's view of the fleet.

    Returns:
        `Ok(adminmodels.Fleet)`, or the client's `Error`.
    """
    return client.get('/v1/members', adminmodels.Fleet)


def convergence(client, number=None):
    """Find the daemons where a version is not in force yet.

    Args:
        client: An `adminclient.AdminClient`.
        number: Version number; the highest in force anywhere by default.

    Returns:
        `Ok(Convergence)`, or the client's `Error`.
    """
    return members(client).map(lambda fleet: _fleet_convergence(fleet, number))


def watch(client, number, timeout, sleep=time.sleep, now=time.monotonic):
    """Poll `convergence` until it is done or the timeout expires.

    Args:
        client: An `adminclient.AdminClient`.
        number: Version number; the highest in force at each poll if None.
        timeout: Seconds after which polling ends.
        sleep: Function that waits a number of seconds.
        now: Function that returns monotonic seconds.

    Yields:
        The result of each poll, as `convergence` returns it.
    """
    deadline = now() + timeout
    while True:
        polled = convergence(client, number)
        yield polled
        if polled.is_ok() and polled.ok.done or now() >= deadline:
            return
        sleep(POLL_INTERVAL_S)


def timeline(client, event_filter, open_client=adminclient.AdminClient):
    """Merge the events of all daemons.

    Args:
        client: An `adminclient.AdminClient` of any daemon.
        event_filter: A `timeline.Filter`.
        open_client: Returns a client for a daemon's address.

    Returns:
        `Ok(MergedTimeline)`, or the client's `Error`.
    """
    fleet = members(client)
    if fleet.is_error():
        return fleet
    live = _live_members(fleet.ok)
    read = functools.partial(_member_timeline, open_client, event_filter)
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_READS) as pool:
        pages = tuple(pool.map(read, live))
    unreachable = [m.vm for m, page in zip(live, pages) if page.is_error()]
    merged = timelines.merge(page.ok for page in pages if page.is_ok())
    return expression.Ok(MergedTimeline(tuple(merged), tuple(unreachable)))


def _member_timeline(open_client, event_filter, member):
    return daemon_timeline(open_client(member.admin_address), event_filter)


def daemon_timeline(client, event_filter):
    """Return one daemon's own events.

    Args:
        client: An `adminclient.AdminClient`.
        event_filter: A `timeline.Filter`.

    Returns:
        `Ok(list of events.RecordedEvent)`, or the client's `Error`.
    """
    query = {
        'request': event_filter.request,
        'patch': event_filter.patch,
        'version': event_filter.version,
        'vm': event_filter.vm,
        'name': event_filter.name,
        'since_ns': event_filter.since_ns,
        'until_ns': event_filter.until_ns,
    }
    page = client.get('/v1/timeline', adminmodels.TimelinePage, **query)
    return page.map(
        lambda received: [
            adminmodels.stamped_event(event) for event in received.events
        ]
    )


def drain(client):
    """Make a daemon drain its upstream and stop.

    Returns:
        `Ok(adminmodels.Status)`, or the client's `Error`.
    """
    return client.send('POST', '/v1/drain', adminmodels.Status)


def _checked_patch_id(patch_id):
    if _PATCH_ID.fullmatch(patch_id):
        return expression.Ok(patch_id)
    reason = (
        'must be 1 to 128 characters of A-Z a-z 0-9 ._:- and start '
        'with a letter or digit'
    )
    return expression.Error(errors.Invalid(reason, f'patch id {patch_id!r}'))


def _patch_path(patch_id):
    return f'/v1/patches/{urllib.parse.quote(patch_id, safe="")}'


def _read_document(client, number):
    if number == 0:
        return expression.Ok((0, json.loads(versions_module.EMPTY_DOCUMENT)))
    if number is None:
        head = client.get('/v1/head', adminmodels.VersionSummary)
        if head.is_error():
            return head
        return _read_document(client, head.ok.number)
    return version(client, number).map(
        lambda detail: (number, json.loads(bytes(detail.document)))
    )


def _live_members(fleet):
    not_live = (messages.MemberState.DEAD, messages.MemberState.LEFT)
    return [member for member in fleet.members if member.state not in not_live]


def _fleet_convergence(fleet, number):
    live = _live_members(fleet)
    newest = max((member.in_force for member in live), default=0)
    target = newest if number is None else number
    behind = tuple(member.vm for member in live if member.in_force < target)
    return Convergence(target, behind, len(live))
