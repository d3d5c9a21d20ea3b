"""Endpoints of the operators' HTTP API, over a running daemon."""

import asyncio
import functools
import http
import re

import msgspec
import pydantic

from jujubefold import adminmodels
from jujubefold import adminserver
from jujubefold import errors
from jujubefold import events
from jujubefold import gate
from jujubefold import timeline
from jujubefold import trust
from jujubefold import upstreams
from jujubefold import versionstore

CALL_TIMEOUT_S = 30.0
MAX_PAGE = 1000
_PATCH_ID = re.compile(adminmodels.PATCH_ID_PATTERN)


class AdminApi:
    """Answers operators' requests in the server's threads.

    Args:
        runtime: The `runtime.Runtime`.
        loop: The event loop that it runs in.
    """

    def __init__(self, runtime, loop):
        self._runtime = runtime
        self._loop = loop

    def endpoints(self):
        """Return the tuple of `adminserver.Endpoint`."""
        entry = adminserver.endpoint
        return (
            entry('GET', '/metrics', self._metrics),
            entry('GET', '/v1/health', self._health),
            entry('GET', '/v1/status', self._status),
            entry('GET', '/v1/members', self._members),
            entry('GET', '/v1/head', self._head),
            entry('GET', '/v1/versions', self._versions),
            entry('GET', '/v1/versions/{}', self._version),
            entry('POST', '/v1/patches', self._guarded(self._submit)),
            entry('GET', '/v1/patches/{}', self._patch),
            entry(
                'POST',
                '/v1/patches/{}/abandon',
                self._guarded(self._abandon),
            ),
            entry('GET', '/v1/timeline', self._timeline),
            entry('PUT', '/v1/upstream', self._announce),
            entry('POST', '/v1/drain', self._guarded(self._drain)),
        )

    def _metrics(self, request):
        return adminserver.Answer(
            http.HTTPStatus.OK,
            self._call(self._runtime.render_metrics),
            'text/plain; version=0.0.4; charset=utf-8',
        )

    def _health(self, request):
        if self._runtime.serving:
            return adminserver.Answer(http.HTTPStatus.NO_CONTENT, b'')
        return adminserver.problem(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'not-serving',
            'no version is in force here, or the daemon is leaving',
        )

    def _status(self, request):
        return adminserver.ok(self._call(self._own_status))

    def _members(self, request):
        return adminserver.ok(self._call(self._fleet))

    def _head(self, request):
        found = self._await(self._runtime.version_store.head())
        if found.is_error():
            return _refusal(found.error)
        head = found.ok
        return adminserver.ok(
            adminmodels.VersionSummary(
                number=head.number, digest=head.digest, patch_id=''
            )
        )

    def _versions(self, request):
        after = _number(request, 'after', 0)
        limit = _number(request, 'limit', MAX_PAGE)
        if after is None or limit is None:
            return _invalid('after, limit', 'needs a whole number')
        found = self._await(
            self._runtime.version_store.list_versions(
                after, min(limit, MAX_PAGE)
            )
        )
        if found.is_error():
            return _refusal(found.error)
        return adminserver.ok([_summary(item.version) for item in found.ok])

    def _version(self, request):
        if not request.path[0].isdecimal():
            return _invalid('version', 'needs a whole number')
        number = int(request.path[0])
        listed = self._listed(number)
        if listed.is_error():
            return _refusal(listed.error)
        if not listed.ok or listed.ok[0].version.number != number:
            return _missing(f'no version {number}')
        document = self._await(self._runtime.version_store.document(number))
        if document.is_error():
            return _refusal(document.error)
        if document.ok is None:
            return _missing(f'no document of version {number}')
        version = listed.ok[0].version
        return adminserver.ok(
            adminmodels.VersionDetail(
                summary=_summary(version),
                patch=msgspec.Raw(version.patch),
                document=msgspec.Raw(document.ok),
            )
        )

    def _listed(self, number):
        """Return the listing that begins with a version number."""
        return self._await(
            self._runtime.version_store.list_versions(number - 1, 1)
        )

    def _submit(self, request):
        decoded = adminmodels.decode(request.body, adminmodels.PatchSubmission)
        if decoded.is_error():
            return adminserver.invalid(decoded.error)
        wanted = decoded.ok
        if not _PATCH_ID.fullmatch(wanted.patch_id):
            return _invalid('patch_id', 'needs 1 to 128 of A-Z a-z 0-9 ._:-')
        submission = versionstore.Submission(
            wanted.base,
            wanted.patch_id,
            bytes(wanted.patch),
            request.operator or 'unnamed',
        )
        result = self._await(self._runtime.submit(submission))
        if result.is_error():
            return _refusal(result.error)
        return adminserver.ok(_summary(result.ok), http.HTTPStatus.CREATED)

    def _patch(self, request):
        found = self._await(
            self._runtime.version_store.status(request.path[0])
        )
        return self._patch_state(found)

    def _abandon(self, request):
        name = request.path[0]
        if not _PATCH_ID.fullmatch(name):
            return _invalid('patch_id', 'needs 1 to 128 of A-Z a-z 0-9 ._:-')
        found = self._await(self._runtime.version_store.abandon(name))
        return self._patch_state(found)

    def _patch_state(self, found):
        if found.is_error():
            return _refusal(found.error)
        status = found.ok
        version = None
        if status.number:
            listed = self._listed(status.number)
            if listed.is_error():
                return _refusal(listed.error)
            version = _summary(listed.ok[0].version)
        return adminserver.ok(
            adminmodels.PatchState(
                patch_id=status.patch_id,
                outcome=status.state.value,
                version=version,
            )
        )

    def _timeline(self, request):
        wanted = _filter(request.query)
        if wanted is None:
            return _invalid('version, since_ns, until_ns', 'needs a number')
        selected = self._call(
            lambda: list(self._runtime.timeline.select(wanted))
        )
        page = tuple(map(adminmodels.event_model, selected))
        return adminserver.ok(adminmodels.TimelinePage(events=page))

    def _announce(self, request):
        try:
            announcement = upstreams.Announcement.model_validate_json(
                request.body
            )
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            where = '.'.join(map(str, first['loc'])) or 'body'
            return _invalid(where, first['msg'])
        result = self._call(
            functools.partial(self._runtime.announce, announcement)
        )
        if result.is_error():
            return adminserver.invalid(result.error)
        return adminserver.Answer(http.HTTPStatus.NO_CONTENT, b'')

    def _drain(self, request):
        self._call(self._runtime.drain)
        return adminserver.ok(self._call(self._own_status))

    def _guarded(self, answer):
        """Return an endpoint's function that only listed operators reach."""

        def guarded(request):
            refused = self._refused(request)
            return answer(request) if refused is None else refused

        return guarded

    def _refused(self, request):
        """Return the refusal of an operator not listed, or None."""
        checked = trust.may_submit(self._runtime.options.tls, request.operator)
        if checked.is_ok():
            return None
        refused = events.Event('operator.refused', detail=request.operator)
        self._call(functools.partial(self._runtime.record, refused))
        return adminserver.problem(
            http.HTTPStatus.FORBIDDEN,
            'operator',
            f'{checked.error.where}: {checked.error.reason}',
        )

    def _own_status(self):
        runtime = self._runtime
        spread = runtime.tables.dissemination
        me = runtime.tables.membership.local
        load = gate.current_load(runtime.gate)
        held = spread.version_in_force
        return adminmodels.Status(
            vm=me.vm,
            incarnation=me.incarnation,
            region=me.region,
            failure_domain=me.failure_domain,
            in_force=spread.in_force,
            digest=held.version.digest if held else '',
            head=max(spread.wanted, spread.in_force),
            serving=runtime.serving,
            draining=runtime.stop_wanted.is_set(),
            upstream_service=me.service,
            upstream_state=me.upstream_state,
            slots=me.slots,
            running=load.running,
            queued=load.queued,
            peer_address=me.peer_address,
            call_address=me.call_address,
            caller_address=runtime.caller_address,
            admin_address=me.admin_address,
            uptime_s=runtime.uptime,
            held_back=tuple(
                adminmodels.HeldBack(number=number, reason=reason)
                for number, reason in spread.held_back.items()
            ),
        )

    def _fleet(self):
        table = self._runtime.tables.membership
        members = (table.local, *table.members.values())
        ordered = sorted(members, key=lambda member: member.vm)
        shown = tuple(map(adminmodels.member_model, ordered))
        return adminmodels.Fleet(seen_by=table.local.vm, members=shown)

    def _call(self, function):
        """Run a function in the loop's thread and return its result."""

        async def run():
            return function()

        return self._await(run())

    def _await(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(CALL_TIMEOUT_S)


@functools.singledispatch
def _refusal(failure):
    raise errors.BrokenInvariant(f'no answer for {failure!r}')


@_refusal.register
def _(failure: errors.Invalid):
    return adminserver.invalid(failure)


@_refusal.register
def _(failure: errors.BaseMoved):
    return adminserver.problem(
        http.HTTPStatus.CONFLICT,
        'base-moved',
        failure.reason,
        head=failure.head,
        clashes=failure.clashes,
    )


@_refusal.register
def _(failure: errors.PatchAbandoned):
    return adminserver.problem(
        http.HTTPStatus.GONE, 'patch-abandoned', failure.reason
    )


@_refusal.register
def _(failure: errors.PatchIdReused):
    return adminserver.problem(
        http.HTTPStatus.CONFLICT, 'patch-id-reused', failure.reason
    )


@_refusal.register
def _(failure: errors.StoreNotRun):
    return adminserver.problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE, 'store', failure.reason
    )


@_refusal.register
def _(failure: errors.StoreUnknown):
    return adminserver.problem(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        'store',
        failure.reason,
        ran=errors.Ran.UNKNOWN,
    )


def _summary(version):
    return adminmodels.VersionSummary(
        number=version.number,
        digest=version.digest,
        patch_id=version.patch_id,
    )


def _invalid(where, reason):
    return adminserver.invalid(errors.Invalid(reason, where))


def _missing(detail):
    return adminserver.problem(http.HTTPStatus.NOT_FOUND, 'missing', detail)


def _number(request, name, default):
    text = request.query.get(name, str(default))
    return int(text) if text.isdecimal() else None


def _filter(query):
    numbers = ('version', 'since_ns', 'until_ns')
    if not all(query.get(name, '0').isdecimal() for name in numbers):
        return None
    version, since, until = (
        int(query[name]) if name in query else None for name in numbers
    )
    return timeline.Filter(
        request=query.get('request'),
        patch=query.get('patch'),
        version=version,
        vm=query.get('vm'),
        name=query.get('name'),
        since_ns=since,
        until_ns=until,
    )
