"""Rollout evidence: what the gates' counts say about a new version.

All functions are pure. A `Ledger` keeps the counts of one rollout over time;
it holds a few seconds of readings of six failure domains and 40 new gates.
"""

import bisect
import collections
import dataclasses
import enum
import math
import operator

import msgspec

from jujubefold.sidecar import rollout

# Quantile of the normal distribution for the bounds of a share: 1% of the
# sound shares lie above the upper bound.
Z = 2.33
# Bad answers below which no version is bad, and the distance of its share of
# bad answers to the old version's.
MIN_BAD = 6
BAD_DISTANCE = 0.1
# An answer is slow from this multiple of the old version's median on.
SLOW_FACTOR = 4.0
SLOW_DISTANCE = 0.15
# Answers, slow ones among them, and seconds that they span, below which no
# version is slow. Noise of an upstream lasts for 0.6 s.
MIN_DURATIONS = 12
MIN_SLOW = 5
MIN_SLOW_SPAN_S = 1.5
# Share of the upstreams that must be slow by themselves. Upstreams differ in
# speed, so that two of five may answer slowly though the version is sound.
SLOW_UPSTREAMS = 0.6
# An upstream's own speed raises its limit by this factor at most. Above it,
# versions whose answers are 8 times slower for half of the requests pass.
MAX_SPEED_FACTOR = 1.6
SPEED_QUANTILE = 0.2
# Answers of one upstream or of the old version from which its share counts.
MIN_UPSTREAM = 10
MIN_OLD = 30
# The old version's answers from which their median counts.
MIN_BASE = 12
# Bad or slow answers with which a version is not called sound while it has
# given few, if their share is one that a verdict needs.
MIN_SUSPICIOUS = 3
# Distance of the others' share of bad answers within which one bad upstream
# is a fault of its own, and the number of upstreams of which it is one.
ALONE_DISTANCE = 0.05
MIN_UPSTREAMS = 3
# Answers from which an upstream counts as one of them.
MIN_SAMPLED = 5
# Routes with this share of the answers need as many answers of the new
# version, once it has given as many in total.
ROUTE_SHARE = 0.05
MIN_ROUTE = 4
MIN_FOR_ROUTES = 40
# Upper bound of the old version's share of bad answers if it gave none.
ASSUMED_BAD_SHARE = 0.2
# Seconds of the span of the newest answers.
RECENT_S = 2.0


class Verdict(enum.StrEnum):
    """What a span says about the new version."""

    UNKNOWN = 'unknown'
    SOUND = 'sound'
    BAD = 'bad'
    SLOW = 'slow'


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """A verdict with the numbers that it follows from.

    Args:
        verdict: The `Verdict`, without the faulty upstream.
        route: Name of the route that decided; empty for all.
        faulty: VMs whose upstreams alone are faulty.
        ended: Answers of the new version.
        share: Its share of bad or slow answers.
        old_share: The old version's.
    """

    verdict: Verdict
    route: str = ''
    faulty: tuple[str, ...] = ()
    ended: int = 0
    share: float = 0.0
    old_share: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Span:
    """Answers within a time.

    Args:
        old: Sum of the `rollout.GateReport` of the old version.
        new: `rollout.GateReport` of each gate of the new version, also of
            earlier starts of its daemon.
        seconds: Length; from the first request to the new version that was
            seen, if that is later.
    """

    old: rollout.GateReport
    new: tuple[rollout.GateReport, ...]
    seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """What is known of a rollout when a step is decided.

    Args:
        exposed: Requests sent to the new version since the order.
        total: Requests sent to the service since the order.
        rate: Requests a second to the service lately.
        new_rate: The same of the new version.
        domains: Failure domain of each VM in `overall.new`.
        overall: `Span` since the order.
        since_step: `Span` since the last change of the record.
        recent: `Span` of the last `RECENT_S` seconds.
        old_stopped: Whether all old gates are closed and idle, as said by
            aggregators that know the last change of the record.
        old_running: Requests that run at old gates.
        running: Requests that run at all gates.
        busy: Mean of the requests that ran lately at each new gate, by VM.
    """

    exposed: int
    total: int
    rate: float
    new_rate: float
    domains: dict[str, str]
    overall: Span
    since_step: Span
    recent: Span
    old_stopped: bool
    old_running: int
    running: int
    busy: dict[str, float]


def interval(part, whole, z=Z):
    """Return the Wilson interval of a share.

    Args:
        part: Number counted.
        whole: Number of all; 0 gives the widest interval.
        z: Quantile of the normal distribution.
    """
    if whole <= 0:
        return 0.0, 1.0
    share = part / whole
    scale = 1 + z * z / whole
    centre = (share + z * z / (2 * whole)) / scale
    half = (
        z
        * math.sqrt(share * (1 - share) / whole + z * z / (4 * whole * whole))
        / scale
    )
    return max(0.0, centre - half), min(1.0, centre + half)


def total(reports, template):
    """Return the sum of reports.

    Args:
        reports: Each `rollout.GateReport`.
        template: `rollout.GateReport` with the order and the service.
    """
    reports = tuple(reports)
    routes = {}
    for report in reports:
        for counts in report.routes:
            routes[counts.route] = _combine(
                routes.get(counts.route, rollout.RouteCounts(counts.route)),
                counts,
                1,
            )
    return rollout.GateReport(
        template.order,
        template.service,
        '',
        0,
        template.is_new,
        slots=sum(report.slots for report in reports),
        started=sum(report.started for report in reports),
        ended=sum(report.ended for report in reports),
        bad=sum(report.bad for report in reports),
        running=sum(report.running for report in reports),
        routes=tuple(routes.values()),
    )


def difference(before, after):
    """Return what a gate or a sum counted between two reports.

    A new incarnation and a lower count start anew.

    Args:
        before: The earlier `rollout.GateReport`, or None.
        after: The later one.
    """
    if (
        before is None
        or before.incarnation != after.incarnation
        or after.started < before.started
        or after.ended < before.ended
        or after.bad < before.bad
    ):
        return after
    known = {counts.route: counts for counts in before.routes}
    routes = tuple(
        _combine(counts, known[counts.route], -1)
        if counts.route in known and known[counts.route].ended <= counts.ended
        else counts
        for counts in after.routes
    )
    fields = {
        name: getattr(after, name) - getattr(before, name)
        for name in ('started', 'ended', 'bad')
    }
    return msgspec.structs.replace(after, routes=routes, **fields)


def quantile(durations, share):
    """Return a quantile of a histogram in seconds; 0 if it is empty.

    Args:
        durations: Count in each of `rollout.BUCKETS`.
        share: 0 to 1.
    """
    left = share * sum(durations)
    if left <= 0:
        return 0.0
    for index, count in enumerate(durations):
        if count and left <= count:
            low, high = _bounds(index)
            return low * (high / low) ** (left / count)
        left -= count
    return rollout.BUCKET_BOUNDS_S[-1]


def above(durations, limit):
    """Return how many durations are above a limit, in parts of a bucket.

    Args:
        durations: Count in each of `rollout.BUCKETS`.
        limit: Seconds.
    """
    index = bisect.bisect_left(rollout.BUCKET_BOUNDS_S, limit)
    low, high = _bounds(index)
    found = sum(durations[index + 1 :])
    if low >= limit:
        return found + durations[index]
    if durations[index] and high > limit:
        part = math.log(high / limit) / math.log(high / low)
        return found + durations[index] * part
    return found


def judge(span, reference, known_bad_share, excluded=(), needed=12):
    """Return the `Judgement` on the new version in a span.

    A gate is left out if it alone of `MIN_UPSTREAMS` or more with samples is
    faulty. One of ten may be, and one of fewer.

    Args:
        span: The `Span`.
        reference: Sum of the old version's reports since the order, which
            stands in where the span has few.
        known_bad_share: Old version's share of bad answers when last known.
        excluded: VMs that were found faulty.
        needed: Answers below which the version is not called sound.
    """
    old = span.old if span.old.ended >= MIN_OLD else reference
    reports = tuple(r for r in span.new if r.vm not in excluded)
    found = _judge_all(reports, old, known_bad_share, span.seconds, needed)
    if found.verdict not in (Verdict.BAD, Verdict.SLOW):
        return found
    sampled = sum(report.ended >= MIN_SAMPLED for report in span.new)
    if (
        found.verdict is Verdict.SLOW
        or sampled < MIN_UPSTREAMS
        or len(excluded) >= may_exclude(sampled)
    ):
        return found
    worst = max(reports, key=lambda report: (report.bad, report.ended))
    others = tuple(report for report in reports if report is not worst)
    rest = _judge_all(others, old, known_bad_share, span.seconds, MIN_OLD)
    ended = sum(report.ended for report in others)
    bad = sum(report.bad for report in others)
    if (
        rest.verdict not in (Verdict.SOUND, Verdict.UNKNOWN)
        or ended < MIN_UPSTREAM
        or bad / ended >= _share(old.bad, old.ended) + ALONE_DISTANCE
    ):
        return found
    if rest.verdict is Verdict.UNKNOWN:
        return rest
    return dataclasses.replace(rest, faulty=(worst.vm,))


def may_exclude(upstreams):
    """Return how many upstreams may be faulty while their version is not.

    Args:
        upstreams: Number of those of the new version that gave answers.
    """
    return max(1, upstreams // 10) if upstreams >= MIN_UPSTREAMS else 0


class Ledger:
    """Counts of one rollout, as read over time.

    Args:
        order: The `rollout.OrderId`.
        service: Name of the service.
    """

    def __init__(self, order, service):
        self._order = order
        self._none = rollout.GateReport(order, service, '', 0, False)
        self._started = {}
        self._old_started = {}
        self._evidence = {}
        self._step = None
        self._baseline = None
        self._history = collections.deque()
        # When a request to the new version was first seen.
        self._first_new_at = math.inf

    def add(self, evidence, record, now):
        """Take in the evidence that was read.

        Args:
            evidence: `rollout.Evidence` by failure domain; that of other
                orders is ignored.
            record: The `rollout.Record` that was read before it.
            now: Seconds of the clock that ages are judged by.
        """
        self._evidence.update(
            (domain, item)
            for domain, item in evidence.items()
            if item.order == self._order
        )
        for domain, item in self._evidence.items():
            self._old_started[domain] = max(
                self._old_started.get(domain, 0), item.old.started
            )
            for report in item.new:
                name = report.vm, report.incarnation
                self._started[name] = max(
                    self._started.get(name, 0), report.started
                )
        reading = _Reading(
            now,
            sum(self._started.values()),
            sum(self._old_started.values()),
            {domain: item.old for domain, item in self._evidence.items()},
            {
                (report.vm, report.incarnation): report
                for item in self._evidence.values()
                for report in item.new
            },
        )
        if reading.new_started:
            self._first_new_at = min(self._first_new_at, now)
        if self._step != record.changed_step:
            # Answers from before the change may be among those of a reading
            # that follows it; the one before the change is better still.
            first = self._step is None
            self._step = record.changed_step
            self._baseline = (
                reading if first or not self._history else self._history[-1]
            )
        self._history.append(reading)
        while len(self._history) > 2 and self._history[1].at <= now - RECENT_S:
            self._history.popleft()

    def view(self, record):
        """Return the `View` after the last `add`.

        Args:
            record: The `rollout.Record`.
        """
        last = self._history[-1]
        first = self._history[0]
        elapsed = last.at - first.at
        rate = new_rate = 0.0
        if elapsed > 0:
            new_rate = (last.new_started - first.new_started) / elapsed
            rate = new_rate + (last.old_started - first.old_started) / elapsed
        exposed = max(last.new_started, record.exposed)
        rows = self._evidence.values()
        old_running = sum(item.old.running for item in rows)
        return View(
            exposed,
            max(exposed + last.old_started, record.total),
            rate,
            new_rate,
            {
                report.vm: domain
                for domain, item in self._evidence.items()
                for report in item.new
            },
            self._span(None),
            self._span(self._baseline),
            self._span(first if elapsed >= RECENT_S else None),
            bool(rows)
            and all(
                item.step >= record.changed_step and not item.old_open
                for item in rows
            ),
            old_running,
            old_running + sum(gate.running for gate in last.new.values()),
            self._mean_running(),
        )

    def _mean_running(self):
        """Return the mean of the requests that ran at each new gate."""
        running = collections.defaultdict(float)
        for reading in self._history:
            for (vm, _), report in reading.new.items():
                running[vm] += report.running / len(self._history)
        return dict(running)

    def _span(self, before):
        """Return the `Span` from a `_Reading` to the last one."""
        last = self._history[-1]
        old = before.old if before else {}
        new = before.new if before else {}
        return Span(
            total(
                (
                    difference(old.get(domain), report)
                    for domain, report in last.old.items()
                ),
                self._none,
            ),
            tuple(
                difference(new.get(name), report)
                for name, report in last.new.items()
            ),
            max(
                0.0,
                last.at
                - max(self._first_new_at, before.at if before else -math.inf),
            ),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class _Reading:
    at: float
    new_started: int
    old_started: int
    old: dict[str, rollout.GateReport]
    new: dict[tuple[str, int], rollout.GateReport]


def _judge_all(reports, old, known_bad_share, seconds, needed):
    """Return the `Judgement` by route and in total, as of one upstream."""
    ended = sum(report.ended for report in reports)
    bad = sum(report.bad for report in reports)
    before = {counts.route: counts for counts in old.routes}
    seen = collections.Counter()
    seen_bad = collections.Counter()
    for report in reports:
        for counts in report.routes:
            seen[counts.route] += counts.ended
            seen_bad[counts.route] += counts.bad
    compared = [('', ended, bad, old.ended, old.bad)]
    for name, number in seen.items():
        other = before.get(name, rollout.RouteCounts(name))
        compared.append((name, number, seen_bad[name], other.ended, other.bad))
    for name, number, number_bad, old_ended, old_bad in compared:
        if _is_above(number_bad, number, old_bad, old_ended, known_bad_share):
            return Judgement(
                Verdict.BAD,
                name,
                (),
                number,
                _share(number_bad, number),
                _share(old_bad, old_ended),
            )
    if seconds >= MIN_SLOW_SPAN_S:
        slow = _judge_slow(reports, before)
        if slow is not None:
            return slow
    share, old_share = _share(bad, ended), _share(old.bad, old.ended)
    durations = sum(
        sum(counts.durations)
        for report in reports
        if report.warm
        for counts in report.routes
    )
    # Answers while warming up say nothing about slowness, and without the old
    # version's there is nothing to compare them with.
    enough = (
        ended >= needed
        and durations >= needed / 2
        and sum(sum(counts.durations) for counts in old.routes) >= MIN_BASE
        and not (
            ended < MIN_FOR_ROUTES
            and bad >= MIN_SUSPICIOUS
            and share - old_share >= BAD_DISTANCE
        )
    )
    verdict = Verdict.SOUND if enough else Verdict.UNKNOWN
    if ended >= MIN_FOR_ROUTES:
        for name, counts in before.items():
            if (
                counts.ended >= ROUTE_SHARE * old.ended
                and seen[name] < MIN_ROUTE
            ):
                verdict = Verdict.UNKNOWN
    return Judgement(verdict, '', (), ended, share, old_share)


def _is_above(bad, ended, old_bad, old_ended, known_bad_share):
    """Return whether a share of bad answers is above the old version's."""
    if bad < MIN_BAD:
        return False
    if old_ended < MIN_UPSTREAM:
        upper = max(ASSUMED_BAD_SHARE, known_bad_share)
        return interval(bad, ended)[0] > upper
    return (
        bad / ended - old_bad / old_ended >= BAD_DISTANCE
        and interval(bad, ended)[0] > interval(old_bad, old_ended)[1]
    )


def _judge_slow(reports, old):
    """Return the `Judgement` if the version is slow or may be, else None.

    Each route is judged by its own median, so that the mix of routes does
    not matter. Gates that warm up are left out.

    Args:
        reports: `rollout.GateReport` of each new gate.
        old: `rollout.RouteCounts` of the old version by route.
    """
    by_route = collections.defaultdict(list)
    everything_old = rollout.RouteCounts('')
    for counts in old.values():
        everything_old = _combine(everything_old, counts, 1)
    bases = {}
    for report in reports:
        if not report.warm:
            continue
        for counts in report.routes:
            if counts.route not in bases:
                bases[counts.route] = _base(counts.route, old, everything_old)
            base, limit, old_slow, ended = bases[counts.route]
            if ended < MIN_BASE:
                continue
            slow = above(counts.durations, limit)
            if slow:
                slow = above(counts.durations, limit * _speed(counts, base))
            by_route[counts.route].append(
                (report.vm, slow, sum(counts.durations), old_slow, ended)
            )
    everything = [item for found in by_route.values() for item in found]
    for name, found in (('', everything), *by_route.items()):
        slow = sum(item[1] for item in found)
        ended = sum(item[2] for item in found)
        if not ended or slow < MIN_SUSPICIOUS:
            continue
        # The old version's share has the new one's mix of routes.
        old_share = sum(item[2] * item[3] / item[4] for item in found) / ended
        old_ended = min(item[4] for item in found)
        if slow / ended - old_share < SLOW_DISTANCE:
            continue
        verdict = Verdict.UNKNOWN
        if (
            ended >= MIN_DURATIONS
            and slow >= MIN_SLOW
            and interval(slow, ended)[0]
            > interval(old_share * old_ended, old_ended)[1]
            and _most_upstreams_slow(found)
        ):
            verdict = Verdict.SLOW
        if verdict is Verdict.SLOW or (not name and ended < MIN_FOR_ROUTES):
            return Judgement(verdict, name, (), ended, slow / ended, old_share)
    return None


def _base(route, old, everything_old):
    """Return what answers on a route are compared with.

    Returns:
        The old version's `rollout.RouteCounts`, on all routes if this one has
        few; the limit of slow answers in seconds; how many were slow; how many
        there were.
    """
    base = old.get(route)
    if base is None or sum(base.durations) < MIN_BASE:
        base = everything_old
    limit = SLOW_FACTOR * quantile(base.durations, 0.5)
    if not limit:
        return base, 0.0, 0.0, 0
    return base, limit, above(base.durations, limit), sum(base.durations)


def _most_upstreams_slow(found):
    """Return whether most upstreams answer slowly by themselves."""
    slow = collections.Counter()
    ended = collections.Counter()
    expected = collections.Counter()
    for vm, above_limit, count, old_above, old_count in found:
        slow[vm] += above_limit
        ended[vm] += count
        expected[vm] += count * old_above / old_count
    judged = [vm for vm in ended if ended[vm] >= MIN_SAMPLED]
    slow_vms = [
        vm
        for vm in judged
        if slow[vm] - expected[vm] >= SLOW_DISTANCE * ended[vm]
    ]
    return bool(judged) and len(slow_vms) >= SLOW_UPSTREAMS * len(judged)


def _speed(counts, base):
    """Return how much slower an upstream's fast answers are; at least 1.

    A slow upstream is slower in all its answers, a bad version in a part.
    """
    if sum(counts.durations) < MIN_UPSTREAM:
        return MAX_SPEED_FACTOR
    usual = quantile(base.durations, SPEED_QUANTILE)
    own = quantile(counts.durations, SPEED_QUANTILE)
    return min(MAX_SPEED_FACTOR, max(1.0, own / usual)) if usual else 1.0


def _combine(counts, other, sign):
    combine = operator.add if sign > 0 else operator.sub
    return rollout.RouteCounts(
        counts.route,
        combine(counts.ended, other.ended),
        combine(counts.bad, other.bad),
        tuple(map(combine, counts.durations, other.durations)),
    )


def _bounds(index):
    """Return the lower and upper bound of a bucket in seconds."""
    bounds = rollout.BUCKET_BOUNDS_S
    index = min(index, len(bounds))
    low = bounds[index - 1] if index else bounds[0] / 1.5
    high = bounds[index] if index < len(bounds) else bounds[-1] * 1.5
    return low, high


def _share(part, whole):
    return part / whole if whole else 0.0
