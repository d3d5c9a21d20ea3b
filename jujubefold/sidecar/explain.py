"""Explain: the story of one request from the collected logs of many VMs."""

import dataclasses
import datetime

import msgspec

# Seconds before the first line of a request from which on beliefs of the
# VMs that took part are told.
LOOK_BACK_S = 10.0
# Events that are about one request only.
REQUEST_EVENTS = frozenset(
    {'call.ended', 'call.left', 'call.refused', 'gate.refused', 'gate.failed'}
)
# Fields of every line, which the story shows in its own place.
_COMMON = frozenset(
    {'time', 'level', 'message', 'vm', 'incarnation', 'event', 'request'}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Args:
        at: Seconds since the epoch, by the clock of its VM.
        vm: Its VM.
        event: Name of the event.
        fields: All others.
    """

    at: float
    vm: str
    event: str
    fields: dict


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What the logs say of a request.

    Args:
        request: Its id.
        lines: Of the request, in order.
        beliefs: What the VMs that took part came to believe shortly before
            and meanwhile, in order.
        unread: Lines that could not be read.
        suppressed: Lines that the daemons left out themselves.
    """

    request: str
    lines: tuple[Line, ...]
    beliefs: tuple[Line, ...]
    unread: int
    suppressed: int

    @property
    def cause(self):
        """One sentence on why the request ended as it did."""
        return _cause(self.lines)


def read(sources):
    """Yield each line of some logs, or None for one that can't be read.

    Args:
        sources: Iterables of text lines; whatever stands before the first
            brace of a line, such as a collector's stamp, is passed over.
    """
    for source in sources:
        for text in source:
            if text.strip():
                yield _line(text)


def explain(request, sources):
    """Return the `Explanation` of a request.

    Args:
        request: Its id.
        sources: As in `read`.
    """
    mine, beliefs = [], []
    unread = suppressed = 0
    for line in read(sources):
        if line is None:
            unread += 1
        elif line.event == 'log.suppressed':
            suppressed += line.fields.get('lines', 0)
        elif line.fields.get('request') == request:
            mine.append(line)
        elif line.event not in REQUEST_EVENTS:
            beliefs.append(line)
    mine.sort(key=lambda line: line.at)
    return Explanation(
        request,
        tuple(mine),
        tuple(_near(beliefs, mine)),
        unread,
        suppressed,
    )


def format_lines(story):
    """Yield the lines of text that tell a story."""
    if not story.lines:
        yield f'{story.request}: no line names it'
    for line in (*story.beliefs, *story.lines):
        yield _text(line)
        for offer in line.fields.get('offers', ()):
            yield '    offered to ' + _pairs(offer)
    if story.lines:
        yield f'{story.request}: {story.cause}'
    if story.unread:
        yield f'{story.unread} lines could not be read'
    if story.suppressed:
        yield f'{story.suppressed} lines were left out by the daemons'


def _line(text):
    start = text.find('{')
    try:
        found = msgspec.json.decode(text[start:] if start >= 0 else text)
        at = datetime.datetime.fromisoformat(found['time']).timestamp()
        fields = {k: v for k, v in found.items() if k not in _COMMON}
        fields['request'] = found.get('request')
        return Line(at, found['vm'], found['event'], fields)
    except (msgspec.DecodeError, KeyError, TypeError, ValueError):
        return None


def _near(beliefs, mine):
    if not mine:
        return
    vms = {line.vm for line in mine}
    vms.update(
        offer['vm'] for line in mine for offer in line.fields.get('offers', ())
    )
    first, last = mine[0].at - LOOK_BACK_S, mine[-1].at
    for line in sorted(beliefs, key=lambda item: item.at):
        if line.vm in vms and first <= line.at <= last:
            yield line


def _text(line):
    stamp = datetime.datetime.fromtimestamp(line.at, datetime.UTC)
    shown = {
        key: value
        for key, value in line.fields.items()
        if key not in ('offers', 'request') and value not in ('', None)
    }
    clock = stamp.strftime('%H:%M:%S.%f')[:-3]
    return f'{clock} {line.vm} {line.event} {_pairs(shown)}'.rstrip()


def _pairs(fields):
    return ' '.join(f'{key}={value}' for key, value in fields.items())


def _cause(lines):
    ends = [line for line in lines if line.event.startswith('call.')]
    if not ends:
        return 'the daemon that took it left no line; see other VMs'
    end = ends[-1]
    status = end.fields.get('status')
    reason = end.fields.get('reason') or 'none'
    offers = end.fields.get('offers') or ()
    # Only who was turned away before a route was chosen has no such word.
    unrouted = end.event == 'call.refused'
    ran = end.fields.get('ran') or ('did-not-run' if unrouted else 'ran')
    seen = ', '.join(f'{item["vm"]} {item["end"]}' for item in offers)
    text = f'status {status}, reason {reason}, {ran}'
    if end.event == 'call.left':
        text += ', the caller left first'
    return f'{text}; offers: {seen or "none"}'
