"""Rate, retry budget and circuit of store calls, on a paused clock."""

import asyncio
import random

import testtools

from jujubefold import errors
from jujubefold import storelimit
from tests import pausedloop

FLEET = 820
MINUTE_S = 60.0


def observation(outcome, kind=storelimit.Kind.WRITE):
    """Return an `Observation` of one call."""
    return storelimit.Observation('Put', kind, outcome, 0.0)


async def calls_in(limiter, kind, clock, seconds):
    """Return how many calls a greedy caller makes within a time."""
    end = clock.monotonic() + seconds
    count = 0
    while await limiter.acquire(kind, end - clock.monotonic()) is None:
        count += 1
    return count


class TestStoreLimit(testtools.TestCase):
    def limiter(self, clock, seed=1, observe=None):
        return storelimit.StoreLimiter(
            clock, random.Random(seed), 20.0, observe
        )

    def test_fleet_stays_within_its_share(self):
        cases = (
            (storelimit.Kind.WRITE, storelimit.FLEET_WRITES_PER_S),
            (storelimit.Kind.READ, storelimit.FLEET_READS_PER_S),
        )
        for kind, most in cases:

            async def greedy(clock, kind=kind):
                limiter = self.limiter(clock)
                limiter.set_fleet_size(FLEET)
                return await calls_in(limiter, kind, clock, MINUTE_S)

            used = pausedloop.run(greedy) * FLEET / MINUTE_S
            self.assertTrue(0.9 * most <= used <= 1.1 * most, (kind, used))

    def test_small_fleet_gets_the_settings_rate(self):
        async def greedy(clock):
            limiter = self.limiter(clock)
            limiter.set_fleet_size(3)
            return await calls_in(limiter, storelimit.Kind.READ, clock, 10.0)

        self.assertTrue(195 <= pausedloop.run(greedy) <= 222)

    def test_too_little_patience_is_refused_and_takes_nothing(self):
        async def main(clock):
            limiter = self.limiter(clock)
            limiter.set_fleet_size(FLEET)
            kind = storelimit.Kind.WRITE
            await limiter.acquire(kind, 60.0)
            for _ in range(100):
                refusal = await limiter.acquire(kind, 0.01)
                self.assertIsInstance(refusal, errors.StoreNotRun)
            start = clock.monotonic()
            self.assertIsNone(await limiter.acquire(kind, 60.0))
            self.assertLess(clock.monotonic() - start, 3.0)

        pausedloop.run(main)

    def test_circuit_opens_probes_and_closes(self):
        async def main(clock):
            limiter = self.limiter(clock)
            kind = storelimit.Kind.WRITE
            for _ in range(storelimit.FAILURES_TO_OPEN):
                self.assertIsNone(await limiter.acquire(kind, 9.0))
                limiter.record_result(
                    observation(storelimit.StoreOutcome.NOT_RUN)
                )
            self.assertTrue(limiter.is_circuit_open)
            self.assertFalse(limiter.take_retry_token())
            probes = 0
            for _ in range(600):
                await asyncio.sleep(0.1)
                if await limiter.acquire(kind, 9.0) is None:
                    probes += 1
                    limiter.record_result(
                        observation(storelimit.StoreOutcome.UNKNOWN)
                    )
            self.assertTrue(6 <= probes <= 20, probes)
            await asyncio.sleep(2 * storelimit.PROBE_MAX_S)
            self.assertIsNone(await limiter.acquire(kind, 9.0))
            limiter.record_result(observation(storelimit.StoreOutcome.REFUSED))
            self.assertFalse(limiter.is_circuit_open)
            self.assertIsNone(await limiter.acquire(kind, 9.0))

        pausedloop.run(main)

    def test_retries_stay_a_fraction_of_calls(self):
        async def main(clock):
            limiter = self.limiter(clock)
            retries = 0
            for _ in range(1000):
                limiter.record_result(
                    observation(storelimit.StoreOutcome.DONE)
                )
                retries += limiter.take_retry_token()
            most = 1000 * storelimit.RETRY_TOKENS_PER_CALL
            self.assertLessEqual(retries, most + storelimit.MAX_RETRY_TOKENS)
            self.assertGreaterEqual(retries, most * 0.9)

        pausedloop.run(main)

    def test_every_call_is_observed(self):
        async def main(clock):
            seen = []
            limiter = self.limiter(clock, observe=seen.append)
            for outcome in storelimit.StoreOutcome:
                limiter.record_result(observation(outcome))
            limiter.record_limited(
                observation(storelimit.StoreOutcome.LIMITED)
            )
            self.assertEqual(len(storelimit.StoreOutcome) + 1, len(seen))

        pausedloop.run(main)

    def test_backoff_is_bounded_and_spread(self):
        rng = random.Random(1)
        for attempt in (0, 3, 10, 10_000):
            waits = [storelimit.backoff(rng, attempt) for _ in range(100)]
            self.assertLessEqual(max(waits), storelimit.BACKOFF_MAX_S)
            self.assertGreater(min(waits), 0.0)
            self.assertGreater(len(set(waits)), 50)
