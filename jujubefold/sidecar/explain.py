"""Explain: reconstructs a request's course from the logs of many VMs."""

import dataclasses
import datetime

import msgspec

from jujubefold import decoding

# Other events of the VMs involved are included from this many seconds before
# the request's first line.
LOOK_BACK_S = 10.0
# Events that concern a single request.
REQUEST_EVENTS = frozenset(
    {'call.ended', 'call.left', 'call.refused', 'gate.refused', 'gate.failed'}
)
# Fields that every line has; they are left out of `Line.fields`.
_COMMON = frozenset(
    {'time', 'level', 'message', 'vm', 'incarnation', 'event', 'request'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Args:
        at: Seconds since the epoch, by the VM's clock.
        vm: VM whose daemon wrote the line.
        event: Name of the event.
        fields: The line's other fields.
    """

    at: float
    vm: str
    event: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs contain about a request.

    Args:
        request: Request id.
        lines: Log lines of the request, by time.
        beliefs: Other events of the VMs involved, by time, from
            `LOOK_BACK_S` before the first line to the last: what their
            daemons knew of members, links, versions and upstreams.
        unread: Number of lines that could not be parsed.
        suppressed: Number of lines that the daemons did not write, to limit
            the log's rate.
    """

    request: str
    lines: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    unread: int
    suppressed: int

    @property
    def cause(self):
        """Status, reason and offers of the request, as one line of text."""
        return _format_cause(self.lines)


def parse_logs(sources):
    """Yield a `Line` for each log line, or None if it can't be parsed.

    Args:
        sources: Iterables of text lines. Text before the first brace of a
            line, such as a log collector's timestamp, is skipped.
    """
    for source in sources:
        for text in source:
            if text.strip():
                yield _parse_line(text)


def explain(request, sources):
    """Return the `Explanation` of a request.

    Args:
        request: Request id.
        sources: As in `parse_logs`.
    """
    matching, beliefs = [], []
    unread = suppressed = 0
    for line in parse_logs(sources):
        if line is None:
            unread += 1
        elif line.event == 'log.suppressed':
            suppressed += line.fields.get('lines', 0)
        elif line.fields.get('request') == request:
            matching.append(line)
        elif line.event not in REQUEST_EVENTS:
            beliefs.append(line)
    matching.sort(key=lambda line: line.at)
    return Explanation(
        request,
        tuple(matching),
        tuple(_related(beliefs, matching)),
        unread,
        suppressed,
    )


def format_lines(explanation):
    """Yield an explanation as lines of text.

    Args:
        explanation: An `Explanation`.
    """
    if not explanation.lines:
        yield f'{explanation.request}: not found in the logs'
    for line in (*explanation.beliefs, *explanation.lines):
        yield _format_line(line)
        for offer in line.fields.get('offers', ()):
            yield '    offered to ' + _format_fields(offer)
    if explanation.lines:
        yield f'{explanation.request}: {explanation.cause}'
    if explanation.unread:
        yield f'{explanation.unread} lines could not be parsed'
    if explanation.suppressed:
        yield f'{explanation.suppressed} lines were suppressed by the daemons'


def _parse_line(text):
    start = text.find('{')
    try:
        entry = msgspec.json.decode(text[start:] if start >= 0 else text)
        at = datetime.datetime.fromisoformat(entry['time']).timestamp()
        fields = {k: v for k, v in entry.items() if k not in _COMMON}
        fields['request'] = entry.get('request')
        return Line(at, entry['vm'], entry['event'], fields)
    except (*decoding.FAULTS, KeyError, TypeError, ValueError):
        return None


def _related(beliefs, matching):
    if not matching:
        return
    vms = {line.vm for line in matching}
    vms.update(
        offer['vm']
        for line in matching
        for offer in line.fields.get('offers', ())
    )
    first, last = matching[0].at - LOOK_BACK_S, matching[-1].at
    for line in sorted(beliefs, key=lambda item: item.at):
        if line.vm in vms and first <= line.at <= last:
            yield line


def _format_line(line):
    time = datetime.datetime.fromtimestamp(line.at, datetime.UTC)
    fields = {
        key: value
        for key, value in line.fields.items()
        if key not in ('offers', 'request') and value not in ('', None)
    }
    clock = time.strftime('%H:%M:%S.%f')[:-3]
    return f'{clock} {line.vm} {line.event} {_format_fields(fields)}'.rstrip()


def _format_fields(fields):
    return ' '.join(f'{key}={value}' for key, value in fields.items())


def _format_cause(lines):
    outcomes = [line for line in lines if line.event.startswith('call.')]
    if not outcomes:
        return 'no outcome was logged; check the logs of other VMs'
    outcome = outcomes[-1]
    status = outcome.fields.get('status')
    reason = outcome.fields.get('reason') or 'none'
    offers = outcome.fields.get('offers') or ()
    # `ran` is empty for an answered request. `call.refused`, logged before a
    # route is chosen, has no such field.
    unrouted = outcome.event == 'call.refused'
    ran = outcome.fields.get('ran') or ('did-not-run' if unrouted else 'ran')
    offered = ', '.join(f'{item["vm"]} {item["end"]}' for item in offers)
    text = f'status {status}, reason {reason}, {ran}'
    if outcome.event == 'call.left':
        text += ', the caller disconnected first'
    return f'{text}; offers: {offered or "none"}'
