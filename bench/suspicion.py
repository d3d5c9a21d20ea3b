"""False suspicions an hour, by packet loss and pauses of processes."""

import random

from bench import membership
from bench import report

DAEMONS = 60
QUICK_DAEMONS = 20
HOURS = 0.2
QUICK_HOURS = 0.05
SETTLE_S = 10
PAUSES_AN_HOUR = 60
# Two pauses in a row would count as one that is longer.
REST_S = 5.0

# Loss each way, seconds of each pause.
CASES = ((0.0, 0.0), (0.01, 0.0), (0.05, 0.0), (0.0, 1.0), (0.01, 1.0))
LONG_PAUSES = ((0.0, 3.0), (0.0, 10.0))


def measure(quick, seed):
    """Count what healthy daemons suffer.

    Args:
        quick: Whether to use a small fleet and little time.
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
            f'the pause is above 0, with {REST_S:g} s between two. Loss '
            'hits whole exchanges: TCP, which sends again, would hide most '
            'of it.',
            'A false suspicion is counted once for each refutation.',
        ),
    )


def _row(loss, pause, quick, seed):
    size = QUICK_DAEMONS if quick else DAEMONS
    hours = QUICK_HOURS if quick else HOURS
    fleet = membership.seated(size, seed)
    fleet.run(SETTLE_S)
    fleet.loss = loss
    _pass(fleet, hours * 3600, pause, random.Random(seed))
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


def _pass(fleet, seconds, pause, rng):
    if pause == 0:
        fleet.run(seconds)
        return
    count = round(seconds / 3600 * PAUSES_AN_HOUR * len(fleet.daemons))
    paused_at = dict.fromkeys(sorted(fleet.daemons), float('-inf'))
    for _ in range(count):
        fleet.run(seconds / count)
        now = fleet.clock.monotonic()
        rested = [
            vm for vm, at in paused_at.items() if now - at > pause + REST_S
        ]
        chosen = rng.choice(rested)
        paused_at[chosen] = now
        fleet.pause(chosen, pause)
