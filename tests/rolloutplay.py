"""Plays a rollout over the pure functions, with gates as counters."""

import heapq
import random

from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutevidence
from jujubefold.sidecar import rolloutplan

TICK_S = 0.05
REPORT_S = 0.25
EVIDENCE_S = 0.5
# Seconds until all daemons know a record, and until a read row is decided on.
SPREAD_S = 0.3
READ_S = 0.2
SLOTS = 8
MEAN_S = 0.08
ROUTES = ('read', 'read', 'read', 'list', 'write')


class Gate:
    """Counts of one upstream with a speed and, at times, noise."""

    def __init__(self, vm, domain, is_new, rng, born):
        self.vm, self.domain, self.is_new = vm, domain, is_new
        self.born = born
        self.speed = rng.uniform(0.55, 1.6)
        self.noise_until = 0.0
        self.started = self.ended = self.bad = self.running = 0
        self.routes = {}
        self.last = []
        self.tripped = False

    def end(self, route, seconds, bad, warm):
        self.ended += 1
        self.running -= 1
        self.bad += bad
        ended, wrong, durations = self.routes.get(
            route, (0, 0, [0] * rollout.BUCKETS)
        )
        if warm:
            durations[rollout.bucket(seconds)] += 1
        self.routes[route] = ended + 1, wrong + bad, durations
        self.last = [*self.last[-11:], bad]
        self.tripped |= self.is_new and sum(self.last) >= 6

    def report(self, order, now):
        routes = tuple(
            rollout.RouteCounts(name, ended, bad, tuple(durations))
            for name, (ended, bad, durations) in self.routes.items()
        )
        return rollout.GateReport(
            order, 's', self.vm, 1, self.is_new, SLOTS, self.started,
            self.ended, self.bad, self.running, False, self.tripped,
            now > self.born + 1.0, routes,
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

    def __init__(self, seed, duration, fault, rate=1100, new=20, old=40):
        self.rng = random.Random(seed)
        self.order = rollout.Order(rollout.OrderId(1, 7), 's', 'v2', duration)
        self.fault, self.rate = fault, rate
        self.gates = [
            Gate(f'{kind}-{i}', f'd{i % 3}', kind == 'new', self.rng, born)
            for kind, count in (('old', old), ('new', new))
            for i in range(count)
            for born in (
                self.rng.uniform(0.5, 2.0) if kind == 'new' else -9.0,
            )
        ]
        self.record = self.seen = rollout.Record(
            self.order.id, 'v2', 0.0, duration
        )
        self.steps = []
        self.ended_at = None
        self.exposed = self.total = 0
        # Time of the 50th bad answer, and of the last request to the version.
        self.fiftieth = self.last_exposed = None

    def run(self):
        """Play until the end of the order, or 2 s after a rollback."""
        ledger = rolloutevidence.Ledger(self.order.id, 's')
        ends, reports, rows, known = [], {}, [], []
        for tick in range(int(self.order.duration / TICK_S) + 40):
            now = tick * TICK_S
            rolled_back = self.record.phase is rollout.Phase.ROLLED_BACK
            if rolled_back and now > self.ended_at + 2.0:
                break
            while known and known[0][0] <= now:
                self.seen = known.pop(0)[1]
            while ends and ends[0][0] <= now:
                _, _, gate, *answer = heapq.heappop(ends)
                gate.end(*answer)
            self._note(now)
            self._send(now, ends)
            if tick % 5 == 0:
                for gate in self.gates:
                    if now >= gate.born:
                        reports[gate.vm] = gate.report(self.order.id, now)
            if tick % 10 == 0:
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
        if step:
            self.steps.append((round(now, 2), step))
        if self.record.phase.ended:
            self.ended_at = now

    def _note(self, now):
        bad = sum(gate.bad for gate in self.gates if gate.is_new)
        if bad >= 50 and self.fiftieth is None:
            self.fiftieth = now

    def _send(self, now, ends):
        phase = self.seen.phase
        closing = phase in (rollout.Phase.CLOSING, rollout.Phase.COMPLETED)
        old = [gate for gate in self.gates if not gate.is_new]
        new = [
            gate
            for gate in self.gates
            if gate.is_new
            and now >= gate.born
            and not gate.tripped
            and gate.vm not in self.seen.excluded
            and (
                phase is not rollout.Phase.CANARY
                or gate.vm in self.seen.canaries
            )
        ]
        mean = self.rate * TICK_S
        for _ in range(int(mean + self.rng.random())):
            is_new = self.rng.random() < self.seen.share
            for group in (
                (new,) if closing else (new, old) if is_new else (old,)
            ):
                free = [gate for gate in group if gate.running < SLOTS]
                if free:
                    self._start(free, now, ends)
                    break

    def _start(self, free, now, ends):
        rng = self.rng
        gate = min(
            rng.sample(free, min(2, len(free))), key=lambda g: g.running
        )
        if now > gate.noise_until and rng.random() < 0.002:
            gate.noise_until = now + 0.6
        gate.started += 1
        gate.running += 1
        if now < self.order.duration:
            self.total += 1
            self.exposed += gate.is_new
        if gate.is_new:
            self.last_exposed = now
        route = rng.choice(ROUTES)
        seconds = rng.gammavariate(4, MEAN_S / 4) / gate.speed
        seconds *= 2.5 if now < gate.noise_until else 1.0
        bad = rng.random() < 0.01
        if gate.is_new:
            found, factor = self.fault(gate, route, now - gate.born, rng)
            bad |= found
            seconds *= factor
        item = (now + seconds, self.total, gate, route, seconds, bad)
        heapq.heappush(ends, (*item, now - gate.born > 1.0))

    def _evidence(self, reports):
        rows = {}
        for domain in ('d0', 'd1', 'd2'):
            here = [
                gate
                for gate in self.gates
                if gate.domain == domain and gate.vm in reports
            ]
            old = [reports[g.vm] for g in here if not g.is_new]
            closed = self.seen.phase is rollout.Phase.CLOSING
            rows[domain] = rollout.Evidence(
                self.order.id,
                tuple(reports[g.vm] for g in here if g.is_new),
                rolloutevidence.total(old, old[0]),
                len(old),
                sum(not closed or r.running > 0 for r in old),
                'a/1',
                self.seen.step,
            )
        return rows
