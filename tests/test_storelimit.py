"""Rate limit, retry budget and circuit breaker of store calls."""

import asyncio
import random

import testtools

from jujubefold import errors
from jujubefold import storelimit
from tests import pausedloop

FLEET_SIZE = 820
MINUTE_S = 60.0


def observation(outcome, kind=storelimit.Kind.WRITE):
    """Return an `Observation` of one call."""
    return storelimit.Observation('Put', kind, outcome, 0.0)


async def count_calls_in(limiter, kind, clock, seconds):
    """Return how many calls a caller without pauses gets in a time."""
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

    def test_daemons_together_stay_within_the_fleet_rate(self):
        cases = (
            (storelimit.Kind.WRITE, storelimit.FLEET_WRITES_PER_S),
            (storelimit.Kind.READ, storelimit.FLEET_READS_PER_S),
        )
        for kind, max_rate in cases:

            async def count_calls(clock, kind=kind):
                limiter = self.limiter(clock)
                limiter.set_fleet_size(FLEET_SIZE)
                return await count_calls_in(limiter, kind, clock, MINUTE_S)

            fleet_rate = pausedloop.run(count_calls) * FLEET_SIZE / MINUTE_S
            self.assertTrue(
                0.9 * max_rate <= fleet_rate <= 1.1 * max_rate,
                (kind, fleet_rate),
            )

    def test_small_fleet_gets_the_configured_rate(self):
        async def count_calls(clock):
            limiter = self.limiter(clock)
            limiter.set_fleet_size(3)
            return await count_calls_in(
                limiter, storelimit.Kind.READ, clock, 10.0
            )

        self.assertTrue(195 <= pausedloop.run(count_calls) <= 222)

    def test_call_that_would_wait_too_long_takes_no_token(self):
        async def main(clock):
            limiter = self.limiter(clock)
            limiter.set_fleet_size(FLEET_SIZE)
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

    def test_retries_are_a_fraction_of_calls(self):
        async def main(clock):
            limiter = self.limiter(clock)
            retries = 0
            for _ in range(1000):
                limiter.record_result(
                    observation(storelimit.StoreOutcome.DONE)
                )
                retries += limiter.take_retry_token()
            expected_retries = 1000 * storelimit.RETRY_TOKENS_PER_CALL
            self.assertLessEqual(
                retries, expected_retries + storelimit.MAX_RETRY_TOKENS
            )
            self.assertGreaterEqual(retries, expected_retries * 0.9)

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

    def test_backoff_is_bounded_and_random(self):
        rng = random.Random(1)
        for attempt in (0, 3, 10, 10_000):
            waits = [storelimit.backoff(rng, attempt) for _ in range(100)]
            self.assertLessEqual(max(waits), storelimit.BACKOFF_MAX_S)
            self.assertGreater(min(waits), 0.0)
            self.assertGreater(len(set(waits)), 50)
