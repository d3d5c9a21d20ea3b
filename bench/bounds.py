"""Upper bounds of the credit of days: `python -m bench.bounds SITE...`

A fluid model of offered work, slots, speeds and objectives, bounded by
Lagrangian duality. Each slot second has a price by service and second. For
any prices, the price of all slots plus the credit that requests earn above
the price of their slots bounds the credit of every schedule, so the lowest
sum found is a bound too. Rewrites the part of docs/platform.md between its
two markers.
"""

import dataclasses
import math
import pathlib
import sys
import tomllib

from bench import days

BEGIN, END = '<!-- bounds -->\n', '<!-- /bounds -->\n'
# Rounds of descent over all prices; the fourth lowers a bound by less than
# 0.001.
ROUNDS = 4
# Largest excess of a bound that the steps between prices cause.
MAX_EXCESS = 0.01
# Prices tried for a slot second, in units of credit.
PRICES = tuple(0.7**power * 120 for power in range(24)) + (0.0,)
# Duration of a fault whose entry has none, in seconds.
DEFAULT_FOR_S = 5.0

_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Args:
        name: Class name in the site file.
        worth: Credit of an answer before the deadline.
        late_worth: Credit of a later answer.
        deadline_s: Seconds until the deadline, rounded up.
        at_most_once: Whether the request must not run twice.
        slot_seconds: Slot seconds that one request occupies, by service.
    """

    name: str
    worth: float
    late_worth: float
    deadline_s: int
    at_most_once: bool
    slot_seconds: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Day:
    """Fluid model of one day.

    Args:
        offered: Requests in each second, by `Kind` name.
        slots: Available slots in each second, by service, in slots of
            normal speed.
        kinds: Every `Kind`.
        full_credit: Credit if every request were answered on time, including
            those whose only execution loses its answer.
    """

    offered: dict[str, list[float]]
    slots: dict[str, list[float]]
    kinds: tuple[Kind, ...]
    full_credit: float


def read(site, day):
    """Return the `Day` model of one day in a site file.

    Args:
        site: Decoded site file.
        day: Decoded table of the day.
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
                rate *= _burst_factor(entries, second, stream['zone'], name)
                rate *= _wave_factor(stream.get('shape', {}), second)
                offered[name][second] += rate
    slots = {
        service['name']: [
            _available_slots(site, service, entries, second)
            for second in range(seconds)
        ]
        for service in site['services']
    }
    full_credit = sum(kind.worth * sum(offered[kind.name]) for kind in kinds)
    _remove_lost_answers(offered, kinds, entries)
    return Day(offered, slots, kinds, full_credit)


def bound(day):
    """Return an upper bound of the share of the full credit.

    Args:
        day: A `Day`.
    """
    seconds = len(next(iter(day.slots.values())))
    prices = {service: [0.0] * seconds for service in day.slots}
    lowest = _bound_at_prices(day, prices)
    for _ in range(ROUNDS):
        for service, row in prices.items():
            for second in range(seconds):
                best = row[second]
                for price in PRICES:
                    row[second] = price
                    found = _bound_at_prices(day, prices)
                    if found < lowest - 1e-9:
                        lowest, best = found, price
                row[second] = best
    return lowest / day.full_credit


def _bound_at_prices(day, prices):
    """Return the bound of a day's credit for given prices.

    Args:
        day: A `Day`.
        prices: Price of a slot in each second, by service.
    """
    total = sum(
        price * slots
        for service, row in prices.items()
        for price, slots in zip(row, day.slots[service], strict=True)
    )
    for kind in day.kinds:
        costs = [
            sum(
                hold * prices[service][second]
                for service, hold in kind.slot_seconds.items()
            )
            for second in range(len(day.offered[kind.name]))
        ]
        for second, count in enumerate(day.offered[kind.name]):
            late = min(costs[second : second + kind.deadline_s + 1])
            gain = max(kind.worth - costs[second], kind.late_worth - late)
            total += count * max(0.0, gain)
    return total


def _kinds(site):
    """Yield the `Kind` of each request that callers make."""
    classes = {item['name']: item for item in site['classes']}
    for item in site['classes']:
        if item.get('inner'):
            continue
        slot_seconds = {item['service']: item['work_ms']['mean'] / _MS}
        for call in item.get('calls', ()):
            inner = classes[call['class']]
            seconds = inner['work_ms']['mean'] / _MS * call['share']
            # The calling request holds its slot until the calls end.
            serial_calls = 1 if call.get('together') else call['times']
            slot_seconds[item['service']] += seconds * serial_calls
            slot_seconds.setdefault(inner['service'], 0.0)
            slot_seconds[inner['service']] += seconds * call['times']
        yield Kind(
            item['name'],
            item['worth'],
            item['late_worth'],
            math.ceil(item['deadline_ms'] / _MS),
            item['kind'] == 'unsafe',
            slot_seconds,
        )


def _wave_factor(shape, second):
    """Return the load factor of a sinusoidal traffic shape."""
    if shape.get('kind') != 'wave':
        return 1.0
    turn = second / shape['period_s'] + shape.get('phase', 0.0)
    return 1 + shape['swing'] * math.sin(2 * math.pi * turn)


def _is_active(entry, second):
    start = entry.get('at', 0.0)
    return start <= second < start + entry.get('for_s', DEFAULT_FOR_S)


def _burst_factor(entries, second, zone, kind):
    """Return the load factor of the bursts active in a second."""
    factor = 1.0
    for entry in entries:
        if (
            entry['kind'] == 'burst'
            and _is_active(entry, second)
            and entry.get('zone', zone) == zone
            and entry.get('class', kind) == kind
        ):
            factor *= entry['x']
    return factor


def _available_slots(site, service, entries, second):
    """Return the slots of a service in a second, in slots of normal speed.

    Kinds of faults that are not modelled here only make the bound too high.
    """
    name = service['name']
    count = sum(
        machine['count']
        for machine in site['machines']
        if machine.get('app') == name
    )
    speeds = service.get('speeds') or [1.0]
    total_speed = sum(speeds[n % len(speeds)] for n in range(count))
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
            case 'herd_kill' | 'srv_crash' if _is_active(entry, second):
                share *= 1 - math.floor(part * count) / count
            case 'srv_slow' if _is_active(entry, second):
                slow = math.floor(part * count) / count
                share *= 1 - slow + slow / entry.get('x', 4.0)
    return total_speed * service['slots'] * max(0.0, share)


def _remove_lost_answers(offered, kinds, entries):
    """Remove requests whose only execution loses its answer."""
    for entry in entries:
        if entry['kind'] not in ('answer_lost', 'garble'):
            continue
        part = entry.get('share', 0.5) * entry.get('x', 0.03)
        for kind in kinds:
            if not kind.at_most_once:
                continue
            row = offered[kind.name]
            for second in range(len(row)):
                if _is_active(entry, second):
                    row[second] *= 1 - part


def table(site, entry):
    """Yield the lines of one site's table.

    Args:
        site: Decoded site file.
        entry: Newest journal entry that scores all days of the site.
    """
    yield f'### {site["name"]}, {entry["id"]}\n\n'
    yield '| day | bound | earned | distance | worst-hit service |\n'
    yield '| --- | --- | --- | --- | --- |\n'
    played = {day['name']: day for day in entry['days']}
    for item in site['day']:
        if item['name'] not in played:
            continue
        day = read(site, item)
        upper = bound(day)
        earned = dict(
            (name, value) for name, _, value in played[item['name']]['parts']
        )['whole day']
        yield (
            f'| {item["name"]} | {upper:.3f} | {earned:.3f} '
            f'| {upper - earned:.3f} | {_most_loaded_service(day)} |\n'
        )
    yield '\n'


def _most_loaded_service(day):
    """Return a text on the service with the highest load on its slots."""
    found = []
    for service, slots in day.slots.items():
        demand = sum(
            kind.slot_seconds.get(service, 0.0) * sum(day.offered[kind.name])
            for kind in day.kinds
        )
        found.append((demand / max(1e-9, sum(slots)), service))
    share, service = max(found)
    return f'{service}, asked {share:.2f} of its slots'


def main(paths):
    """Rewrite the tables on the page.

    Args:
        paths: Paths of site files.
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
