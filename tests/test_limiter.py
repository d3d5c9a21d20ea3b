"""Tests of admission, queueing and refusal at one upstream."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import calls
from jujubefold import errors
from jujubefold.sidecar import limiter
from jujubefold.sidecar import pace as paces

RUN = calls.Admitted()
QUEUED = calls.Queued()


def request(name, now=0.0, rank=0, objective=10.0, deadline=20.0, route='r'):
    return limiter.Request(
        name, route, rank, now, now + objective, now + deadline
    )


def table_of(count, duration=0.1):
    return limiter.SlotTable(slots=count, mean_duration=duration)


class TestDurations(testtools.TestCase):
    def test_run_that_outlasts_the_warmup_is_recorded_by_its_start(self):
        table = table_of(1)
        table.warmup_factor = 2.0
        limiter.acquire(table, request(1), 0.0)
        table.warmup_factor = 1.0
        limiter.release(table, 1, 0.4)
        self.assertAlmostEqual(0.2, limiter.expected_duration(table, 'r'))


class TestFetches(testtools.TestCase):
    """Uploads of 60 KB to a gate whose link carries 3.5 Mbit/s."""

    FETCH_S = 60_000 * 8 / 3.5e6

    def admitted(self, backlog, objective=1.8, deadline=3.6):
        """Return whether an upload is fetched behind others."""
        table = table_of(6, duration=0.33)
        return (
            limiter.refusal_for_fetch(
                table,
                request(1, objective=objective, deadline=deadline),
                (backlog + 1) * self.FETCH_S,
                0.0,
            )
            is None
        )

    def test_uploads_are_fetched_while_they_will_be_on_time(self):
        self.assertTrue(self.admitted(0))
        self.assertTrue(self.admitted(6))
        self.assertFalse(self.admitted(12))

    def test_refusal_tells_when_the_link_is_free(self):
        refusal = limiter.refusal_for_fetch(
            table_of(6), request(1, objective=0.5, deadline=3.0), 1.2, 0.0
        )
        self.assertEqual(calls.Reason.QUEUE_FULL, refusal.reason)
        self.assertIs(errors.Outcome.DID_NOT_RUN, refusal.ran)
        self.assertEqual(1.2, refusal.retry_after)

    def test_upload_needs_an_upstream_and_enough_time(self):
        for table, seconds, reason in (
            (table_of(0), 0.1, calls.Reason.NO_UPSTREAM),
            (table_of(1, duration=9.0), 0.1, calls.Reason.DEADLINE),
            # The link of another upstream may be faster.
            (table_of(1), 3.0, calls.Reason.QUEUE_FULL),
        ):
            refusal = limiter.refusal_for_fetch(
                table, request(1, deadline=3.0), seconds, 0.0
            )
            self.assertEqual(reason, refusal.reason)


class TestCalls(testtools.TestCase):
    """Guard against runs that are lost because their calls find no room."""

    def call(self, name, rank=0, deadline=1.0):
        return limiter.Request(
            name, 'r', rank, 0.0, 0.3, deadline, True, call=True
        )

    def test_calls_start_before_others_of_any_rank(self):
        table = table_of(1)
        limiter.acquire(table, request('running'), 0.0)
        limiter.acquire(table, request('urgent', rank=-2), 0.0)
        for item in (
            self.call('low', rank=1),
            self.call('later', deadline=1.1),
            self.call('sooner', deadline=0.9),
        ):
            self.assertEqual(QUEUED, limiter.acquire(table, item, 0.0))
        self.assertEqual(3, limiter.load(table, 0.0).waiting_calls)
        order, key = [], 'running'
        for _ in range(4):
            (key,) = limiter.release(table, key, 0.1)
            order.append(key)
        self.assertEqual(['sooner', 'later', 'low', 'urgent'], order)

    def test_call_is_kept_until_it_cannot_end_in_time(self):
        table = table_of(1, duration=0.4)
        limiter.acquire(table, request('running'), 0.0)
        # Predicted to end at 0.8, long after its objective.
        self.assertEqual(QUEUED, limiter.acquire(table, self.call(1), 0.0))
        refused = limiter.acquire(table, self.call(2), 0.0)
        self.assertEqual(calls.Reason.QUEUE_FULL, refused.refusal.reason)
        self.assertEqual((), limiter.evict_overdue(table, 0.6))
        ((key, _),) = limiter.evict_overdue(table, 0.65)
        self.assertEqual(1, key)


class TestLearnedLimit(testtools.TestCase):
    """Guards requests beyond what the upstream handles well at once."""

    def test_limit_is_used_and_reported_and_may_fall_below_what_runs(self):
        table = table_of(4)
        table.learned_limit = 3
        for number in range(3):
            found = limiter.acquire(table, request(number), 0.0)
            self.assertEqual(RUN, found)
        self.assertEqual(QUEUED, limiter.acquire(table, request(3), 0.0))
        self.assertEqual(3, limiter.load(table, 0.0).slots)
        table.learned_limit = 1
        self.assertEqual(QUEUED, limiter.acquire(table, request(4), 0.0))
        self.assertEqual((), limiter.release(table, 0, 0.1))
        self.assertEqual((), limiter.release(table, 1, 0.1))
        self.assertEqual((3,), limiter.release(table, 2, 0.1))
        table.learned_limit = 9
        self.assertEqual(4, limiter.load(table, 0.0).slots)


class TestPace(testtools.TestCase):
    """An upstream with 6 slots that names 10 requests a second."""

    def table(self, duration=0.1):
        table = table_of(6, duration)
        paces.set_rate(table.pace, 10.0, 0.0)
        return table

    def test_requests_beyond_the_rate_are_queued_though_slots_are_free(self):
        table = self.table()
        found = [limiter.acquire(table, request(n), 0.0) for n in range(5)]
        self.assertEqual([RUN] * 3 + [QUEUED] * 2, found)
        self.assertAlmostEqual(0.05, limiter.paced_delay(table, 0.0))
        self.assertEqual((), limiter.fill_slots(table, 0.04))
        self.assertEqual((3,), limiter.fill_slots(table, 0.051))
        self.assertEqual((), limiter.fill_slots(table, 0.1))
        self.assertEqual((4,), limiter.release(table, 0, 0.16))

    def test_full_slots_are_awaited_without_a_timer(self):
        table = self.table()
        table.slots = 1
        for name in range(2):
            limiter.acquire(table, request(name), 0.0)
        self.assertIsNone(limiter.paced_delay(table, 0.0))

    def test_request_that_the_rate_delays_too_long_is_refused_at_once(self):
        table = self.table()
        found = [
            limiter.acquire(
                table, request(n, objective=0.5, deadline=1.2), 0.0
            )
            for n in range(12)
        ]
        refused = [item for item in found if isinstance(item, calls.Refused)]
        self.assertEqual(6, len(refused))
        for item in refused:
            self.assertEqual(calls.Reason.QUEUE_FULL, item.refusal.reason)
            self.assertIs(errors.Outcome.DID_NOT_RUN, item.refusal.ran)
            self.assertAlmostEqual(0.35, item.refusal.retry_after)

    def test_report_shows_the_throughput_of_the_rate(self):
        for duration, rate in ((0.1, 13.4), (0.5, 9.0), (0.1, 0.2)):
            table = table_of(6, duration)
            paces.set_rate(table.pace, rate, 0.0)
            load = limiter.load(table, 0.0)
            self.assertAlmostEqual(rate, load.slots / load.mean_duration)
            self.assertLessEqual(load.slots, 6)
        table = table_of(6, 0.1)
        paces.set_rate(table.pace, 500.0, 0.0)
        self.assertEqual(6, limiter.load(table, 0.0).slots)
        self.assertEqual(0.1, limiter.load(table, 0.0).mean_duration)

    def test_report_has_no_free_slot_until_the_rate_allows_a_start(self):
        table = self.table()
        for name in range(3):
            limiter.acquire(table, request(name), 0.0)
        for name in range(3):
            limiter.release(table, name, 0.01)
        load = limiter.load(table, 0.02)
        self.assertGreaterEqual(load.running, load.slots)
        self.assertEqual(0, limiter.load(table, 0.06).running)


class TestAdmission(testtools.TestCase):
    def test_concurrency_equals_the_slots(self):
        table = table_of(2)
        found = [limiter.acquire(table, request(n), 0.0) for n in range(3)]
        self.assertEqual([RUN, RUN, QUEUED], found)
        self.assertEqual((2,), limiter.release(table, 0, 0.1))
        self.assertEqual({1, 2}, set(table.running))

    def test_without_upstream_all_requests_are_refused(self):
        found = limiter.acquire(table_of(0), request(1), 0.0)
        self.assertEqual(calls.Reason.NO_UPSTREAM, found.refusal.reason)
        self.assertIs(errors.Outcome.DID_NOT_RUN, found.refusal.ran)

    def test_request_that_cannot_meet_its_deadline_is_refused(self):
        table = table_of(1, duration=1.0)
        found = limiter.acquire(table, request(1, deadline=0.5), 0.0)
        self.assertEqual(calls.Reason.DEADLINE, found.refusal.reason)

    def test_full_queue_refuses_with_retry_after(self):
        table = table_of(1, duration=0.1)
        for name in range(3):
            limiter.acquire(
                table, request(name, objective=0.4, deadline=1.0), 0.0
            )
        found = limiter.acquire(
            table, request(9, objective=0.4, deadline=1.0), 0.0
        )
        self.assertEqual(calls.Reason.QUEUE_FULL, found.refusal.reason)
        self.assertGreater(found.refusal.retry_after, 0.2)

    def test_request_that_may_not_queue_needs_a_free_slot(self):
        table = table_of(1)
        limiter.acquire(table, request(1), 0.0)
        unqueued = limiter.Request(2, 'r', 0, 0.0, 10.0, 20.0, may_queue=False)
        found = limiter.acquire(table, unqueued, 0.0)
        self.assertEqual(calls.Reason.NO_SLOT, found.refusal.reason)
        self.assertEqual({}, table.waiting)

    def test_rank_precedes_objective(self):
        table = table_of(1)
        limiter.acquire(table, request('first'), 0.0)
        limiter.acquire(table, request('low', rank=2, objective=0.5), 0.0)
        limiter.acquire(table, request('high', rank=0, objective=5.0), 0.0)
        self.assertEqual(('high',), limiter.release(table, 'first', 0.1))
        self.assertEqual(('low',), limiter.release(table, 'high', 0.2))

    def test_on_time_request_precedes_late_one(self):
        table = table_of(1)
        limiter.acquire(table, request('first'), 0.0)
        limiter.acquire(table, request('late', objective=0.05), 0.0)
        limiter.acquire(table, request('on time', objective=1.0), 0.0)
        self.assertEqual(('on time',), limiter.release(table, 'first', 0.1))

    def test_displaced_request_is_refused_before_its_deadline(self):
        table = table_of(1, duration=0.5)
        limiter.acquire(table, request('first'), 0.0)
        limiter.acquire(
            table, request('low', rank=1, objective=1.19, deadline=1.2), 0.0
        )
        limiter.acquire(table, request('high', rank=0), 0.0)
        refused = dict(limiter.evict_overdue(table, 0.0))
        self.assertEqual({'low'}, set(refused))
        self.assertIs(errors.Outcome.DID_NOT_RUN, refused['low'].ran)

    def test_close_refuses_queued_requests_only(self):
        table = table_of(1)
        limiter.acquire(table, request(1), 0.0)
        limiter.acquire(table, request(2), 0.0)
        refused = dict(limiter.close(table, calls.Reason.DRAINING))
        self.assertEqual({2}, set(refused))
        self.assertEqual({1}, set(table.running))

    def test_warmup_factor_scales_expected_duration(self):
        table = table_of(1)
        warming = limiter.SlotTable(
            slots=1, mean_duration=0.1, warmup_factor=2.0
        )
        self.assertEqual(
            2 * limiter.expected_duration(table, 'r'),
            limiter.expected_duration(warming, 'r'),
        )

    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 3),
                strategies.floats(0.01, 2.0),
                strategies.floats(0.0, 0.3),
            ),
            max_size=60,
        ),
        strategies.integers(1, 12),
    )
    def test_every_request_is_accounted_for(self, arrivals, count):
        table = table_of(count)
        now = 0.0
        states = {}
        for name, (rank, objective, pause) in enumerate(arrivals):
            now += pause
            item = request(name, now, rank, objective, objective * 3)
            match limiter.acquire(table, item, now):
                case calls.Admitted():
                    states[name] = 'running'
                case calls.Queued():
                    states[name] = 'waiting'
                case calls.Refused():
                    states[name] = 'refused'
            for evicted, _ in limiter.evict_overdue(table, now):
                self.assertEqual('waiting', states[evicted])
                states[evicted] = 'refused'
            self.assertLessEqual(len(table.running), count)
            if len(table.running) == count:
                for admitted in limiter.release(
                    table, next(iter(table.running)), now
                ):
                    self.assertEqual('waiting', states[admitted])
                    states[admitted] = 'running'
        waiting = {
            name for name, state in states.items() if state == 'waiting'
        }
        self.assertEqual(waiting, set(table.waiting))


class Upstream:
    """Simulates one upstream's slots under load, in virtual time.

    Args:
        count: Slots.
        duration: Seconds that each request takes.

    Attributes:
        evicted_after: Seconds that each evicted request had waited.
    """

    def __init__(self, count, duration):
        self.table = table_of(count, duration=duration)
        self.on_time = self.late = self.refused = 0
        self.evicted_after = []
        self._duration = duration
        self._ends = []

    def arrive(self, name, now, rank, objective, deadline):
        self._end_until(now)
        item = request(name, now, rank, objective, deadline)
        match limiter.acquire(self.table, item, now):
            case calls.Admitted():
                self._ends.append((now + self._duration, item))
            case calls.Refused():
                self.refused += 1
        self._evict(now)

    def finish(self):
        self._end_until(1e9)

    def _end_until(self, now):
        self._ends.sort(key=lambda end: end[0])
        while self._ends and self._ends[0][0] <= now:
            at, item = self._ends.pop(0)
            self.on_time += at <= item.objective_at
            self.late += at > item.objective_at
            for name in limiter.release(self.table, item.key, at):
                started = self.table.running[name].request
                self._ends.append((at + self._duration, started))
            self._evict(at)
            self._ends.sort(key=lambda end: end[0])

    def _evict(self, now):
        waiting = dict(self.table.waiting)
        for name, _ in limiter.evict_overdue(self.table, now):
            self.evicted_after.append(now - waiting[name].arrived_at)


class TestOverload(testtools.TestCase):
    """What callers get when the load exceeds the slots."""

    def simulate(
        self, factor, count=6, duration=0.1, objective=0.3, deadline=1.2
    ):
        upstream = Upstream(count, duration)
        interval = duration / count / factor
        for number in range(600):
            upstream.arrive(number, number * interval, 0, objective, deadline)
        upstream.finish()
        return upstream

    def test_goodput_stays_high_beyond_capacity(self):
        for factor in (1.0, 1.5, 2.0, 3.0):
            upstream = self.simulate(factor)
            # Requests that the slots can run while the load arrives.
            possible = 600 / factor
            self.assertGreaterEqual(
                upstream.on_time, 0.9 * possible, f'{factor} x capacity'
            )

    def test_few_queued_requests_are_evicted_and_soon(self):
        for factor in (1.5, 2.0, 3.0):
            upstream = self.simulate(factor)
            # At most one in a hundred, early enough for a retry.
            self.assertLessEqual(
                len(upstream.evicted_after), 6, f'{factor} x capacity'
            )
            for waited in upstream.evicted_after:
                self.assertLessEqual(waited, 0.5 * 1.2, waited)

    def test_low_rank_numbers_are_served_first(self):
        upstream = Upstream(6, 0.1)
        accepted = {0: 0, 2: 0}
        for number in range(600):
            rank = 0 if number % 3 == 0 else 2
            before = upstream.refused
            upstream.arrive(number, number * 0.1 / 12, rank, 0.3, 1.2)
            accepted[rank] += upstream.refused == before
        # The requests of rank 0 are a third of twice the capacity, so all of
        # them can be served.
        self.assertGreaterEqual(accepted[0], 0.97 * 200)
