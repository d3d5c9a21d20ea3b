"""Tests of the time line: causal order, bounds, and the events' page."""

import ast
import pathlib
import re

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import clock
from jujubefold import events
from jujubefold import hlc
from jujubefold import identity
from jujubefold import messages
from jujubefold import timeline

ROOT = pathlib.Path(__file__).parents[1]
PAGE = ROOT / 'docs/operations/events.md'
NAME = r'[a-z]+\.[a-z_]+'
FUNCTIONS = ('Event', '_record')
# Names that are made at run time, with what is put into them.
MADE = {
    'member.': messages.MemberState,
    'upstream.': messages.UpstreamState,
}
LOG_ONLY = {'daemon.plain', 'daemon.stop'}
VMS = 4
MINUTE_S = 60.0


class Line:
    """One daemon's time line, on a clock that is wrong."""

    def __init__(self, number, off):
        self.clock = clock.PausedClock(wall=1_700_000_000.0 + off)
        self.hybrid = hlc.HybridClock(self.clock)
        who = identity.Identity(f'vm-{number}', 'r', 'd', '', '', '', 1)
        self.line = timeline.Timeline(who, self.hybrid)

    def record(self, name, **fields):
        return self.line.record(events.Event(name, **fields))


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('send'),
            strategies.integers(0, VMS - 1),
            strategies.integers(0, VMS - 1),
        ),
        strategies.tuples(
            strategies.just('jump'),
            strategies.integers(0, VMS - 1),
            strategies.integers(-20, 20),
        ),
        strategies.tuples(
            strategies.just('wait'),
            strategies.integers(0, VMS - 1),
            strategies.integers(0, 3),
        ),
    ),
    max_size=60,
)


class TestOrder(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.integers(-25, 25), min_size=VMS, max_size=VMS
        ),
        STEPS,
    )
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_effect_is_never_before_its_cause(self, minutes_off, steps):
        lines = [
            Line(number, off * MINUTE_S)
            for number, off in enumerate(minutes_off)
        ]
        for number, (what, one, other) in enumerate(steps):
            if what == 'jump':
                lines[one].clock.jump_wall(other * MINUTE_S)
            elif what == 'wait':
                lines[one].clock.advance(other)
            else:
                sent = lines[one].record('test.sent', request=str(number))
                stamp = lines[one].hybrid.tick()
                self.assertGreater(stamp, sent.at)
                lines[other].hybrid.observe(stamp)
                lines[other].record('test.received', request=str(number))
        everything = timeline.Filter()
        merged = list(
            timeline.merge(line.line.select(everything) for line in lines)
        )
        seen = [(item.event.name, item.event.request) for item in merged]
        for place, (name, request) in enumerate(seen):
            if name == 'test.received':
                self.assertIn(('test.sent', request), seen[:place])
        for vm in {item.vm for item in merged}:
            own = [item.at for item in merged if item.vm == vm]
            self.assertEqual(sorted(set(own)), own)

    def test_plain_clocks_would_fail(self):
        """The case above can fail: wall clocks alone put it backward."""
        early, late = Line(1, 0.0), Line(2, -5 * MINUTE_S)
        sent = early.record('test.sent')
        unheard = late.record('test.received')
        self.assertLess(unheard.at, sent.at)
        late.hybrid.observe(sent.at)
        self.assertGreater(late.record('test.received').at, sent.at)

    def test_one_mad_clock_does_not_drag_the_fleet(self):
        sound, mad = Line(1, 0.0), Line(2, 400 * 24 * 60 * MINUTE_S)
        sound.hybrid.observe(mad.record('test.sent').at)
        at = sound.record('test.received').at
        self.assertEqual(1_700_000_000, at.wall_ns // 10**9)


class TestMemory(testtools.TestCase):
    def test_events_are_bounded_in_number_and_size(self):
        line = Line(1, 0.0)
        for number in range(timeline.CAPACITY + 10):
            line.record('test.filled', version=number)
        line.record('test.long', detail='x' * 100_000)
        kept = list(line.line.select(timeline.Filter()))
        self.assertEqual(timeline.CAPACITY, len(kept))
        self.assertEqual(11, kept[0].event.version)
        self.assertEqual(timeline.MAX_DETAIL, len(kept[-1].event.detail))


class TestPage(testtools.TestCase):
    def test_page_lists_the_events_of_the_package(self):
        listed = re.findall(rf'^\| `({NAME})`', PAGE.read_text(), re.M)
        self.assertEqual(sorted(set(listed)), listed)
        recorded = set(LOG_ONLY)
        for path in sorted((ROOT / 'jujubefold').glob('*.py')):
            recorded |= set(names(ast.parse(path.read_text())))
        self.assertEqual(sorted(recorded), listed)

    def test_an_event_that_is_missing_would_be_seen(self):
        source = (
            "events.Event('a.new')\n"
            "self._record(events.Event('b.new', detail=''))\n"
            "_record(f'member.{state.value}', vm)\n"
        )
        found = set(names(ast.parse(source)))
        self.assertLessEqual({'a.new', 'b.new', 'member.dead'}, found)


def names(tree):
    """Yield the event names that a module records."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args:
            function = node.func
            called = getattr(function, 'attr', getattr(function, 'id', ''))
            if called in FUNCTIONS:
                yield from of_argument(node.args[0])


def of_argument(node):
    """Yield the names that a first argument may have."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.JoinedStr):
        begin = node.values[0].value
        yield from (f'{begin}{state.value}' for state in MADE[begin])
    elif isinstance(node, ast.IfExp):
        yield from of_argument(node.body)
        yield from of_argument(node.orelse)
