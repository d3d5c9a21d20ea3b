"""Upper bounds of the credit of days: `python -m bench.bounds SITE...`

A fluid calculation from offered work, slots, speeds and objectives. Slots
are priced by service and second; whatever the prices, what requests would
earn beyond them plus the price of all slots bounds the credit of any
schedule, so that the lowest sum found is a bound too. Rewrites the part of
docs/platform.md between its two marks.
"""

import dataclasses
import math
import pathlib
import sys
import tomllib

from bench import days

BEGIN, END = '<!-- bounds -->\n', '<!-- /bounds -->\n'
# Rounds over all prices; the fourth lowers a bound by less than 0.001.
ROUNDS = 4
# The steps between prices leave a bound at most so much too high.
LOOSE = 0.01
# Prices that are tried for a slot second, in worth.
PRICES = tuple(0.7**power * 120 for power in range(24)) + (0.0,)
# Seconds that a fault lasts if its entry doesn't say.
DEFAULT_FOR_S = 5.0

_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Args:
        name: Its name.
        worth: Credit of an answer on time.
        late_worth: Credit of a later one.
        patience: Seconds until its caller leaves.
        once: Whether it must not run twice.
        holds: Slot seconds that one takes, by service.
    """

    name: str
    worth: float
    late_worth: float
    patience: int
    once: bool
    holds: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """A day as a fluid.

    Args:
        offered: Requests by `Kind` name, one figure a second.
        slots: Slots by service, one figure a second, at usual speed.
        kinds: Every `Kind`.
        owed: Credit if every request were answered on time, those included
            whose only run loses its answer.
    """

    offered: dict[str, list[float]]
    slots: dict[str, list[float]]
    kinds: tuple[Kind, ...]
    owed: float


def read(site, day):
    """Return the `Day` of one day's table in a site file.

    Args:
        site: The site file's document.
        day: Table of the day.
    """
    seconds = math.ceil(site['length_s'])
    kinds = tuple(_kinds(site))
    entries = day.get('faults', []) + day.get('plan', [])
    offered = {kind.name: [0.0] * seconds for kind in kinds}
    for stream in day.get('traffic', site['traffic']):
        total = sum(stream['mix'].values())
        for name, part in stream['mix'].items():
            for second in range(seconds):
                rate = stream['per_s'] * part / total
                rate *= _bursts(entries, second, stream['zone'], name)
                rate *= _wave(stream.get('shape', {}), second)
                offered[name][second] += rate
    slots = {
        service['name']: [
            _slots(site, service, entries, second) for second in range(seconds)
        ]
        for service in site['services']
    }
    owed = sum(kind.worth * sum(offered[kind.name]) for kind in kinds)
    _take_lost(offered, kinds, entries)
    return Day(offered, slots, kinds, owed)


def bound(day):
    """Return an upper bound of the share of credit that can be earned.

    Args:
        day: A `Day`.
    """
    seconds = len(next(iter(day.slots.values())))
    prices = {service: [0.0] * seconds for service in day.slots}
    lowest = _price_of_all(day, prices)
    for _ in range(ROUNDS):
        for service, row in prices.items():
            for second in range(seconds):
                kept = row[second]
                for price in PRICES:
                    row[second] = price
                    found = _price_of_all(day, prices)
                    if found < lowest - 1e-9:
                        lowest, kept = found, price
                row[second] = kept
    return lowest / day.owed


def _price_of_all(day, prices):
    """Return the bound that some prices of slots give."""
    total = sum(
        price * slots
        for service, row in prices.items()
        for price, slots in zip(row, day.slots[service], strict=True)
    )
    for kind in day.kinds:
        costs = [
            sum(
                hold * prices[service][second]
                for service, hold in kind.holds.items()
            )
            for second in range(len(day.offered[kind.name]))
        ]
        for second, count in enumerate(day.offered[kind.name]):
            late = min(costs[second : second + kind.patience + 1])
            gain = max(kind.worth - costs[second], kind.late_worth - late)
            total += count * max(0.0, gain)
    return total


def _kinds(site):
    """Yield the `Kind` of each request that callers make."""
    classes = {item['name']: item for item in site['classes']}
    for item in site['classes']:
        if item.get('inner'):
            continue
        holds = {item['service']: item['work_ms']['mean'] / _MS}
        for call in item.get('calls', ()):
            inner = classes[call['class']]
            seconds = inner['work_ms']['mean'] / _MS * call['share']
            # Whoever calls keeps its slot meanwhile.
            at_once = 1 if call.get('together') else call['times']
            holds[item['service']] += seconds * at_once
            holds.setdefault(inner['service'], 0.0)
            holds[inner['service']] += seconds * call['times']
        yield Kind(
            item['name'],
            item['worth'],
            item['late_worth'],
            math.ceil(item['deadline_ms'] / _MS),
            item['kind'] == 'unsafe',
            holds,
        )


def _wave(shape, second):
    """Return the factor of a swinging load."""
    if shape.get('kind') != 'wave':
        return 1.0
    turn = second / shape['period_s'] + shape.get('phase', 0.0)
    return 1 + shape['swing'] * math.sin(2 * math.pi * turn)


def _is_on(entry, second):
    start = entry.get('at', 0.0)
    return start <= second < start + entry.get('for_s', DEFAULT_FOR_S)


def _bursts(entries, second, zone, kind):
    """Return the factor of the bursts that play at a second."""
    factor = 1.0
    for entry in entries:
        if (
            entry['kind'] == 'burst'
            and _is_on(entry, second)
            and entry.get('zone', zone) == zone
            and entry.get('class', kind) == kind
        ):
            factor *= entry['x']
    return factor


def _slots(site, service, entries, second):
    """Return the slots of a service at a second, at usual speed.

    Faults that are not reckoned here leave the bound too high, not too low.
    """
    name = service['name']
    count = sum(
        machine['count']
        for machine in site['machines']
        if machine.get('app') == name
    )
    speeds = service.get('speeds') or [1.0]
    pace = sum(speeds[n % len(speeds)] for n in range(count))
    share = 1.0
    for entry in entries:
        if entry.get('service', name) != name:
            continue
        part = entry.get('share', 0.15)
        match entry['kind']:
            case 'scale_in' if second >= entry['at']:
                share -= math.floor(part * count) / count
            case 'scale_out' if second >= entry['at']:
                share += math.ceil(part * count) / count
            case 'herd_kill' | 'srv_crash' if _is_on(entry, second):
                share *= 1 - math.floor(part * count) / count
            case 'srv_slow' if _is_on(entry, second):
                slow = math.floor(part * count) / count
                share *= 1 - slow + slow / entry.get('x', 4.0)
    return pace * service['slots'] * max(0.0, share)


def _take_lost(offered, kinds, entries):
    """Take out requests whose only run loses its answer."""
    for entry in entries:
        if entry['kind'] not in ('answer_lost', 'garble'):
            continue
        part = entry.get('share', 0.5) * entry.get('x', 0.03)
        for kind in kinds:
            if not kind.once:
                continue
            row = offered[kind.name]
            for second in range(len(row)):
                if _is_on(entry, second):
                    row[second] *= 1 - part


def table(site, entry):
    """Yield the lines of one site's table.

    Args:
        site: The site file's document.
        entry: Journal entry of its newest full score.
    """
    yield f'### {site["name"]}, {entry["id"]}\n\n'
    yield '| day | bound | earned | distance | worst-hit service |\n'
    yield '| --- | --- | --- | --- | --- |\n'
    played = {day['name']: day for day in entry['days']}
    for item in site['day']:
        if item['name'] not in played:
            continue
        day = read(site, item)
        most = bound(day)
        earned = dict(
            (name, value) for name, _, value in played[item['name']]['parts']
        )['whole day']
        yield (
            f'| {item["name"]} | {most:.3f} | {earned:.3f} '
            f'| {most - earned:.3f} | {_fullest(day)} |\n'
        )
    yield '\n'


def _fullest(day):
    """Return the service that is asked the most of its slots, and how much."""
    found = []
    for service, slots in day.slots.items():
        asked = sum(
            kind.holds.get(service, 0.0) * sum(day.offered[kind.name])
            for kind in day.kinds
        )
        found.append((asked / max(1e-9, sum(slots)), service))
    share, service = max(found)
    return f'{service}, asked {share:.2f} of its slots'


def main(paths):
    """Rewrite the page.

    Args:
        paths: Site files.
    """
    text = days.PAGE.read_text()
    head, _, rest = text.partition(BEGIN)
    _, _, tail = rest.partition(END)
    scores = days.newest_scores(days.ROOT / 'journal')
    lines = []
    for path in paths:
        site = tomllib.loads(pathlib.Path(path).read_text())
        if site['name'] in scores:
            lines.extend(table(site, scores[site['name']]))
    days.PAGE.write_text(head + BEGIN + '\n' + ''.join(lines) + END + tail)


if __name__ == '__main__':
    main(sys.argv[1:])
