"""Ingress: accepts requests from callers on this VM and routes them.

Each request is offered to one gate after another, a gate being the admission
queue in front of one upstream, until an upstream answers or no further offer
is allowed.
"""

import asyncio
import dataclasses
import functools
import itertools

from jujubefold import backgroundtasks
from jujubefold import callhandler
from jujubefold import calls
from jujubefold import callserver
from jujubefold import eagertask
from jujubefold import errors
from jujubefold import httpheads
from jujubefold import problems
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import balancer
from jujubefold.sidecar import calldemand
from jujubefold.sidecar import callerwait
from jujubefold.sidecar import egress
from jujubefold.sidecar import limiter
from jujubefold.sidecar import quotaexchange
from jujubefold.sidecar import retrybudget
from jujubefold.sidecar import tenants
from jujubefold.sidecar import trafficsplit
from jujubefold.sidecar import transfer

# Maximum number of offers of one request before it is refused. Each offer
# costs a round trip, and the least loaded gates are tried first.
MAX_OFFERS = 5
# Number of gates that may decline for lack of a free slot before a request is
# offered with permission to wait in the queue.
MAX_FREE_SLOT_OFFERS = 2
# Seconds after the deadline during which the gate's result is still awaited.
DEADLINE_GRACE_S = egress.ANSWER_GRACE_S + 0.05
# Failure rate of an upstream above which it is not sent a request that
# another upstream has failed. Isolated faults are a few in a thousand.
COMMON_FAILURE_RATE = 0.1
# Seconds; an upstream that no daemon knows of needs about this long to
# start.
NO_UPSTREAM_RETRY_S = 0.3
NO_VERSION_RETRY_S = 0.5
# Seconds; a confirmation is asked for twice a second.
UNCONFIRMED_RETRY_S = 0.5
# Range of the random factor on Retry-After, so that refused callers do not
# all retry at once.
RETRY_AFTER_JITTER = (0.8, 1.6)

_SUCCESS = range(200, 300)
_FAILURES = range(500, 600)
_MS = 1000
_MAX_DEADLINE_DIGITS = 9
# Reasons with a status of their own: the cause is the request or its sender,
# not this daemon's or an upstream's state, which 503 tells.
_OWN_STATUS = frozenset(
    {
        calls.Reason.NO_ROUTE,
        calls.Reason.MALFORMED,
        calls.Reason.UNAUTHENTICATED,
        calls.Reason.QUOTA,
    }
)


@dataclasses.dataclass(slots=True, eq=False)
class _Call:
    """A request in progress.

    Args:
        attempt: The `attempt.Attempt` that is offered to gates.
        service: Service whose upstreams may answer it.
        max_sends: Maximum number of times it may be sent to an upstream.
        tenant: The `tenants.Tenant` that sent it; None without one.
        offer_count: Number of offers made so far.
        sends: Number of times it was sent to an upstream.
        offer_log: One entry for each offer, for the log line.
        offered_to: VM whose gate holds the request now; '' for none.
        retry_bucket: Budget bucket in which the next offer was counted as
            a retry; None if the next offer is not a retry.
        parent: The `calldemand.Run` on this VM that made it, or None.
        quota: The `quotaexchange.Decision` on it; None without a quota.
    """

    attempt: attempts.Attempt
    service: str
    max_sends: int
    tenant: tenants.Tenant | None = None
    offer_count: int = 0
    sends: int = 0
    offer_log: list = dataclasses.field(default_factory=list)
    offered_to: str = ''
    retry_bucket: retrybudget.Bucket | None = None
    parent: calldemand.Run | None = None
    quota: quotaexchange.Decision | None = None


class Ingress(callhandler.Handler):
    """Handles callers' requests.

    Args:
        names: `attempt.HeaderNames`.
        service: Service that runs on this VM; sent to upstreams as the
            caller's service.
        fleet: The `fleet.Fleet` whose gates requests are offered to.
        versions: The `versions.Versions` that holds routes and limits.
        retry_table: A `retrybudget.RetryTable`, the retry budget.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
        metrics: A `metrics.SidecarMetrics`.
        demand: The `calldemand.DemandTable` of this VM's gate.
        calls_first: Whether calls of running requests go before others.

    Attributes:
        closing: Whether new requests are refused because the daemon is
            stopping.
        retry_table: The retry budget passed to the constructor.
        rollout_choice: The `rollouts.Rollouts`; None without rollouts.
        keys_confirmed: Called without arguments; returns whether the keys of
            the version in force are sure to be current.
        quotas: The `quotaexchange.QuotaExchange`; None without quotas.
    """

    def __init__(
        self,
        *,
        names,
        service,
        fleet,
        versions,
        retry_table,
        clock,
        rng,
        event_log,
        metrics,
        demand,
        calls_first=True,
    ):
        self._names = names
        self._service = service.encode('latin-1')
        self._fleet = fleet
        self._versions = versions
        self.retry_table = retry_table
        self._traffic_splits = trafficsplit.SplitTable(rng)
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._metrics = metrics
        self._demand = demand
        self._calls_first = calls_first
        self._attempt_ids = itertools.count(1)
        self._tasks = {}
        self._mean_durations = {}
        self._wait_estimates = callerwait.WaitTable()
        self.closing = False
        self.rollout_choice = None
        self.keys_confirmed = lambda: True
        self.quotas = None

    @property
    def in_flight(self):
        """Ids of the requests in progress."""
        return tuple(call.attempt.request for call in self._tasks.values())

    def body_limit(self, request):
        """Return the maximum size of a request body in bytes."""
        return self._versions.current.limits.body_bytes

    def may_overlap(self, request):
        """Return whether a request of a pipelining caller may run twice."""
        mesh = self._versions.current.mesh
        route = mesh.match(request.host, request.path, request.method)
        return route is not None and calls.is_idempotent(route, request.method)

    def handle(self, exchange):
        """Start to serve a request that was received completely.

        Args:
            exchange: A `callserver` exchange; the answer is sent through it,
                and the request is cancelled if its caller disconnects.
        """
        now = self._clock.monotonic()
        request = exchange.request
        configuration = self._versions.current
        mesh = configuration.mesh
        if self.closing:
            self._refuse(exchange, calls.Reason.DRAINING, 0.0)
            return
        if not mesh.number:
            self._refuse(exchange, calls.Reason.NO_VERSION, NO_VERSION_RETRY_S)
            return
        route = mesh.match(request.host, request.path, request.method)
        if route is None:
            self._refuse(exchange, calls.Reason.NO_ROUTE, 0.0)
            return
        if (
            tenants.needs_key(configuration, route)
            and not self.keys_confirmed()
        ):
            # Its key may have been removed, or added, since.
            self._refuse(
                exchange, calls.Reason.UNCONFIRMED, UNCONFIRMED_RETRY_S
            )
            return
        sender = tenants.authenticate(configuration, route, request.headers)
        if sender.is_error():
            self._refuse(exchange, sender.error, 0.0)
            return
        remaining = self._remaining(request, route)
        if remaining is None:
            self._refuse(exchange, calls.Reason.MALFORMED, 0.0)
            return
        if now >= request.received_at + remaining:
            # It waited for earlier requests of its connection.
            self._refuse(exchange, calls.Reason.DEADLINE, 0.0)
            return
        call = self._new_call(
            request, route, configuration, sender.ok, remaining
        )
        task = eagertask.EagerTask(
            self._serve(call), functools.partial(self._finish, exchange)
        )
        self._tasks[task] = call
        if call.parent is not None:
            calldemand.start_call(call.parent, call.service, now)
        exchange.on_disconnect = task.cancel
        task.start()

    def cancel_expired(self, now):
        """Cancel requests whose deadline passed `DEADLINE_GRACE_S` ago.

        Args:
            now: Monotonic seconds.
        """
        for task, call in tuple(self._tasks.items()):
            if now > call.attempt.deadline + DEADLINE_GRACE_S:
                task.cancel()

    def cancel_all(self):
        """Cancel all requests in progress and return their ids."""
        names = self.in_flight
        for task in tuple(self._tasks):
            task.cancel()
        return names

    def _remaining(self, request, route):
        """Return the seconds until the caller's deadline.

        The route's timeout bounds it. Returns None if the caller's deadline
        header is malformed.
        """
        value = request.fields.get(self._names.deadline)
        if value is None:
            return route.timeout.request
        if not value.isdigit() or len(value) > _MAX_DEADLINE_DIGITS:
            return None
        return min(int(value) / _MS, route.timeout.request)

    def _new_call(self, request, route, configuration, tenant, remaining):
        names = self._names
        now = request.received_at
        request_id = request.fields.get(names.request)
        parent = None
        if self._calls_first:
            parent = calldemand.running_parent(
                self._demand, (request_id or b'').decode('latin-1')
            )
        headers = self._forwarded_headers(request, configuration, tenant)
        if request_id is None:
            request_id = b'%016x' % self._rng.getrandbits(64)
            headers.append((names.request, request_id))
        rank, deadline, waited = _rank(route, tenant), now + remaining, 0.0
        if parent is None:
            waited = callerwait.estimate(
                self._wait_estimates, route.name, round(remaining * _MS)
            )
        else:
            rank, deadline = parent.rank, min(deadline, parent.deadline)
        return _Call(
            attempts.Attempt(
                key=next(self._attempt_ids),
                request=request_id.decode('latin-1'),
                route=route.name,
                version=configuration.mesh.number,
                rank=rank,
                idempotent=calls.is_idempotent(route, request.method),
                arrived_at=now,
                objective_at=now + route.latency_objective - waited,
                deadline=deadline,
                method=request.method,
                target=request.target,
                headers=headers,
                body=_take_body(request),
                call=parent is not None,
            ),
            trafficsplit.choose(self._traffic_splits, route),
            route.retry.attempts,
            tenant,
            parent=parent,
        )

    def _forwarded_headers(self, request, configuration, tenant):
        """Return the headers for an upstream, without a caller's key."""
        names = self._names
        headers = httpheads.end_to_end_headers(
            request.headers,
            names.reserved
            if configuration.keys is None
            else names.reserved_with_tenants,
        )
        headers.append((names.caller, self._service))
        if tenant is not None:
            headers.append((names.tenant, tenant.name.encode()))
        return headers

    # Offers

    async def _serve(self, call):
        """Offer a request to gates until it is done; return the outcome."""
        if call.tenant is not None and self.quotas is not None:
            call.quota = await self.quotas.acquire(call.tenant)
            if not call.quota.granted:
                refusal = quotaexchange.refusal(call.quota)
                return attempts.Outcome(refusal=refusal)
        tried_vms = full_vms = frozenset()
        best = None
        preference = None
        if self.rollout_choice is not None:
            preference = self.rollout_choice.choose_track(call.service)
        duration = self._mean_durations.get(call.attempt.route, 0.0)
        while True:
            now = self._clock.monotonic()
            choice = balancer.choose(
                self._fleet.candidates(call.service),
                balancer.Criteria(
                    call.attempt.objective_at - now,
                    duration,
                    tried_vms,
                    full_vms,
                    call.attempt.body.size,
                    preference,
                    call.attempt.deadline - now if call.parent else None,
                ),
                now,
                self._rng,
            )
            if choice is None or _is_common_failure(
                best, choice.candidate, now
            ):
                _refund_unsent_retry(call, sent=False)
                return best or attempts.Outcome(
                    refusal=calls.Refusal(
                        errors.Outcome.DID_NOT_RUN,
                        calls.Reason.NO_UPSTREAM,
                        NO_UPSTREAM_RETRY_S,
                        'no upstream of the service accepts requests',
                    )
                )
            may_queue = (
                choice.may_queue or len(full_vms) >= MAX_FREE_SLOT_OFFERS
            )
            outcome = await self._offer(call, choice.candidate, may_queue, now)
            best = _more_informative(best, outcome)
            if _had_no_slot(outcome):
                full_vms |= {choice.candidate.vm}
            else:
                tried_vms |= {choice.candidate.vm}
            if not self._may_offer_again(call, outcome):
                return best
            if preference is not None:
                preference = self.rollout_choice.redirect(call.service)

    async def _offer(self, call, candidate, may_queue, now):
        call.offer_count += 1
        call.offered_to = candidate.vm
        # As believed now; the offer's answer brings a newer report.
        believed = {
            'running': candidate.load.running,
            'waiting': candidate.load.waiting,
            'slots': candidate.load.slots,
            'age': round(now - candidate.reported_at, 3),
            'full': candidate.announced_full,
            'slowness': round(balancer.expected_slowness(candidate, now), 2),
        }
        attempt = dataclasses.replace(call.attempt, may_queue=may_queue)
        outcome = self._checked(
            attempt, await self._fleet.offer(candidate, attempt)
        )
        call.offered_to = ''
        if outcome.sent and not call.sends:
            retrybudget.record_first_attempt(
                self.retry_table, call.service, self._clock.monotonic()
            )
        call.sends += outcome.sent
        _refund_unsent_retry(call, outcome.sent)
        if outcome.upstream_time:
            self._record_duration(call.attempt.route, candidate, outcome)
        call.offer_log.append(
            {
                'vm': candidate.vm,
                'distance': candidate.distance,
                **believed,
                'took': round(self._clock.monotonic() - now, 4),
                'end': _result_name(outcome),
            }
        )
        return outcome

    def _checked(self, attempt, outcome):
        """Return an outcome, or a doubt if its answer can't be the request's.

        Answers repeat the id of their request. One of another daemon was not
        read by this daemon's client.
        """
        answer = outcome.answer
        if answer is None:
            return outcome
        if answer.status not in httpheads.FINAL_STATUSES:
            return attempts.unknown_outcome(
                calls.Reason.UPSTREAM_GARBLED, f'status {answer.status}'
            )
        expected = self._names.request, attempt.request.encode('latin-1')
        if expected in answer.headers:
            return outcome
        self._event_log.record_request(
            'call.foreign_answer',
            request=attempt.request,
            route=attempt.route,
            status=answer.status,
            answered=dict(answer.headers)
            .get(self._names.request, b'')
            .decode('latin-1'),
        )
        return attempts.unknown_outcome(
            calls.Reason.UPSTREAM_GARBLED,
            'the answer belongs to another request',
        )

    def _record_duration(self, route, candidate, outcome):
        seconds = outcome.upstream_time
        mean = self._mean_durations.get(route, seconds)
        if not outcome.failed:
            balancer.record_duration(
                candidate, seconds, mean, self._clock.monotonic()
            )
        mean += limiter.EWMA_WEIGHT * (seconds - mean)
        self._mean_durations[route] = mean

    def _may_offer_again(self, call, outcome):
        """Return whether to offer a request to another gate.

        It must be safe to run again, before its deadline, and within its
        retry limit and the retry budget. A retry is counted in the budget
        here.
        """
        attempt = call.attempt
        if not self._is_retriable(attempt, outcome):
            return False
        now = self._clock.monotonic()
        if now >= attempt.deadline:
            return False
        if call.offer_count >= MAX_OFFERS and not _is_peer_lost(outcome):
            return False
        if not call.sends:
            return True
        if call.sends >= call.max_sends:
            return False
        daemon_count = self._fleet.roster.size
        call.retry_bucket = retrybudget.try_spend(
            self.retry_table, call.service, daemon_count, now
        )
        return call.retry_bucket is not None

    @staticmethod
    def _is_retriable(attempt, outcome):
        if outcome.answer is not None:
            return attempt.idempotent and outcome.answer.status in _FAILURES
        if outcome.refusal.reason in (
            calls.Reason.DEADLINE,
            calls.Reason.SUSPECT_REQUEST,
        ):
            return False
        return outcome.not_run or attempt.idempotent

    # Answers

    def _finish(self, exchange, task):
        call = self._tasks.pop(task)
        if call.quota is not None and not call.sends and not call.offered_to:
            self.quotas.put_back(call.quota)
        outcome = task.result
        if isinstance(task.error, asyncio.CancelledError):
            outcome = attempts.Outcome(refusal=self._deadline_refusal(call))
        elif task.error is not None:
            backgroundtasks.report_exception(task.error)
            outcome = attempts.Outcome(
                refusal=calls.Refusal(
                    errors.Outcome.UNKNOWN, calls.Reason.CANCELLED
                )
            )
        caller_left = not exchange.sender_connected
        if call.parent is not None:
            self._record_call(call, None if caller_left else outcome)
        status = self._reply(exchange, outcome)
        self._log_outcome(call, outcome, status, caller_left)

    def _record_call(self, call, outcome):
        now = self._clock.monotonic()
        attempt = call.attempt
        changed = calldemand.end_call(
            self._demand,
            call.parent,
            call.service,
            attempt.arrived_at,
            attempt.deadline,
            outcome,
            now,
        )
        if changed is not None:
            self._event_log.record(
                'call.shortage',
                service=call.service,
                short=changed.short,
                without_room=sum(changed.recent),
                run_seconds=round(changed.run_seconds, 4),
                allowed=round(changed.time_allowed, 3),
            )

    def _deadline_refusal(self, call):
        may_have_run = call.offered_to or call.sends
        ran = (
            errors.Outcome.UNKNOWN
            if may_have_run
            else errors.Outcome.DID_NOT_RUN
        )
        return calls.Refusal(
            ran,
            calls.Reason.DEADLINE,
            detail='the deadline passed before an answer arrived',
        )

    def _reply(self, exchange, outcome):
        answer = outcome.answer
        if answer is None:
            answer = self._refusal_answer(outcome.refusal)
        exchange.reply(answer)
        return answer.status

    def _refuse(self, exchange, reason, retry_after):
        refusal = calls.Refusal(
            errors.Outcome.DID_NOT_RUN, reason, retry_after
        )
        answer = self._refusal_answer(refusal)
        exchange.reply(answer)
        self._metrics.count_unrouted(reason)
        self._event_log.record_request(
            'call.refused',
            request=exchange.request.fields.get(
                self._names.request, b''
            ).decode('latin-1'),
            reason=reason,
            status=answer.status,
            host=exchange.request.host,
            path=exchange.request.path,
            version=self._versions.number,
        )

    def _refusal_answer(self, refusal):
        """Return the answer for a refusal, with Retry-After on 429 and 503."""
        without_retry_after = dataclasses.replace(refusal, retry_after=0.0)
        status, headers, body = problems.encode(
            without_retry_after,
            problems.RequestContext(version=self._versions.number),
            _http_status(refusal),
        )
        if status == 401:
            headers.append(tenants.CHALLENGE)
        if status in (429, 503):
            retry_seconds = max(limiter.MIN_RETRY_AFTER_S, refusal.retry_after)
            retry_seconds *= self._rng.uniform(*RETRY_AFTER_JITTER)
            headers.append((self._names.retry_after, b'%.3f' % retry_seconds))
        return callserver.Answer(status, headers, [body], len(body))

    def _log_outcome(self, call, outcome, status, caller_left):
        attempt = call.attempt
        seconds = self._clock.monotonic() - attempt.arrived_at
        self._metrics.count_response(
            call.service, attempt.route, status, seconds
        )
        refusal = outcome.refusal
        tenant = {}
        if call.tenant is not None:
            tenant['tenant'] = call.tenant.name
            self._metrics.count_tenant_response(call.tenant.name, status)
        self._event_log.record_request(
            'call.left' if caller_left else 'call.ended',
            succeeded=status in _SUCCESS and not caller_left,
            request=attempt.request,
            route=attempt.route,
            service=call.service,
            version=attempt.version,
            status=status,
            seconds=round(seconds, 4),
            budget=round(attempt.deadline - attempt.arrived_at, 3),
            reason='' if refusal is None else refusal.reason,
            ran='' if refusal is None else refusal.ran,
            offers=call.offer_log,
            **tenant,
        )


def _rank(route, tenant):
    """Return the rank of a request; a tenant's priority goes first."""
    if tenant is not None and tenant.priority is not None:
        return tenant.priority
    return -route.priority


def _take_body(request):
    """Return a request's body and free the chunks that it came in."""
    body = transfer.WholeBody(b''.join(request.chunks))
    request.chunks.clear()
    return body


def _refund_unsent_retry(call, sent):
    """Return a retry to the budget unless it was sent to an upstream."""
    if call.retry_bucket is not None and not sent:
        retrybudget.refund(call.retry_bucket)
    call.retry_bucket = None


def _is_common_failure(outcome, candidate, now):
    """Return whether the next candidate is likely to fail a request as well.

    This mostly happens when a service that all upstreams depend on rejects
    their calls; running the request again would only add load there.

    Args:
        outcome: Most informative `attempt.Outcome` so far, or None.
        candidate: Next `balancer.Candidate`.
        now: Monotonic seconds.
    """
    return (
        outcome is not None
        and outcome.answer is not None
        and now - candidate.reported_at < balancer.REPORT_MAX_AGE_S
        and candidate.load.failure_rate > COMMON_FAILURE_RATE
    )


def _more_informative(best, outcome):
    """Return the more informative outcome, for the caller.

    An answer is preferred, then a refusal after which the request may have
    run.
    """
    if best is None or outcome.answer is not None:
        return outcome
    if best.answer is not None or not best.not_run:
        return best
    return outcome


def _is_peer_lost(outcome):
    refusal = outcome.refusal
    return refusal is not None and refusal.reason is calls.Reason.PEER_LOST


def _had_no_slot(outcome):
    refusal = outcome.refusal
    return refusal is not None and refusal.reason is calls.Reason.NO_SLOT


def _result_name(outcome):
    if outcome.answer is not None:
        return str(outcome.answer.status)
    return outcome.refusal.reason.value


def _http_status(refusal):
    """Return the HTTP status; 503 only if the request did not run."""
    if refusal.reason in _OWN_STATUS:
        return problems.status_of(refusal)
    if refusal.ran is errors.Outcome.DID_NOT_RUN:
        return 503
    if refusal.reason is calls.Reason.DEADLINE:
        return 504
    return 502
