"""Call demand: which calls the runs of this VM's upstream make.

A run makes calls through the daemon of its own VM. If they find no room, the
run mostly fails and its slot was held for nothing. This module learns by
route what a run calls and for how long it waits for that, and refuses a
request whose calls are not expected to end in time, before it holds a slot.

Designed for up to 100 runs a second at one upstream, 32 routes, 8 services
called by each, and 38 gates of a called service.
"""

import collections
import dataclasses

from jujubefold import calls
from jujubefold import errors
from jujubefold.sidecar import limiter

# Weight of the newest run in the averages: the last 20 or so determine them.
# Bursts last seconds, and what a route calls changes with releases.
WEIGHT = 0.05
# Weight of the newest call in the mean wait: about the last 4 determine it, so
# that a few probes show that a shortage is over.
WAIT_WEIGHT = 0.25
# Runs of a route, or calls of a service, before their averages are used.
MIN_SAMPLES = 8
MAX_ROUTES = 32
MAX_SERVICES = 8
# Share of runs that make calls below which a route is not refused for them:
# most of its runs need no room elsewhere.
MIN_CALLING_SHARE = 0.1
# Ends of calls that show whether a service is short of room, and how many of
# them without room begin and end a shortage.
RECENT_CALLS = 16
SHORTAGE_BEGINS = 3
SHORTAGE_ENDS = 1
# Share of a route's requests that are admitted however long its calls are
# expected to wait. Their calls show when the shortage is over.
PROBE_SHARE = 0.125
# The admitted share falls by up to this part with each request whose calls
# would be late, and rises by this step with each other one. So it settles
# where calls are just in time, and changes by evidence only: at 20 requests a
# second it halves in 0.7 s and is whole again within 2 s.
SHARE_CUT = 0.05
SHARE_STEP = 0.02
# Expected time of a run, as a multiple of the time that it has, from which the
# share falls fastest.
HOPELESS = 1.5
# Seconds of a caller's time that must have passed for its request to count as
# a retry. Refused callers wait at least `limiter.MIN_RETRY_AFTER_S`.
MIN_RETRY_AGE_S = 0.04
# Bound of the admissions that retries may take ahead of newcomers.
MAX_DEBT = 2.0
# Seconds that a call is assumed to wait while its service has no upstream;
# about the time in which one is replaced.
NO_UPSTREAM_WAIT_S = 2.0
# Share of its time within which a call, and the request that makes it, is
# expected to end once a service is short of room; waits vary.
CALL_SHARE = 0.7
# Position in a sorted list of expected waits of the one that is assumed: the
# balancer chooses among the better half.
ASSUMED_QUANTILE = 0.25

_NO_ROOM = frozenset(
    {
        calls.Reason.NO_SLOT,
        calls.Reason.QUEUE_FULL,
        calls.Reason.DEADLINE,
        calls.Reason.NO_UPSTREAM,
    }
)


@dataclasses.dataclass(slots=True, eq=False)
class Run:
    """A request that the upstream runs, and the calls that it makes.

    Args:
        route: Its route name.
        rank: Its rank; its calls get the same.
        deadline: Monotonic seconds at which its caller stops waiting.
        started_at: Monotonic seconds at which it started.
        copies: How many times it is running here; nothing is learned from
            runs that can't be told apart.
        services: Calls made so far, by service.
        outstanding: Calls that have not ended.
        waiting_since: Monotonic seconds since when any call is outstanding.
        waited: Seconds for which at least one call was outstanding, without
            the present time of waiting.
        latencies: Sum of the seconds that ended calls took.
        ended_calls: Calls that have ended.
    """

    route: str
    rank: int
    deadline: float
    started_at: float
    copies: int = 1
    services: dict[str, int] = dataclasses.field(default_factory=dict)
    outstanding: int = 0
    waiting_since: float = 0.0
    waited: float = 0.0
    latencies: float = 0.0
    ended_calls: int = 0


@dataclasses.dataclass(slots=True)
class RouteDemand:
    """What runs of one route need.

    Args:
        runs: Runs that ended.
        calling_runs: Of these, runs that made calls.
        own_seconds: Mean seconds that a run takes without its calls.
        calling_share: Share of runs that make calls.
        rounds: Mean number of calls that a calling run makes one after the
            other.
        calls: Mean calls of a calling run, by service.
        usual_objective: Seconds from the arrival of a request that is not a
            retry to its latency objective.
        share: Share of its requests that is admitted.
        credit: Admissions that are due while that share is below 1.
        next_place: Monotonic seconds at which the next refused caller is
            expected to find room.
    """

    runs: int = 0
    calling_runs: int = 0
    own_seconds: float = 0.0
    calling_share: float = 0.0
    rounds: float = 0.0
    calls: dict[str, float] = dataclasses.field(default_factory=dict)
    usual_objective: float = 0.0
    share: float = 1.0
    credit: float = 0.0
    next_place: float = 0.0


@dataclasses.dataclass(slots=True)
class CalledService:
    """How calls to one service end, as seen on this VM.

    Args:
        samples: Calls that were answered.
        run_seconds: Mean seconds that such a call runs.
        wait_seconds: Mean seconds that the last few answered calls waited.
        time_allowed: Mean seconds that calls have, answered or not.
        recent: Whether each of the last calls found no room in that time.
        short: Whether the service is short of room.
    """

    samples: int = 0
    run_seconds: float = 0.0
    wait_seconds: float = 0.0
    time_allowed: float = 0.0
    recent: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=RECENT_CALLS)
    )
    short: bool = False


@dataclasses.dataclass(slots=True)
class DemandTable:
    """Runs of this VM's upstream, and what was learned from earlier ones.

    Args:
        runs: `Run` by request id.
        routes: `RouteDemand` by route of the run.
        services: `CalledService` by name.
    """

    runs: dict[str, Run] = dataclasses.field(default_factory=dict)
    routes: dict[str, RouteDemand] = dataclasses.field(default_factory=dict)
    services: dict[str, CalledService] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Need:
    """Whether a request's calls are expected to end in time.

    Args:
        overshoot: Expected time as a multiple of the time left; above 1 the
            request is expected to fail.
        excess: Seconds by which it is expected to be too late.
        service: Service that delays it most.
    """

    overshoot: float
    excess: float
    service: str


def running_parent(table, request_id):
    """Return the `Run` that made a call, or None.

    Args:
        table: A `DemandTable`.
        request_id: The call's request id: the id of the run, a dot, and a
            part without a dot.
    """
    prefix, dot, _ = request_id.rpartition('.')
    return table.runs.get(prefix) if dot else None


def start_run(table, request_id, route, rank, deadline, now):
    """Record that the upstream starts to run a request.

    Args:
        table: A `DemandTable`.
        request_id: The request's id.
        route: Its route name.
        rank: Its rank.
        deadline: Monotonic seconds at which its caller stops waiting.
        now: Monotonic seconds.

    Returns:
        The `Run`.
    """
    run = table.runs.get(request_id)
    if run is not None:
        run.copies += 1
        run.deadline = max(run.deadline, deadline)
        return run
    run = table.runs[request_id] = Run(route, rank, deadline, now)
    return run


def end_run(table, request_id, now, succeeded):
    """Record the end of a run, and learn from it.

    Args:
        table: A `DemandTable`.
        request_id: The request's id.
        now: Monotonic seconds.
        succeeded: Whether the upstream answered without a failure. Runs that
            failed stop early, and would make calls look cheap.

    Returns:
        The seconds for which the run waited for calls; None if it can't be
            told from another run of the same request.
    """
    run = table.runs.pop(request_id)
    if run.copies > 1:
        table.runs[request_id] = run
        run.copies -= 1
        run.services.clear()
        run.started_at = -1.0
        return None
    if run.started_at < 0:
        return None
    waited = run.waited
    if run.outstanding:
        waited += now - run.waiting_since
    if succeeded:
        _learn_run(table, run, now - run.started_at - waited, waited)
    return waited


def start_call(run, service, now):
    """Record that a run makes a call.

    Args:
        run: The `Run`.
        service: Service that it calls.
        now: Monotonic seconds.
    """
    if not run.outstanding:
        run.waiting_since = now
    run.outstanding += 1
    if service in run.services or len(run.services) < MAX_SERVICES:
        run.services[service] = run.services.get(service, 0) + 1


def end_call(table, run, service, began_at, deadline, outcome, now):
    """Record the end of a call.

    Args:
        table: A `DemandTable`.
        run: The `Run` that made it.
        service: Service that was called.
        began_at: Monotonic seconds at which the call arrived.
        deadline: Monotonic seconds until which it had time.
        outcome: Its `attempt.Outcome`, or None if its caller cancelled it.
        now: Monotonic seconds.

    Returns:
        The `CalledService` if a shortage of the service began or ended, else
            None.
    """
    run.outstanding -= 1
    if not run.outstanding:
        run.waited += now - run.waiting_since
    run.latencies += now - began_at
    run.ended_calls += 1
    found = table.services.get(service)
    if found is None:
        if len(table.services) >= MAX_ROUTES:
            return None
        found = table.services[service] = CalledService(
            time_allowed=deadline - began_at
        )
    found.time_allowed += WEIGHT * (deadline - began_at - found.time_allowed)
    if outcome is None:
        return None
    if outcome.answer is not None:
        found.samples += 1
        seconds = outcome.upstream_time
        weight = max(WEIGHT, 1 / found.samples)
        found.run_seconds += weight * (seconds - found.run_seconds)
        waited = now - began_at - seconds
        found.wait_seconds += WAIT_WEIGHT * (waited - found.wait_seconds)
    found.recent.append(
        outcome.answer is None and outcome.refusal.reason in _NO_ROOM
    )
    without_room = sum(found.recent)
    was_short = found.short
    if without_room >= SHORTAGE_BEGINS:
        found.short = True
    elif without_room <= SHORTAGE_ENDS:
        found.short = False
    return found if found.short != was_short else None


def assumed_wait(waits):
    """Return the seconds that a call is assumed to wait for a slot.

    Args:
        waits: Expected seconds at each upstream of the called service.
    """
    if not waits:
        return NO_UPSTREAM_WAIT_S
    return sorted(waits)[int(len(waits) * ASSUMED_QUANTILE)]


def refusal_for_parent(table, request, wait_at, now):
    """Return the refusal of a request whose calls would be late, or None.

    Nothing is refused before calls of this VM's runs found no room. Then the
    share of requests that is admitted falls while calls are expected to be
    late, but not below `PROBE_SHARE`. Retries go before newcomers.

    Args:
        table: A `DemandTable`.
        request: The request, an `attempt.Attempt` or a `limiter.Request`.
        wait_at: Returns the seconds that a call to a service is expected to
            wait for a slot.
        now: Monotonic seconds.

    Returns:
        A `calls.Refusal` or None.
    """
    demand = table.routes.get(request.route)
    if request.call or demand is None or demand.calling_runs < MIN_SAMPLES:
        return None
    is_retry = _is_retry(demand, request)
    if demand.calling_share < MIN_CALLING_SHARE:
        return None
    need = _need(table, demand, request, wait_at, now)
    if need is None:
        demand.share, demand.credit = 1.0, 0.0
        return None
    if need.overshoot > 1:
        excess = min(1.0, (need.overshoot - 1) / (HOPELESS - 1))
        share = demand.share * (1 - SHARE_CUT * excess)
        demand.share = max(PROBE_SHARE, share)
    else:
        demand.share = min(1.0, demand.share + SHARE_STEP)
    if demand.share == 1.0:
        demand.credit = 0.0
        return None
    demand.credit += demand.share
    if demand.credit >= (1 - MAX_DEBT if is_retry else 1):
        demand.credit -= 1
        return None
    return calls.Refusal(
        errors.Outcome.DID_NOT_RUN,
        # Ingresses offer such a request to no other gate: the same services
        # would be called from there.
        calls.Reason.DEADLINE,
        _retry_after(demand, need.excess, now),
        f'its calls to {need.service} are not expected to end in time',
    )


def _learn_run(table, run, own_seconds, waited):
    demand = table.routes.get(run.route)
    if demand is None:
        if len(table.routes) >= MAX_ROUTES:
            return
        demand = table.routes[run.route] = RouteDemand()
    demand.runs += 1
    weight = max(WEIGHT, 1 / demand.runs)
    demand.own_seconds += weight * (own_seconds - demand.own_seconds)
    demand.calling_share += weight * (
        bool(run.services) - demand.calling_share
    )
    if not run.services or not run.ended_calls or run.latencies <= 0:
        return
    demand.calling_runs += 1
    weight = max(WEIGHT, 1 / demand.calling_runs)
    rounds = min(run.ended_calls, waited * run.ended_calls / run.latencies)
    demand.rounds += weight * (rounds - demand.rounds)
    for service in demand.calls.keys() | run.services.keys():
        mean = demand.calls.get(service, 0.0)
        mean += weight * (run.services.get(service, 0) - mean)
        demand.calls[service] = mean


def _is_retry(demand, request):
    """Return whether the caller has waited before it sent the request.

    The ingress moves the objective of such requests forward; see
    `callerwait`.
    """
    objective = request.objective_at - request.arrived_at
    usual = demand.usual_objective
    demand.usual_objective = max(
        objective, usual + WEIGHT * (objective - usual)
    )
    return objective < usual - MIN_RETRY_AGE_S


def _need(table, demand, request, wait_at, now):
    """Return the `_Need` of a request; None without a shortage."""
    total = sum(demand.calls.values())
    if not any(
        table.services[service].short
        for service in demand.calls
        if service in table.services
    ):
        return None
    left = max(0.001, (request.deadline - now) * CALL_SHARE)
    expected = demand.own_seconds
    worst = (0.0, 0.0, '')
    for service, count in demand.calls.items():
        called = table.services.get(service)
        if called is None or called.samples < MIN_SAMPLES:
            continue
        wait = max(wait_at(service), called.wait_seconds)
        seconds = wait + called.run_seconds
        expected += demand.rounds * seconds * count / total
        if called.short:
            allowed = max(0.001, called.time_allowed * CALL_SHARE)
            worst = max(worst, (seconds / allowed, seconds - allowed, service))
    overshoot, excess, service = worst
    return _Need(
        max(overshoot, expected / left), max(excess, expected - left), service
    )


def _retry_after(demand, excess, now):
    """Return when a refused caller is expected to find room.

    Callers are spread: each is named the place after the one before.
    """
    latest = now + limiter.MAX_RETRY_AFTER_S
    place = min(latest, max(demand.next_place, now + excess))
    spacing = demand.own_seconds * PROBE_SHARE
    demand.next_place = min(latest, place + spacing)
    return max(limiter.MIN_RETRY_AFTER_S, place - now)
