"""Benchmark of false suspicions by message loss and process pauses."""

import random

from bench import membership
from bench import report

DAEMONS = 60
QUICK_DAEMONS = 20
SIMULATED_HOURS = 0.2
QUICK_SIMULATED_HOURS = 0.05
SETTLE_S = 10
PAUSES_AN_HOUR = 60
# Minimum time between two pauses of a daemon: back to back, they would act
# as one longer pause.
MIN_UNPAUSED_S = 5.0

# Loss probability in each direction, and duration of each pause in seconds.
CASES = ((0.0, 0.0), (0.01, 0.0), (0.05, 0.0), (0.0, 1.0), (0.01, 1.0))
LONG_PAUSES = ((0.0, 3.0), (0.0, 10.0))


def measure(quick, seed):
    """Count false suspicions and deaths of healthy daemons.

    Args:
        quick: Whether to use a small fleet and a short time.
        seed: Seed of losses and pauses.

    Returns:
        A `report.Report`.
    """
    cases = CASES if quick else CASES + LONG_PAUSES
    return report.Report(
        name='suspicion',
        command=f'python -m bench suspicion --seed {seed}',
        columns=(
            'loss each way',
            'pause s',
            'daemon hours',
            'false suspicions',
            'a daemon hour',
            'false deaths',
        ),
        rows=tuple(_row(*case, quick, seed) for case in cases),
        notes=(
            f'Each daemon is paused {PAUSES_AN_HOUR} times an hour where '
            f'the pause is above 0, with {MIN_UNPAUSED_S:g} s between two. '
            'Loss drops whole exchanges; TCP retransmission would hide most '
            'of it.',
            'Each refutation counts as one false suspicion.',
        ),
    )


def _row(loss, pause, quick, seed):
    size = QUICK_DAEMONS if quick else DAEMONS
    hours = QUICK_SIMULATED_HOURS if quick else SIMULATED_HOURS
    fleet = membership.seated(size, seed)
    fleet.run(SETTLE_S)
    fleet.loss = loss
    _run_with_pauses(fleet, hours * 3600, pause, random.Random(seed))
    suspicions = len(fleet.events('member.refuted'))
    deaths = {event.detail for *_, event in fleet.events('member.dead')}
    daemon_hours = size * hours
    return (
        loss,
        pause,
        daemon_hours,
        suspicions,
        suspicions / daemon_hours,
        len(deaths),
    )


def _run_with_pauses(fleet, seconds, pause, rng):
    if pause == 0:
        fleet.run(seconds)
        return
    count = round(seconds / 3600 * PAUSES_AN_HOUR * len(fleet.daemons))
    paused_at = dict.fromkeys(sorted(fleet.daemons), float('-inf'))
    for _ in range(count):
        fleet.run(seconds / count)
        now = fleet.clock.monotonic()
        eligible = [
            vm
            for vm, at in paused_at.items()
            if now - at > pause + MIN_UNPAUSED_S
        ]
        chosen = rng.choice(eligible)
        paused_at[chosen] = now
        fleet.pause(chosen, pause)
