"""Tests of a fleet at the crest of its load, in simulated time.

A quarter of a deployment whose requests make calls, at 2.6 times its mean
load. Without precedence of calls, half of the runs at catalogue are lost.
"""

import testtools

from jujubefold.sidecar import balancer
from jujubefold.sidecar import limiter
from tests import callfleet
from tests import pausedloop

WARMUP_S = 2.0
SECONDS = 6.0
CREST = 2.6
SIZES = {'catalogue': 9, 'orders': 7, 'drawings': 2, 'warehouse': 1}
WORKS = {
    'catalogue-read': callfleet.Work(
        'catalogue', 0.2, 1.71, 0.684, 113.5, ('orders-call',) * 2, 0.7,
        priority=0,
    ),
    'order-place': callfleet.Work(
        'orders', 0.26, 2.749, 1.1, 54.5, ('drawing-call', 'reserve-call'),
        0.5, 'non_idempotent', priority=0,
    ),
    'drawing-pack': callfleet.Work(
        'drawings', 0.16, 2.0, 0.6, 19.0, priority=2
    ),
    'stock-reserve': callfleet.Work(
        'warehouse', 0.16, 2.0, 0.6, 14.5, priority=2
    ),
    'orders-call': callfleet.Work('orders', 0.06, 0.9, 0.3),
    'drawing-call': callfleet.Work('drawings', 0.06, 0.9, 0.3),
    'reserve-call': callfleet.Work('warehouse', 0.06, 0.9, 0.3),
}  # fmt: skip
KINDS = [name for name, work in WORKS.items() if work.per_s]


def play(recognised, sizes=SIZES, crest=CREST):
    """Return the `callfleet.World` after a play.

    Args:
        recognised: Whether calls are served as such.
        sizes: Upstreams by service.
        crest: Factor on the mean load.
    """
    worlds = []

    async def main(clock):
        world = callfleet.World(clock, WORKS, sizes, recognised)
        worlds.append(world)
        await world.play(SECONDS, lambda at: 0.8 if at < WARMUP_S else crest)

    pausedloop.run(main)
    return worlds[0]


def wasted(world, name):
    """Return the share of a kind's runs that failed."""
    return world.runs[name][True] / max(1, world.runs[name].total())


class TestOfferLog(testtools.TestCase):
    def test_load_is_logged_as_believed_at_the_choice(self):
        """The gate has more running by then, and its answer says so."""
        believed = limiter.Load(running=2, waiting=0, slots=6)
        logs = []

        async def main(clock):
            sizes = {'warehouse': 1, 'orders': 1}
            world = callfleet.World(clock, WORKS, sizes, True)
            vm = world.vms['orders-0']
            candidate = vm.by_service['warehouse']['warehouse-0']
            balancer.announce_load(candidate, believed, clock.monotonic())
            candidate.slowness = 1.25
            candidate.answered_at = clock.monotonic()
            await vm.request('stock-reserve', 'request', 2.0)
            logs.extend(vm.event_log.records)

        pausedloop.run(main)
        (offers,) = [
            fields['offers'] for event, fields in logs if event == 'call.ended'
        ]
        self.assertEqual(
            {
                'running': 2,
                'waiting': 0,
                'slots': 6,
                'age': 0.0,
                'full': False,
                'slowness': 1.25,
            },
            {key: offers[0][key] for key in list(offers[0])[2:8]},
        )


class TestCrest(testtools.TestCase):
    def test_runs_are_not_lost_for_their_calls(self):
        """Guards the collapse without a fault, and that nobody starves."""
        before, after = play(False), play(True)
        name = 'catalogue-read'
        self.assertGreater(wasted(before, name), 0.3)
        self.assertLess(wasted(after, name), 0.02)
        self.assertGreater(after.served(name), 1.5 * before.served(name))
        ends = [after.ends[kind] for kind in KINDS]
        served = sum(end['in time'] for end in ends) / sum(
            end.total() for end in ends
        )
        for kind in KINDS:
            self.assertGreater(after.served(kind), served / 4, kind)

    def test_little_is_lost_when_the_called_service_is_short(self):
        """Guards slots held for calls that find no room, and idle ones."""
        sizes = SIZES | {'orders': 1}
        before, after = play(False, sizes, 1.5), play(True, sizes, 1.5)
        name = 'catalogue-read'
        self.assertGreater(wasted(before, name), 0.5)
        self.assertLess(wasted(after, name), 0.1)
        # Calls use what the one upstream of orders can do.
        self.assertGreater(after.runs['orders-call'].total(), SECONDS * 80)
