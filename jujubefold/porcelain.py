"""What operators do, as plain functions; the command line is a shell."""

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
from jujubefold import timeline as event_line
from jujubefold import versions as versions_model

POLL_INTERVAL_S = 0.2
PAGE = 100
DAEMONS_AT_ONCE = 32

_PATCH_ID = re.compile(adminmodels.PATCH_ID_PATTERN)


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """What an apply would change.

    Args:
        base: Version number the plan was made against.
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
    """How far a version has come over the fleet.

    Args:
        version: The version looked for.
        behind: VM names of live daemons that hold an older one.
        total: Live daemons.
    """

    version: int
    behind: tuple[str, ...]
    total: int

    @property
    def done(self):
        """Whether every live daemon holds the version."""
        return self.total > 0 and not self.behind


@dataclasses.dataclass(frozen=True, slots=True)
class MergedTimeline:
    """Events of all daemons in causal order.

    Args:
        events: `events.Stamped`, earliest first.
        silent: VM names of daemons that did not answer.
    """

    events: tuple
    silent: tuple[str, ...]


def check_settings(path, sidecar=False):
    """Check a daemon's settings file.

    Args:
        path: TOML file.
        sidecar: Whether it is one of a sidecar on a users' platform.

    Returns:
        `Ok(values)`, a mapping with defaults filled in, or
        `Error(errors.Invalid)`; see `settings.load` and `options.load`.
    """
    if sidecar:
        return options.load(path).map(msgspec.to_builtins)
    found = settings.load(pathlib.Path(path))
    return found.map(lambda item: item.model_dump(mode='json'))


def settings_lines(values, prefix=''):
    """Yield a line for each value of settings, named by its sections.

    Args:
        values: What `check_settings` returned.
        prefix: Sections around it, each with a dot.
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
        `Ok(Plan)`, or `Error` of what `validate` or the client gives.
    """
    wanted = validate(path)
    if wanted.is_error():
        return wanted
    held = _document(client, base)
    if held.is_error():
        return held
    number, document = held.ok
    patch = patches.difference(document, wanted.ok)
    return expression.Ok(Plan(number, tuple(json.loads(patch))))


def apply(client, path, base, patch_id=None):
    """Submit what makes the configuration equal declarations.

    Args:
        client: An `adminclient.AdminClient`.
        path: TOML file.
        base: Version number the operator planned against.
        patch_id: Name of the patch; a new one by default.

    Returns:
        `Ok(VersionSummary)`, or `Error` of what `plan` or `submit` gives.
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
        patch_id: Name of the patch; a new one by default.

    Returns:
        `Ok(VersionSummary)`, or `Error` of `adminmodels.Problem`,
        `errors.Invalid` or `errors.PeerUnreachable`.
    """
    named = _named(new_patch_id() if patch_id is None else patch_id)
    if named.is_error():
        return named
    normal = patches.normalize(patch)
    if normal.is_error():
        return normal
    submission = adminmodels.PatchSubmission(
        base=base, patch_id=named.ok, patch=msgspec.Raw(normal.ok)
    )
    return client.send(
        'POST', '/v1/patches', adminmodels.VersionSummary, submission
    )


def submit_file(client, base, path, patch_id=None):
    """Submit the patch that a file holds; see `submit`.

    Args:
        client: An `adminclient.AdminClient`.
        base: Version number that the patch was made against.
        path: JSON file; `-` for standard input.
        patch_id: Name of the patch; a new one by default.
    """
    data = inputfiles.read_text(path, patches.MAX_PATCH_BYTES)
    if data.is_error():
        return data
    normal = patches.normalize(data.ok.encode())
    if normal.is_error():
        reason = f'not a JSON patch: {normal.error.reason}'
        return expression.Error(errors.Invalid(reason, str(path)))
    return submit(client, base, normal.ok, patch_id)


def new_patch_id():
    """Return a patch id that nobody used before."""
    return f'patch-{uuid.uuid4()}'


def patch_status(client, patch_id):
    """Say what became of a patch id.

    Returns:
        `Ok(adminmodels.PatchState)`, or `Error` as the client gives.
    """
    return _named(patch_id).bind(
        lambda name: client.get(_patch_path(name), adminmodels.PatchState)
    )


def patch_abandon(client, patch_id):
    """Make an undecided patch id definite: accepted, or never to run.

    Returns:
        `Ok(adminmodels.PatchState)`, or `Error` as the client gives.
    """
    return _named(patch_id).bind(
        lambda name: client.send(
            'POST', _patch_path(name) + '/abandon', adminmodels.PatchState
        )
    )


def versions(client, after=0, limit=PAGE):
    """List accepted versions.

    Returns:
        `Ok(tuple[VersionSummary, ...])`, or `Error` as the client gives.
    """
    kind = tuple[adminmodels.VersionSummary, ...]
    return client.get('/v1/versions', kind, after=after, limit=limit)


def version(client, number):
    """Read one version with its document.

    Returns:
        `Ok(adminmodels.VersionDetail)`, or `Error` as the client gives.
    """
    return client.get(f'/v1/versions/{number}', adminmodels.VersionDetail)


def diff(client, old, new):
    """Return the operations that lead from one version to another.

    Returns:
        `Ok(tuple[dict, ...])`, or `Error` as the client gives.
    """
    before = _document(client, old)
    if before.is_error():
        return before
    after = _document(client, new)
    if after.is_error():
        return after
    patch = patches.difference(before.ok[1], after.ok[1])
    return expression.Ok(tuple(json.loads(patch)))


def status(client):
    """Return one daemon's `adminmodels.Status`, as a result."""
    return client.get('/v1/status', adminmodels.Status)


def members(client):
    """Return the fleet as one daemon sees it, as a result."""
    return client.get('/v1/members', adminmodels.Fleet)


def convergence(client, number=None):
    """Say which daemons do not hold a version yet.

    Args:
        client: An `adminclient.AdminClient`.
        number: Version number; the highest in force anywhere by default.

    Returns:
        `Ok(Convergence)`, or `Error` as the client gives.
    """
    return members(client).map(lambda fleet: _convergence(fleet, number))


def watch(client, number, timeout, sleep=time.sleep, now=time.monotonic):
    """Yield `Convergence` until it is done or time has run out.

    Args:
        client: An `adminclient.AdminClient`.
        number: Version number looked for.
        timeout: Seconds to watch at most.
        sleep: Waits between two looks, in seconds.
        now: Monotonic seconds.

    Returns:
        Iterator of results as `convergence` gives.
    """
    deadline = now() + timeout
    while True:
        look = convergence(client, number)
        yield look
        if look.is_ok() and look.ok.done or now() >= deadline:
            return
        sleep(POLL_INTERVAL_S)


def timeline(client, wanted, open_client=adminclient.AdminClient):
    """Merge the events of all daemons.

    Args:
        client: An `adminclient.AdminClient` of any daemon.
        wanted: A `timeline.Filter`.
        open_client: Makes a client for a daemon's address.

    Returns:
        `Ok(MergedTimeline)`, or `Error` as the client gives.
    """
    fleet = members(client)
    if fleet.is_error():
        return fleet
    live = _live(fleet.ok)
    read = functools.partial(_member_timeline, open_client, wanted)
    with concurrent.futures.ThreadPoolExecutor(DAEMONS_AT_ONCE) as pool:
        pages = tuple(pool.map(read, live))
    silent = [m.vm for m, page in zip(live, pages) if page.is_error()]
    merged = event_line.merge(page.ok for page in pages if page.is_ok())
    return expression.Ok(MergedTimeline(tuple(merged), tuple(silent)))


def _member_timeline(open_client, wanted, member):
    return own_timeline(open_client(member.admin_address), wanted)


def own_timeline(client, wanted):
    """Return one daemon's own events.

    Args:
        client: An `adminclient.AdminClient`.
        wanted: A `timeline.Filter`.

    Returns:
        `Ok(list of events.Stamped)`, or `Error` as the client gives.
    """
    query = {
        'request': wanted.request,
        'patch': wanted.patch,
        'version': wanted.version,
        'vm': wanted.vm,
        'name': wanted.name,
        'since_ns': wanted.since_ns,
        'until_ns': wanted.until_ns,
    }
    page = client.get('/v1/timeline', adminmodels.TimelinePage, **query)
    return page.map(
        lambda found: [
            adminmodels.stamped_event(event) for event in found.events
        ]
    )


def drain(client):
    """Ask a daemon to drain its upstream and leave, as a result."""
    return client.send('POST', '/v1/drain', adminmodels.Status)


def _named(patch_id):
    if _PATCH_ID.fullmatch(patch_id):
        return expression.Ok(patch_id)
    reason = 'needs 1 to 128 of A-Z a-z 0-9 ._:- and no sign first'
    return expression.Error(errors.Invalid(reason, f'patch id {patch_id!r}'))


def _patch_path(name):
    return f'/v1/patches/{urllib.parse.quote(name, safe="")}'


def _document(client, number):
    if number == 0:
        return expression.Ok((0, json.loads(versions_model.EMPTY_DOCUMENT)))
    if number is None:
        head = client.get('/v1/head', adminmodels.VersionSummary)
        if head.is_error():
            return head
        return _document(client, head.ok.number)
    return version(client, number).map(
        lambda detail: (number, json.loads(bytes(detail.document)))
    )


def _live(fleet):
    gone = (messages.MemberState.DEAD, messages.MemberState.LEFT)
    return [member for member in fleet.members if member.state not in gone]


def _convergence(fleet, number):
    live = _live(fleet)
    newest = max((member.in_force for member in live), default=0)
    wanted = newest if number is None else number
    behind = tuple(member.vm for member in live if member.in_force < wanted)
    return Convergence(wanted, behind, len(live))
