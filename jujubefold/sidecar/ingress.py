"""Ingress: takes the requests that begin on this VM, and answers them."""

import asyncio
import dataclasses
import functools
import itertools

from jujubefold import backgroundtasks
from jujubefold import callclient
from jujubefold import calls
from jujubefold import callserver
from jujubefold import eagertask
from jujubefold import errors
from jujubefold import problems
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import balancer
from jujubefold.sidecar import callerwait
from jujubefold.sidecar import egress
from jujubefold.sidecar import limiter
from jujubefold.sidecar import retrybudget
from jujubefold.sidecar import trafficsplit

# Gates that a request is offered to at most before it is refused; each
# offer costs a round trip, and the first ones were the least loaded.
MAX_OFFERS = 5
# Offers made only for a free slot, before a request waits.
MAX_LOOKS = 2
# Seconds after a deadline in which the gate's own word may still come.
LAST_WORD_S = egress.ANSWER_GRACE_S + 0.05
# Share of failures from which on an upstream is not asked to repeat what
# another one failed; single faults are a few in a thousand.
FAILS_ALIKE_SHARE = 0.1
# Seconds; an upstream that nobody knows needs about this long to start.
NO_UPSTREAM_RETRY_S = 0.3
NO_VERSION_RETRY_S = 0.5
# Spread of the time at which refused callers come back.
RETRY_SPREAD = (0.8, 1.6)

_SUCCESS = range(200, 300)
_FAILURES = range(500, 600)
_MS = 1000
_MAX_DIGITS = 9


@dataclasses.dataclass(slots=True, eq=False)
class _Call:
    """A request under way.

    Args:
        attempt: What is offered to gates.
        service: Whose upstreams it goes to.
        most: Upstreams that it may be sent to.
        tries: Offers made.
        sent: Upstreams that it was sent to.
        trail: One entry an offer, for the log.
        offered: VM whose gate has it now, '' for none.
        repeat: What the next offer is counted in if it is a retry.
    """

    attempt: attempts.Attempt
    service: str
    most: int
    tries: int = 0
    sent: int = 0
    trail: list = dataclasses.field(default_factory=list)
    offered: str = ''
    repeat: retrybudget.Bucket | None = None


class Ingress:
    """Serves callers.

    Args:
        names: `attempt.HeaderNames`.
        service: Service that runs on this VM.
        fleet: The `fleet.Fleet`.
        versions: The `versions.Versions`.
        retry_table: A `retrybudget.RetryTable`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
        metrics: A `metrics.SidecarMetrics`.

    Attributes:
        closing: Whether new requests are refused, because the daemon ends.
        retry_table: The table that was given.
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
    ):
        self._names = names
        self._service = service.encode('latin-1')
        self._fleet = fleet
        self._versions = versions
        self.retry_table = retry_table
        self._shares = trafficsplit.SplitTable()
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._metrics = metrics
        self._numbers = itertools.count(1)
        self._tasks = {}
        self._durations = {}
        self._patience = callerwait.WaitTable()
        self.closing = False

    @property
    def in_flight(self):
        """Request ids under way."""
        return tuple(call.attempt.request for call in self._tasks.values())

    def body_limit(self, request):
        """Return the most bytes that a request's body may have."""
        return self._versions.current.limits.body_bytes

    def handle(self, exchange):
        """Serve one whole request."""
        now = self._clock.monotonic()
        request = exchange.request
        mesh = self._versions.current.mesh
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
        left = self._left(request, route)
        if left is None:
            self._refuse(exchange, calls.Reason.MALFORMED, 0.0)
            return
        call = self._new_call(request, route, mesh.number, left, now)
        task = eagertask.EagerTask(
            self._serve(call), functools.partial(self._served, exchange)
        )
        self._tasks[task] = call
        exchange.on_disconnect = task.cancel
        task.start()

    def cancel_expired(self, now):
        """End requests whose last moment has passed.

        Args:
            now: Monotonic seconds.
        """
        for task, call in tuple(self._tasks.items()):
            if now > call.attempt.deadline + LAST_WORD_S:
                task.cancel()

    def cancel_all(self):
        """End all requests under way; return their ids."""
        names = self.in_flight
        for task in tuple(self._tasks):
            task.cancel()
        return names

    def _left(self, request, route):
        """Return the seconds that the caller waits, or None if malformed."""
        value = request.fields.get(self._names.deadline)
        if value is None:
            return route.timeout.request
        if not value.isdigit() or len(value) > _MAX_DIGITS:
            return None
        return min(int(value) / _MS, route.timeout.request)

    def _new_call(self, request, route, version, left, now):
        names = self._names
        name = request.fields.get(names.request)
        headers = callclient.end_to_end_headers(
            request.headers, names.reserved
        )
        if name is None:
            name = b'%016x' % self._rng.getrandbits(64)
            headers.append((names.request, name))
        headers.append((names.caller, self._service))
        waited = callerwait.estimate(
            self._patience, route.name, round(left * _MS)
        )
        return _Call(
            attempts.Attempt(
                key=next(self._numbers),
                request=name.decode('latin-1'),
                route=route.name,
                version=version,
                rank=-route.priority,
                idempotent=calls.is_idempotent(route, request.method),
                arrived_at=now,
                objective_at=now + route.latency_objective - waited,
                deadline=now + left,
                method=request.method,
                target=request.target,
                headers=headers,
                body=b''.join(request.chunks),
            ),
            trafficsplit.choose(self._shares, route),
            route.retry.attempts,
        )

    # Offers

    async def _serve(self, call):
        """Offer a request until an outcome is final; return it."""
        tried = full = frozenset()
        best = None
        seconds = self._durations.get(call.attempt.route, 0.0)
        while True:
            now = self._clock.monotonic()
            choice = balancer.choose(
                self._fleet.candidates(call.service),
                balancer.Criteria(
                    call.attempt.objective_at - now, seconds, tried, full
                ),
                now,
                self._rng,
            )
            if choice is None or _fails_alike(best, choice.candidate, now):
                _settle_repeat(call, sent=False)
                return best or attempts.Outcome(
                    refusal=calls.Refusal(
                        errors.Ran.DID_NOT_RUN,
                        calls.Reason.NO_UPSTREAM,
                        NO_UPSTREAM_RETRY_S,
                        'no upstream of the service takes requests',
                    )
                )
            waits = choice.may_queue or len(full) >= MAX_LOOKS
            outcome = await self._offer(call, choice.candidate, waits, now)
            best = _better(best, outcome)
            if _had_no_slot(outcome):
                full |= {choice.candidate.vm}
            else:
                tried |= {choice.candidate.vm}
            if not self._goes_on(call, outcome):
                return best

    async def _offer(self, call, candidate, waits, now):
        call.tries += 1
        call.offered = candidate.vm
        age = now - candidate.reported_at
        attempt = dataclasses.replace(call.attempt, may_queue=waits)
        outcome = await self._fleet.offer(candidate, attempt)
        call.offered = ''
        if outcome.sent and not call.sent:
            retrybudget.record_first_attempt(
                self.retry_table, call.service, self._clock.monotonic()
            )
        call.sent += outcome.sent
        _settle_repeat(call, outcome.sent)
        if outcome.upstream_time:
            self._learn(call.attempt.route, outcome.upstream_time)
        call.trail.append(
            {
                'vm': candidate.vm,
                'distance': candidate.distance,
                'running': candidate.load.running,
                'waiting': candidate.load.waiting,
                'slots': candidate.load.slots,
                'age': round(age, 3),
                'took': round(self._clock.monotonic() - now, 4),
                'end': _end_of(outcome),
            }
        )
        return outcome

    def _learn(self, route, seconds):
        known = self._durations.get(route, seconds)
        known += limiter.EWMA_WEIGHT * (seconds - known)
        self._durations[route] = known

    def _goes_on(self, call, outcome):
        """Return whether another offer is safe, in time and paid for."""
        attempt = call.attempt
        if not self._is_worth_another(attempt, outcome):
            return False
        now = self._clock.monotonic()
        if now >= attempt.deadline:
            return False
        if call.tries >= MAX_OFFERS and not _is_unreached(outcome):
            return False
        if not call.sent:
            return True
        if call.sent >= call.most:
            return False
        daemons = self._fleet.roster.size
        call.repeat = retrybudget.try_spend(
            self.retry_table, call.service, daemons, now
        )
        return call.repeat is not None

    @staticmethod
    def _is_worth_another(attempt, outcome):
        if outcome.answer is not None:
            return attempt.idempotent and outcome.answer.status in _FAILURES
        if outcome.refusal.reason in (
            calls.Reason.DEADLINE,
            calls.Reason.SUSPECT_REQUEST,
        ):
            return False
        return outcome.not_run or attempt.idempotent

    # Answers

    def _served(self, exchange, task):
        call = self._tasks.pop(task)
        outcome = task.result
        if isinstance(task.error, asyncio.CancelledError):
            outcome = attempts.Outcome(refusal=self._overdue(call))
        elif task.error is not None:
            backgroundtasks.report_exception(task.error)
            outcome = attempts.Outcome(
                refusal=calls.Refusal(
                    errors.Ran.UNKNOWN, calls.Reason.CANCELLED
                )
            )
        left = not exchange.sender_connected
        status = self._reply(exchange, outcome)
        self._log(call, outcome, status, left)

    def _overdue(self, call):
        unknown = call.offered or call.sent
        ran = errors.Ran.UNKNOWN if unknown else errors.Ran.DID_NOT_RUN
        return calls.Refusal(
            ran,
            calls.Reason.DEADLINE,
            detail='the deadline passed before the answer came',
        )

    def _reply(self, exchange, outcome):
        answer = outcome.answer
        if answer is None:
            answer = self._refusal(outcome.refusal)
        exchange.reply(answer)
        return answer.status

    def _refuse(self, exchange, reason, retry_after):
        refusal = calls.Refusal(errors.Ran.DID_NOT_RUN, reason, retry_after)
        answer = self._refusal(refusal)
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

    def _refusal(self, refusal):
        """Return the answer for a refusal, told when to come back."""
        plain = dataclasses.replace(refusal, retry_after=0.0)
        status, headers, body = problems.encode(
            plain,
            problems.RequestContext(version=self._versions.number),
            _status(refusal),
        )
        if status == 503:
            after = max(limiter.MIN_RETRY_AFTER_S, refusal.retry_after)
            after *= self._rng.uniform(*RETRY_SPREAD)
            headers.append((self._names.retry_after, b'%.3f' % after))
        return callserver.Answer(status, headers, [body], len(body))

    def _log(self, call, outcome, status, left):
        attempt = call.attempt
        seconds = self._clock.monotonic() - attempt.arrived_at
        self._metrics.count_response(
            call.service, attempt.route, status, seconds
        )
        refusal = outcome.refusal
        self._event_log.record_request(
            'call.left' if left else 'call.ended',
            succeeded=status in _SUCCESS and not left,
            request=attempt.request,
            route=attempt.route,
            service=call.service,
            version=attempt.version,
            status=status,
            seconds=round(seconds, 4),
            budget=round(attempt.deadline - attempt.arrived_at, 3),
            reason='' if refusal is None else refusal.reason,
            ran='' if refusal is None else refusal.ran,
            offers=call.trail,
        )


def _settle_repeat(call, sent):
    """Take a retry back that no upstream was sent."""
    if call.repeat is not None and not sent:
        retrybudget.refund(call.repeat)
    call.repeat = None


def _fails_alike(outcome, candidate, now):
    """Return whether an upstream's failure is expected elsewhere too.

    Mostly a service that all of them call turns their calls away: another
    run only adds calls there.
    """
    return (
        outcome is not None
        and outcome.answer is not None
        and now - candidate.reported_at < balancer.REPORT_MAX_AGE_S
        and candidate.load.failure_rate > FAILS_ALIKE_SHARE
    )


def _better(best, outcome):
    """Return which of two outcomes tells the caller more of the truth."""
    if best is None or outcome.answer is not None:
        return outcome
    if best.answer is not None or not best.not_run:
        return best
    return outcome


def _is_unreached(outcome):
    refusal = outcome.refusal
    return refusal is not None and refusal.reason is calls.Reason.PEER_LOST


def _had_no_slot(outcome):
    refusal = outcome.refusal
    return refusal is not None and refusal.reason is calls.Reason.NO_SLOT


def _end_of(outcome):
    if outcome.answer is not None:
        return str(outcome.answer.status)
    return outcome.refusal.reason.value


def _status(refusal):
    """Return the HTTP status: 503 says that the request did not run."""
    if refusal.reason in (calls.Reason.NO_ROUTE, calls.Reason.MALFORMED):
        return problems.status_of(refusal)
    if refusal.ran is errors.Ran.DID_NOT_RUN:
        return 503
    if refusal.reason is calls.Reason.DEADLINE:
        return 504
    return 502
