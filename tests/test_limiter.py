"""Tests of the queue and refusals of one upstream's slots."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import calls
from jujubefold import errors
from jujubefold.sidecar import limiter

RUN = calls.Admitted()
QUEUED = calls.Queued()


def ticket(name, now=0.0, rank=0, aim=10.0, deadline=20.0, route='r'):
    return limiter.Request(name, route, rank, now, now + aim, now + deadline)


def table_of(count, hold=0.1):
    return limiter.SlotTable(slots=count, mean_duration=hold)


class TestAdmission(testtools.TestCase):
    def test_slots_are_exact(self):
        table = table_of(2)
        found = [limiter.acquire(table, ticket(n), 0.0) for n in range(3)]
        self.assertEqual([RUN, RUN, QUEUED], found)
        self.assertEqual((2,), limiter.release(table, 0, 0.1))
        self.assertEqual({1, 2}, set(table.running))

    def test_without_an_upstream_everything_is_refused_at_once(self):
        found = limiter.acquire(table_of(0), ticket(1), 0.0)
        self.assertEqual(calls.Reason.NO_UPSTREAM, found.refusal.reason)
        self.assertIs(errors.Outcome.DID_NOT_RUN, found.refusal.ran)

    def test_what_cannot_end_in_time_is_refused_at_once(self):
        table = table_of(1, hold=1.0)
        found = limiter.acquire(table, ticket(1, deadline=0.5), 0.0)
        self.assertEqual(calls.Reason.DEADLINE, found.refusal.reason)

    def test_a_queue_that_would_make_it_late_refuses_with_a_return_time(self):
        table = table_of(1, hold=0.1)
        for name in range(3):
            limiter.acquire(table, ticket(name, aim=0.4, deadline=1.0), 0.0)
        found = limiter.acquire(table, ticket(9, aim=0.4, deadline=1.0), 0.0)
        self.assertEqual(calls.Reason.QUEUE_FULL, found.refusal.reason)
        self.assertGreater(found.refusal.retry_after, 0.2)

    def test_who_does_not_wait_is_refused_without_a_free_slot(self):
        table = table_of(1)
        limiter.acquire(table, ticket(1), 0.0)
        looking = limiter.Request(2, 'r', 0, 0.0, 10.0, 20.0, may_queue=False)
        found = limiter.acquire(table, looking, 0.0)
        self.assertEqual(calls.Reason.NO_SLOT, found.refusal.reason)
        self.assertEqual({}, table.waiting)

    def test_rank_goes_before_urgency(self):
        table = table_of(1)
        limiter.acquire(table, ticket('first'), 0.0)
        limiter.acquire(table, ticket('low', rank=2, aim=0.5), 0.0)
        limiter.acquire(table, ticket('high', rank=0, aim=5.0), 0.0)
        self.assertEqual(('high',), limiter.release(table, 'first', 0.1))
        self.assertEqual(('low',), limiter.release(table, 'high', 0.2))

    def test_who_can_be_on_time_goes_before_who_is_late(self):
        table = table_of(1)
        limiter.acquire(table, ticket('first'), 0.0)
        limiter.acquire(table, ticket('late', aim=0.05), 0.0)
        limiter.acquire(table, ticket('fresh', aim=1.0), 0.0)
        self.assertEqual(('fresh',), limiter.release(table, 'first', 0.1))

    def test_one_that_lost_its_chance_leaves_before_its_deadline(self):
        table = table_of(1, hold=0.5)
        limiter.acquire(table, ticket('first'), 0.0)
        limiter.acquire(
            table, ticket('low', rank=1, aim=1.19, deadline=1.2), 0.0
        )
        limiter.acquire(table, ticket('high', rank=0), 0.0)
        gone = dict(limiter.evict_overdue(table, 0.0))
        self.assertEqual({'low'}, set(gone))
        self.assertIs(errors.Outcome.DID_NOT_RUN, gone['low'].ran)

    def test_leaving_empties_the_queue(self):
        table = table_of(1)
        limiter.acquire(table, ticket(1), 0.0)
        limiter.acquire(table, ticket(2), 0.0)
        gone = dict(limiter.close(table, calls.Reason.DRAINING))
        self.assertEqual({2}, set(gone))
        self.assertEqual({1}, set(table.running))

    def test_a_warming_upstream_is_expected_to_take_longer(self):
        table = table_of(1)
        cold = limiter.SlotTable(slots=1, mean_duration=0.1, warmup_factor=2.0)
        self.assertEqual(
            2 * limiter.expected_duration(table, 'r'),
            limiter.expected_duration(cold, 'r'),
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
    def test_nobody_is_lost_and_slots_hold(self, arrivals, count):
        table = table_of(count)
        now = 0.0
        seen = {}
        for name, (rank, aim, pause) in enumerate(arrivals):
            now += pause
            item = ticket(name, now, rank, aim, aim * 3)
            match limiter.acquire(table, item, now):
                case calls.Admitted():
                    seen[name] = 'run'
                case calls.Queued():
                    seen[name] = 'wait'
                case calls.Refused():
                    seen[name] = 'gone'
            for gone, _ in limiter.evict_overdue(table, now):
                self.assertEqual('wait', seen[gone])
                seen[gone] = 'gone'
            self.assertLessEqual(len(table.running), count)
            if len(table.running) == count:
                for woken in limiter.release(
                    table, next(iter(table.running)), now
                ):
                    self.assertEqual('wait', seen[woken])
                    seen[woken] = 'run'
        waiting = {name for name, state in seen.items() if state == 'wait'}
        self.assertEqual(waiting, set(table.waiting))


class Upstream:
    """Plays a load over one upstream's slots in virtual time.

    Args:
        count: Slots.
        lasts: Seconds that each request takes.
    """

    def __init__(self, count, lasts):
        self.table = table_of(count, hold=lasts)
        self.on_time = self.late = self.refused = 0
        self.held = []
        self._lasts = lasts
        self._ends = []

    def arrive(self, name, now, rank, aim, deadline):
        self._end_until(now)
        item = ticket(name, now, rank, aim, deadline)
        match limiter.acquire(self.table, item, now):
            case calls.Admitted():
                self._ends.append((now + self._lasts, item))
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
                started = self.table.running[name][0]
                self._ends.append((at + self._lasts, started))
            self._evict(at)
            self._ends.sort(key=lambda end: end[0])

    def _evict(self, now):
        waiting = dict(self.table.waiting)
        for name, _ in limiter.evict_overdue(self.table, now):
            self.held.append(now - waiting[name].arrived_at)


class TestOverload(testtools.TestCase):
    """Load beyond the slots: what callers get."""

    def play(self, factor, count=6, lasts=0.1, aim=0.3, deadline=1.2):
        played = Upstream(count, lasts)
        gap = lasts / count / factor
        for number in range(600):
            played.arrive(number, number * gap, 0, aim, deadline)
        played.finish()
        return played

    def test_goodput_holds_beyond_capacity(self):
        for factor in (1.0, 1.5, 2.0, 3.0):
            played = self.play(factor)
            # As many as the slots can run in the time of the arrivals.
            possible = 600 / factor
            self.assertGreaterEqual(
                played.on_time, 0.9 * possible, f'{factor} x capacity'
            )

    def test_hardly_anybody_waits_in_vain_and_then_not_for_long(self):
        for factor in (1.5, 2.0, 3.0):
            played = self.play(factor)
            # One in a hundred, told in time to come back.
            self.assertLessEqual(len(played.held), 6, f'{factor} x capacity')
            for waited in played.held:
                self.assertLessEqual(waited, 0.5 * 1.2, waited)

    def test_urgent_requests_are_served_before_others(self):
        played = Upstream(6, 0.1)
        served = {0: 0, 2: 0}
        for number in range(600):
            rank = 0 if number % 3 == 0 else 2
            before = played.refused
            played.arrive(number, number * 0.1 / 12, rank, 0.3, 1.2)
            served[rank] += played.refused == before
        # A third of twice the capacity fits whole.
        self.assertGreaterEqual(served[0], 0.97 * 200)
