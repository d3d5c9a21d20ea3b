"""Request handlers of a running daemon's operators' HTTP API."""

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

# Longest wait of a server thread for a result from the event loop.
LOOP_TIMEOUT_S = 30.0
MAX_PAGE_SIZE = 1000
_PATCH_ID = re.compile(adminmodels.PATCH_ID_PATTERN)


class AdminApi:
    """Handles operators' requests in the HTTP server's threads.

    Args:
        runtime: The `runtime.Runtime`.
        loop: The event loop that the runtime runs in.
    """

    def __init__(self, runtime, loop):
        self._runtime = runtime
        self._loop = loop

    def endpoints(self):
        """Return the tuple of `adminserver.Endpoint`."""
        endpoint = adminserver.endpoint
        return (
            endpoint('GET', '/metrics', self._metrics),
            endpoint('GET', '/v1/health', self._health),
            endpoint('GET', '/v1/status', self._status),
            endpoint('GET', '/v1/members', self._members),
            endpoint('GET', '/v1/head', self._head),
            endpoint('GET', '/v1/versions', self._versions),
            endpoint('GET', '/v1/versions/{}', self._version),
            endpoint(
                'POST', '/v1/patches', self._operators_only(self._submit)
            ),
            endpoint('GET', '/v1/patches/{}', self._patch),
            endpoint(
                'POST',
                '/v1/patches/{}/abandon',
                self._operators_only(self._abandon),
            ),
            endpoint('GET', '/v1/timeline', self._timeline),
            endpoint('PUT', '/v1/upstream', self._announce),
            endpoint('POST', '/v1/drain', self._operators_only(self._drain)),
        )

    def _metrics(self, request):
        return adminserver.Response(
            http.HTTPStatus.OK,
            self._call_in_loop(self._runtime.render_metrics),
            'text/plain; version=0.0.4; charset=utf-8',
        )

    def _health(self, request):
        if self._runtime.serving:
            return adminserver.Response(http.HTTPStatus.NO_CONTENT, b'')
        return adminserver.problem(
            http.HTTPStatus.SERVICE_UNAVAILABLE,
            'not-serving',
            'no version is in force on this daemon yet, or it is draining',
        )

    def _status(self, request):
        return adminserver.ok(self._call_in_loop(self._status_model))

    def _members(self, request):
        return adminserver.ok(self._call_in_loop(self._fleet_model))

    def _head(self, request):
        found = self._await_in_loop(self._runtime.version_store.head())
        if found.is_error():
            return _failure_response(found.error)
        head = found.ok
        return adminserver.ok(
            adminmodels.VersionSummary(
                number=head.number, digest=head.digest, patch_id=''
            )
        )

    def _versions(self, request):
        after = _query_number(request, 'after', 0)
        limit = _query_number(request, 'limit', MAX_PAGE_SIZE)
        if after is None or limit is None:
            return _invalid('after, limit', 'must be non-negative integers')
        found = self._await_in_loop(
            self._runtime.version_store.list_versions(
                after, min(limit, MAX_PAGE_SIZE)
            )
        )
        if found.is_error():
            return _failure_response(found.error)
        return adminserver.ok([_summary(item.version) for item in found.ok])

    def _version(self, request):
        if not request.path[0].isdecimal():
            return _invalid('version', 'must be a non-negative integer')
        number = int(request.path[0])
        listed = self._listed(number)
        if listed.is_error():
            return _failure_response(listed.error)
        if not listed.ok or listed.ok[0].version.number != number:
            return _not_found(f'version {number} does not exist')
        document = self._await_in_loop(
            self._runtime.version_store.document(number)
        )
        if document.is_error():
            return _failure_response(document.error)
        if document.ok is None:
            return _not_found(f'version {number} has no stored document')
        version = listed.ok[0].version
        return adminserver.ok(
            adminmodels.VersionDetail(
                summary=_summary(version),
                patch=msgspec.Raw(version.patch),
                document=msgspec.Raw(document.ok),
            )
        )

    def _listed(self, number):
        """List one version: the first whose number is at least this."""
        return self._await_in_loop(
            self._runtime.version_store.list_versions(number - 1, 1)
        )

    def _submit(self, request):
        decoded = adminmodels.decode(request.body, adminmodels.PatchSubmission)
        if decoded.is_error():
            return adminserver.invalid(decoded.error)
        received = decoded.ok
        if not _PATCH_ID.fullmatch(received.patch_id):
            return _invalid(
                'patch_id',
                'must be 1 to 128 characters of A-Z a-z 0-9 ._:- and start '
                'with a letter or digit',
            )
        submission = versionstore.Submission(
            received.base,
            received.patch_id,
            bytes(received.patch),
            request.operator or 'unnamed',
        )
        result = self._await_in_loop(self._runtime.submit(submission))
        if result.is_error():
            return _failure_response(result.error)
        return adminserver.ok(_summary(result.ok), http.HTTPStatus.CREATED)

    def _patch(self, request):
        found = self._await_in_loop(
            self._runtime.version_store.status(request.path[0])
        )
        return self._patch_state(found)

    def _abandon(self, request):
        patch_id = request.path[0]
        if not _PATCH_ID.fullmatch(patch_id):
            return _invalid(
                'patch_id',
                'must be 1 to 128 characters of A-Z a-z 0-9 ._:- and start '
                'with a letter or digit',
            )
        found = self._await_in_loop(
            self._runtime.version_store.abandon(patch_id)
        )
        return self._patch_state(found)

    def _patch_state(self, found):
        if found.is_error():
            return _failure_response(found.error)
        status = found.ok
        version = None
        if status.number:
            listed = self._listed(status.number)
            if listed.is_error():
                return _failure_response(listed.error)
            version = _summary(listed.ok[0].version)
        return adminserver.ok(
            adminmodels.PatchState(
                patch_id=status.patch_id,
                outcome=status.state.value,
                version=version,
            )
        )

    def _timeline(self, request):
        event_filter = _timeline_filter(request.query)
        if event_filter is None:
            return _invalid(
                'version, since_ns, until_ns', 'must be non-negative integers'
            )
        selected = self._call_in_loop(
            lambda: list(self._runtime.timeline.select(event_filter))
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
        result = self._call_in_loop(
            functools.partial(self._runtime.announce, announcement)
        )
        if result.is_error():
            return adminserver.invalid(result.error)
        return adminserver.Response(http.HTTPStatus.NO_CONTENT, b'')

    def _drain(self, request):
        self._call_in_loop(self._runtime.drain)
        return adminserver.ok(self._call_in_loop(self._status_model))

    def _operators_only(self, handler):
        """Return a handler that refuses operators who are not listed."""

        def checked(request):
            refusal = self._operator_refusal(request)
            return handler(request) if refusal is None else refusal

        return checked

    def _operator_refusal(self, request):
        """Return the response to an operator not listed, or None."""
        checked = trust.may_submit(self._runtime.options.tls, request.operator)
        if checked.is_ok():
            return None
        event = events.Event('operator.refused', detail=request.operator)
        self._call_in_loop(functools.partial(self._runtime.record, event))
        return adminserver.problem(
            http.HTTPStatus.FORBIDDEN,
            'operator',
            f'{checked.error.where}: {checked.error.reason}',
        )

    def _status_model(self):
        runtime = self._runtime
        dissemination = runtime.tables.dissemination
        local = runtime.tables.membership.local
        load = gate.current_load(runtime.gate)
        held = dissemination.version_in_force
        return adminmodels.Status(
            vm=local.vm,
            incarnation=local.incarnation,
            region=local.region,
            failure_domain=local.failure_domain,
            in_force=dissemination.in_force,
            digest=held.version.digest if held else '',
            head=max(dissemination.wanted, dissemination.in_force),
            serving=runtime.serving,
            draining=runtime.stop_requested.is_set(),
            upstream_service=local.service,
            upstream_state=local.upstream_state,
            slots=local.slots,
            running=load.running,
            queued=load.queued,
            peer_address=local.peer_address,
            call_address=local.call_address,
            caller_address=runtime.caller_address,
            admin_address=local.admin_address,
            uptime_s=runtime.uptime,
            held_back=tuple(
                adminmodels.HeldBack(number=number, reason=reason)
                for number, reason in dissemination.held_back.items()
            ),
        )

    def _fleet_model(self):
        table = self._runtime.tables.membership
        members = (table.local, *table.members.values())
        ordered = sorted(members, key=lambda member: member.vm)
        models = tuple(map(adminmodels.member_model, ordered))
        return adminmodels.Fleet(seen_by=table.local.vm, members=models)

    def _call_in_loop(self, function):
        """Run a function in the event loop's thread; return its result."""

        async def run():
            return function()

        return self._await_in_loop(run())

    def _await_in_loop(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self._loop)
        return future.result(LOOP_TIMEOUT_S)


@functools.singledispatch
def _failure_response(failure):
    raise errors.BrokenInvariant(
        f'no HTTP response is defined for {failure!r}'
    )


@_failure_response.register
def _(failure: errors.Invalid):
    return adminserver.invalid(failure)


@_failure_response.register
def _(failure: errors.StaleBase):
    return adminserver.problem(
        http.HTTPStatus.CONFLICT,
        'base-moved',
        failure.reason,
        head=failure.head,
        clashes=failure.clashes,
    )


@_failure_response.register
def _(failure: errors.PatchAbandoned):
    return adminserver.problem(
        http.HTTPStatus.GONE, 'patch-abandoned', failure.reason
    )


@_failure_response.register
def _(failure: errors.PatchIdReused):
    return adminserver.problem(
        http.HTTPStatus.CONFLICT, 'patch-id-reused', failure.reason
    )


@_failure_response.register
def _(failure: errors.StoreNotRun):
    return adminserver.problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE, 'store', failure.reason
    )


@_failure_response.register
def _(failure: errors.StoreOutcomeUnknown):
    return adminserver.problem(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        'store',
        failure.reason,
        ran=errors.Outcome.UNKNOWN,
    )


def _summary(version):
    return adminmodels.VersionSummary(
        number=version.number,
        digest=version.digest,
        patch_id=version.patch_id,
    )


def _invalid(where, reason):
    return adminserver.invalid(errors.Invalid(reason, where))


def _not_found(detail):
    return adminserver.problem(http.HTTPStatus.NOT_FOUND, 'missing', detail)


def _query_number(request, name, default):
    text = request.query.get(name, str(default))
    return int(text) if text.isdecimal() else None


def _timeline_filter(query):
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
