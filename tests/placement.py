"""Simulated placement: callers of a fleet, its balancers and its gates."""

import collections
import dataclasses
import heapq
import itertools
import random

from jujubefold import calls
from jujubefold.sidecar import balancer
from jujubefold.sidecar import ingress
from jujubefold.sidecar import limiter
from jujubefold.sidecar import pace
from jujubefold.sidecar import roster
from tests import loads

# Seconds that an offer to another VM takes, in each direction.
HOP_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Vm:
    """A VM with callers, and perhaps an upstream of the service.

    Args:
        name: Its name.
        domain: Its failure domain.
        slots: Slots of its upstream; 0 without one.
        limit: Requests a second that its upstream takes; None for any.
        speed: Factor on the durations of its upstream.
    """

    name: str
    domain: str
    slots: int = 0
    limit: float | None = None
    speed: float = 1.0


@dataclasses.dataclass(eq=False, slots=True)
class _Request:
    vm: Vm
    began_at: float
    retries: int = 0
    tried: frozenset = frozenset()
    full: frozenset = frozenset()
    offers: int = 0
    candidate: balancer.Candidate | None = None


class Placement:
    """One simulation of one kind of request.

    Args:
        vms: Every `Vm`.
        kind: The `loads.Kind` that all callers send.
        seed: Random seed.

    Attributes:
        ends: How many requests ended in each way, by failure domain of the
            caller: 'on time', 'late' or 'refused'.
        started: Seconds at which each upstream was sent a request, by VM.
        far: Number of requests that ran in another failure domain.
    """

    def __init__(self, vms, kind, seed=1):
        self.ends = collections.defaultdict(collections.Counter)
        self.started = collections.defaultdict(list)
        self.far = 0
        self._kind = kind
        self._rng = random.Random(seed)
        self._events = []
        self._numbers = itertools.count()
        self._vms = {vm.name: vm for vm in vms}
        self._tables = {
            vm.name: limiter.SlotTable(vm.slots) for vm in vms if vm.slots
        }
        for name, table in self._tables.items():
            pace.set_rate(table.pace, self._vms[name].limit, 0.0)
        self._candidates = {vm.name: self._new_candidates(vm) for vm in vms}
        self._had_room = dict.fromkeys(self._tables, True)

    def served(self, *domains):
        """Return the share of requests that were answered.

        Args:
            domains: Failure domains of the callers; all if none are given.
        """
        found = sum(
            (self.ends[domain] for domain in domains or tuple(self.ends)),
            collections.Counter(),
        )
        return 1 - found['refused'] / found.total()

    def on_time(self, domain):
        """Return the share of a failure domain's requests that were on time.

        Args:
            domain: Failure domain of the callers.
        """
        return self.ends[domain]['on time'] / self.ends[domain].total()

    def run(self, per_s, seconds):
        """Let the callers of each VM send requests, and wait for all ends.

        Args:
            per_s: Requests a second of each VM's callers.
            seconds: For how long.
        """
        for vm in self._vms.values():
            now = 0.0
            while (now := now + self._rng.expovariate(per_s)) < seconds:
                self._schedule(now, self._offer, _Request(vm, now))
        for number in range(int((seconds + 5.0) / loads.SWEEP_S)):
            self._schedule(number * loads.SWEEP_S, self._sweep)
        while self._events:
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)

    def _new_candidates(self, vm):
        return {
            name: balancer.Candidate(
                name,
                'service',
                _distance(vm, self._vms[name]),
                reachable=True,
                load=limiter.load(self._tables[name], 0.0),
            )
            for name in self._tables
        }

    def _schedule(self, when, action, *args):
        heapq.heappush(self._events, (when, next(self._numbers), action, args))

    def _offer(self, now, request):
        candidates = self._candidates[request.vm.name]
        own = candidates.get(request.vm.name)
        if own is not None:
            load = limiter.load(self._tables[own.vm], now)
            balancer.update_load(own, load, now)
        choice = balancer.choose(
            candidates.values(),
            balancer.Criteria(
                request.began_at + self._kind.objective - now,
                self._kind.duration,
                request.tried,
                request.full,
            ),
            now,
            self._rng,
        )
        if choice is None:
            self._refused(now, request, ingress.NO_UPSTREAM_RETRY_S)
            return
        request.candidate = choice.candidate
        request.candidate.offers_since_report += 1
        request.offers += 1
        may_queue = (
            choice.may_queue
            or len(request.full) >= ingress.MAX_FREE_SLOT_OFFERS
        )
        hop = 0.0 if choice.candidate is own else HOP_S
        self._schedule(now + hop, self._arrive, request, may_queue)

    def _arrive(self, now, request, may_queue):
        table = self._tables[request.candidate.vm]
        entry = limiter.Request(
            request,
            self._kind.name,
            0,
            now,
            request.began_at + self._kind.objective,
            request.began_at + self._kind.timeout,
            may_queue,
        )
        match limiter.acquire(table, entry, now):
            case calls.Admitted():
                self._start(now, request)
            case calls.Refused(refusal=refusal):
                self._declined(now, request, refusal)
            case calls.Queued():
                self._evict(now, table)
                self._wake_later(now, table)

    def _start(self, now, request):
        vm = self._vms[request.candidate.vm]
        self.started[vm.name].append(now)
        self.far += vm.domain != request.vm.domain
        mean = self._kind.duration * vm.speed
        duration = self._rng.lognormvariate(0.0, 0.5) / 1.133 * mean
        self._schedule(now + duration, self._ended, request)

    def _ended(self, now, request):
        table = self._tables[request.candidate.vm]
        for other in limiter.release(table, request, now):
            self._start(now, other)
        self._evict(now, table)
        self._wake_later(now, table)
        self._report(now, request)
        late = now > request.began_at + self._kind.objective
        self.ends[request.vm.domain]['late' if late else 'on time'] += 1

    def _declined(self, now, request, refusal):
        """Offer a refused request to another gate, as the ingress does."""
        self._report(now, request)
        vm = frozenset({request.candidate.vm})
        if refusal.reason is calls.Reason.NO_SLOT:
            request.full |= vm
        else:
            request.tried |= vm
        if (
            request.offers < ingress.MAX_OFFERS
            and refusal.reason is not calls.Reason.DEADLINE
        ):
            self._schedule(now + HOP_S, self._offer, request)
        else:
            self._refused(now, request, refusal.retry_after)

    def _refused(self, now, request, retry_after):
        left = request.began_at + self._kind.timeout - now
        after = retry_after * self._rng.uniform(*ingress.RETRY_AFTER_JITTER)
        if request.retries < self._kind.max_retries and left > HOP_S:
            again = _Request(request.vm, request.began_at, request.retries + 1)
            after = min(after, left * loads.RETRY_SHARE)
            self._schedule(now + after, self._offer, again)
        else:
            self.ends[request.vm.domain]['refused'] += 1

    def _report(self, now, request):
        load = limiter.load(self._tables[request.candidate.vm], now)
        balancer.update_load(request.candidate, load, now)

    def _evict(self, now, table):
        for request, refusal in limiter.evict_overdue(table, now):
            self._declined(now, request, refusal)

    def _wake_later(self, now, table):
        delay = limiter.paced_delay(table, now)
        if delay is not None:
            self._schedule(now + delay, self._wake, table)

    def _wake(self, now, table):
        for request in limiter.fill_slots(table, now):
            self._start(now, request)
        self._wake_later(now, table)

    def _sweep(self, now):
        for name, table in self._tables.items():
            self._evict(now, table)
            self._report_room(now, name, table)

    def _report_room(self, now, name, table):
        """Report a gate that filled or freed to its failure domain."""
        load = limiter.load(table, now)
        has_room = balancer.has_room(load)
        if has_room == self._had_room[name]:
            return
        self._had_room[name] = has_room
        domain = self._vms[name].domain
        for vm, candidates in self._candidates.items():
            if self._vms[vm].domain == domain:
                balancer.announce_load(candidates[name], load, now)


def _distance(vm, other):
    return roster.distance(
        roster.Member(vm.name, 0, '', '', 'r', vm.domain),
        roster.Member(other.name, 0, '', '', 'r', other.domain),
    )
