"""Benchmark of what each decision is worth to callers.

Switches one mechanism off at a time in a simulated fleet whose failure
domains have uneven callers and upstreams, and reports the share of the worth
that callers earn. Only this benchmark can switch them off.
"""

import concurrent.futures
import dataclasses
import math
import statistics

from bench import report
from jujubefold.sidecar import balancer
from jujubefold.sidecar import calldemand
from jujubefold.sidecar import callerwait
from jujubefold.sidecar import ingress
from jujubefold.sidecar import limiter
from tests import domainfleet

SEEDS = 2
PROCESSES = 3
# Numbers of the upstreams that are gone in a shortage: one of `catalogue`, one
# of `orders`, two of `fittings`.
LOST_UPSTREAMS = (1, 8, 10, 11)
SCENARIOS = {
    'half load': {'factor': 0.54},
    'full load': {},
    'burst': {'factor': 1.25},
    'shortage': {'without': LOST_UPSTREAMS},
}


def _by_arrival(table, request, now):
    """Return the sort key of a queue that is served in order of arrival."""
    return request.arrived_at


# What is patched to switch a mechanism off: the object, the attribute, and its
# replacement.
MECHANISMS = {
    'all on': (),
    'queues in other domains': (
        (balancer, '_is_worth_leaving_for', lambda *_: False),
    ),
    'distance cost': ((balancer, 'DISTANCE_COST_S', dict.fromkeys(
        balancer.DISTANCE_COST_S, 0.0)),),
    'speed of upstreams': ((balancer, 'SLOWNESS_WEIGHT', 0.0),),
    'ageing of reports': ((balancer, 'REPORT_MAX_AGE_S', math.inf),),
    'jitter of choice': ((balancer, 'JITTER', 0.0),),
    'queue by urgency': ((limiter, '_queue_order', _by_arrival),),
    'on-time share': ((limiter, 'ON_TIME_SHARE', 1.0),),
    'refusal while there is time': ((limiter, 'QUEUED_SHARE', 1.0),),
    'short timeouts wait': ((limiter, 'SHORT_TIMEOUT_S', 0.0),),
    'caller wait': ((callerwait, 'estimate', lambda *_: 0.0),),
    'refusal of parents': (
        (calldemand, 'refusal_for_parent', lambda *_: None),
    ),
    'spread of returns': ((ingress, 'RETRY_AFTER_JITTER', (1.0, 1.0)),),
}  # fmt: skip


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One play.

    Args:
        mechanism: Name of what is switched off.
        scenario: Key of `SCENARIOS`.
        seed: Random seed.
    """

    mechanism: str
    scenario: str
    seed: int


def play(case):
    """Return the credit and the offers to other domains of a `Case`."""
    scenario = domainfleet.studios(
        **SCENARIOS[case.scenario],
        calls_first=case.mechanism != 'calls first',
    )
    patches = MECHANISMS.get(case.mechanism, ())
    originals = [getattr(owner, name) for owner, name, _ in patches]
    for owner, name, replacement in patches:
        setattr(owner, name, replacement)
    try:
        fleet = domainfleet.play(scenario, case.seed)
    finally:
        for (owner, name, _), original in zip(patches, originals, strict=True):
            setattr(owner, name, original)
    return fleet.total_credit, fleet.far


def measure(quick, seed):
    """Return the `report.Report` of all mechanisms and scenarios.

    Args:
        quick: Whether to play only the first cases, once each.
        seed: First random seed.
    """
    mechanisms = [*MECHANISMS, 'calls first']
    scenarios = list(SCENARIOS)
    if quick:
        mechanisms, scenarios = mechanisms[:2], scenarios[:2]
    cases = [
        Case(mechanism, scenario, seed + number)
        for mechanism in mechanisms
        for scenario in scenarios
        for number in range(1 if quick else SEEDS)
    ]
    with concurrent.futures.ProcessPoolExecutor(PROCESSES) as pool:
        found = dict(zip(cases, pool.map(play, cases), strict=True))
    rows = [
        _row(mechanism, scenario, found)
        for mechanism in mechanisms
        for scenario in scenarios
    ]
    return report.Report(
        'ablation',
        f'python -m bench ablation --seed {seed}',
        ('off', 'scenario', 'credit', 'spread', 'offers elsewhere'),
        tuple(rows),
        (
            'Simulated time, 12 upstreams of 12 slots in three failure '
            'domains, 5 s each after 3 s.',
            'Credit is the share of the worth that callers earn, spread the '
            'distance between the seeds.',
        ),
    )


def _row(mechanism, scenario, found):
    plays = [
        value
        for case, value in found.items()
        if (case.mechanism, case.scenario) == (mechanism, scenario)
    ]
    credits_ = [credit for credit, _ in plays]
    return (
        mechanism,
        scenario,
        round(statistics.mean(credits_), 3),
        round(max(credits_) - min(credits_), 3),
        round(statistics.mean(far for _, far in plays)),
    )
