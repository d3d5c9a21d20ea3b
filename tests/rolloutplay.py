"""Plays a rollout over the pure functions, with gates as counters."""

import collections
import heapq
import itertools
import random

from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutevidence
from jujubefold.sidecar import rolloutplan

TICK_S = 0.05
# Ticks between reports of a gate, and between evidence of a failure domain.
REPORT_TICKS = 5
EVIDENCE_TICKS = 10
# Seconds until all daemons know a record, and until a read row is decided on.
SPREAD_S = 0.3
READ_S = 0.2
SLOTS = 8
MEAN_S = 0.08
ROUTES = ('read', 'read', 'read', 'list', 'write')
WARMUP_S = 1.0
CLOSED = (rollout.Phase.CLOSING, rollout.Phase.COMPLETED)


class Gate:
    """Counts of one upstream with a speed and, at times, noise."""

    def __init__(self, vm, is_new, rng):
        self.vm, self.is_new = vm, is_new
        self.born = rng.uniform(0.5, 2.0) if is_new else -9.0
        self.speed = rng.uniform(0.55, 1.6)
        self.noise_until = 0.0
        self.started = self.ended = self.bad = self.running = 0
        self.routes = collections.defaultdict(lambda: [0] * 18)
        self.last = collections.deque(maxlen=12)
        self.tripped = False

    def end(self, route, seconds, bad, warm):
        """Count an answer."""
        self.ended += 1
        self.running -= 1
        self.bad += bad
        for index in (0, *[1] * bad, *[2 + rollout.bucket(seconds)] * warm):
            self.routes[route][index] += 1
        self.last.append(bad)
        self.tripped |= self.is_new and sum(self.last) >= 6

    def report(self, order, now):
        """Return the `rollout.GateReport`."""
        routes = tuple(
            rollout.RouteCounts(name, ended, bad, tuple(durations))
            for name, (ended, bad, *durations) in self.routes.items()
        )
        return rollout.GateReport(
            order, 's', self.vm, 1, self.is_new, SLOTS, self.started,
            self.ended, self.bad, self.running, False, self.tripped,
            now > self.born + WARMUP_S, routes,
        )  # fmt: skip


class Play:
    """One rollout.

    Args:
        seed: Of the random numbers.
        duration: The order's, in seconds.
        fault: Called with the gate, the route, the time since the start of
            the upstream and the rng; returns whether the answer is bad, and
            a factor of its duration.
        rate: Requests a second.
        new: Number of upstreams of the new version.
    """

    def __init__(self, seed, duration, fault, rate=1100, new=20):
        self.rng = random.Random(seed)
        self.order = rollout.Order(rollout.OrderId(1, 7), 's', 'v2', duration)
        self.fault, self.rate = fault, rate
        self.old = [Gate(f'old-{i}', False, self.rng) for i in range(40)]
        self.new = [Gate(f'new-{i}', True, self.rng) for i in range(new)]
        self.record = self.seen = rollout.Record(
            self.order.id, 'v2', 0.0, duration
        )
        self.ended_at = None
        self.exposed = 0
        # Time of the 50th bad answer, and of the last request to the version.
        self.fiftieth = self.last_exposed = None
        self._ends, self._numbers = [], itertools.count()

    def run(self):
        """Play until the end of the order, or 2 s after a rollback."""
        ledger = rolloutevidence.Ledger(self.order.id, 's')
        reports, rows, known = {}, [], []
        for tick in range(int(self.order.duration / TICK_S)):
            now = tick * TICK_S
            rolled_back = self.record.phase is rollout.Phase.ROLLED_BACK
            if rolled_back and now > self.ended_at + 2.0:
                break
            while known and known[0][0] <= now:
                self.seen = known.pop(0)[1]
            self._end_requests(now)
            self._start_requests(now)
            if tick % REPORT_TICKS == 0:
                for gate in self.old + self.new:
                    if now >= gate.born:
                        reports[gate.vm] = gate.report(self.order.id, now)
            if tick % EVIDENCE_TICKS == 0:
                rows.append((now + READ_S, self._evidence(reports)))
            if rows and rows[0][0] <= now and not self.record.phase.ended:
                ledger.add(rows.pop(0)[1], self.record, now)
                self._decide(ledger.view(self.record), now, known)
        return self

    def _decide(self, view, now, known):
        step = rolloutplan.next_step(
            self.order, self.record, view, now, rolloutplan.Policy()
        )
        self.record = rolloutplan.apply(self.record, step, view, now, 'c/1')
        known.append((now + SPREAD_S, self.record))
        if self.record.phase.ended:
            self.ended_at = now

    def _end_requests(self, now):
        while self._ends and self._ends[0][0] <= now:
            _, _, gate, *answer = heapq.heappop(self._ends)
            gate.end(*answer)
        if self.fiftieth is None and sum(g.bad for g in self.new) >= 50:
            self.fiftieth = now

    def _start_requests(self, now):
        seen = self.seen
        everywhere = seen.phase is not rollout.Phase.CANARY
        new = [
            gate
            for gate in self.new
            if now >= gate.born
            and not gate.tripped
            and gate.vm not in seen.excluded
            and (everywhere or gate.vm in seen.canaries)
        ]
        for _ in range(int(self.rate * TICK_S + self.rng.random())):
            groups = (
                (new, self.old)
                if self.rng.random() < seen.share
                else (self.old,)
            )
            for group in (new,) if seen.phase in CLOSED else groups:
                free = [gate for gate in group if gate.running < SLOTS]
                if free:
                    self._start(free, now)
                    break

    def _start(self, free, now):
        rng = self.rng
        two = rng.sample(free, min(2, len(free)))
        gate = min(two, key=lambda gate: gate.running)
        if now > gate.noise_until and rng.random() < 0.002:
            gate.noise_until = now + 0.6
        gate.started += 1
        gate.running += 1
        route = rng.choice(ROUTES)
        seconds = rng.gammavariate(4, MEAN_S / 4) / gate.speed
        seconds *= 2.5 if now < gate.noise_until else 1.0
        bad = rng.random() < 0.01
        if gate.is_new:
            self.exposed += 1
            self.last_exposed = now
            found, factor = self.fault(gate, route, now - gate.born, rng)
            bad |= found
            seconds *= factor
        answer = (gate, route, seconds, bad, now - gate.born > WARMUP_S)
        heapq.heappush(
            self._ends, (now + seconds, next(self._numbers), *answer)
        )

    def _evidence(self, reports):
        rows = {}
        closed = self.seen.phase in CLOSED
        for domain in range(3):
            old, new = (
                [reports[g.vm] for g in group[domain::3] if g.vm in reports]
                for group in (self.old, self.new)
            )
            rows[f'd{domain}'] = rollout.Evidence(
                self.order.id,
                tuple(new),
                rolloutevidence.total(old, old[0]),
                len(old),
                sum(not closed or report.running > 0 for report in old),
                'a/1',
                self.seen.step,
            )
        return rows
