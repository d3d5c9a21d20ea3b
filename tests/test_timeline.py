"""Tests of the time line: causal order, bounds and the reference page."""

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
EVENT_NAME = r'[a-z]+\.[a-z_]+'
RECORDING_FUNCTIONS = ('Event', '_record')
# Prefixes of names that are formatted at run time, with the enumerations
# whose values are appended.
STATES_BY_PREFIX = {
    'member.': messages.MemberState,
    'upstream.': messages.UpstreamState,
}
LOG_ONLY = {'daemon.plain', 'daemon.stop'}
VMS = 4
MINUTE_S = 60.0


class RecordingDaemon:
    """The time line of one daemon whose wall clock is off by some seconds."""

    def __init__(self, number, offset_s):
        self.clock = clock.PausedClock(wall=1_700_000_000.0 + offset_s)
        self.hybrid = hlc.HybridClock(self.clock)
        recorder = identity.Identity(f'vm-{number}', 'r', 'd', '', '', '', 1)
        self.timeline = timeline.Timeline(recorder, self.hybrid)

    def record(self, name, **fields):
        return self.timeline.record(events.Event(name, **fields))


STEP_LISTS = strategies.lists(
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
        STEP_LISTS,
    )
    @hypothesis.settings(derandomize=True, max_examples=150, deadline=None)
    def test_effect_is_never_ordered_before_its_cause(
        self, offsets_min, steps
    ):
        daemons = [
            RecordingDaemon(number, offset_min * MINUTE_S)
            for number, offset_min in enumerate(offsets_min)
        ]
        for number, (action, index, argument) in enumerate(steps):
            if action == 'jump':
                daemons[index].clock.jump_wall(argument * MINUTE_S)
            elif action == 'wait':
                daemons[index].clock.advance(argument)
            else:
                sent = daemons[index].record('test.sent', request=str(number))
                stamp = daemons[index].hybrid.tick()
                self.assertGreater(stamp, sent.at)
                daemons[argument].hybrid.observe(stamp)
                daemons[argument].record('test.received', request=str(number))
        everything = timeline.Filter()
        merged = list(
            timeline.merge(
                daemon.timeline.select(everything) for daemon in daemons
            )
        )
        seen = [(item.event.name, item.event.request) for item in merged]
        for place, (name, request) in enumerate(seen):
            if name == 'test.received':
                self.assertIn(('test.sent', request), seen[:place])
        for vm in {item.vm for item in merged}:
            own = [item.at for item in merged if item.vm == vm]
            self.assertEqual(sorted(set(own)), own)

    def test_wall_clocks_alone_would_fail(self):
        """Wall clocks alone would order the receipt before its cause."""
        early, late = (
            RecordingDaemon(1, 0.0),
            RecordingDaemon(2, -5 * MINUTE_S),
        )
        sent = early.record('test.sent')
        before_message = late.record('test.received')
        self.assertLess(before_message.at, sent.at)
        late.hybrid.observe(sent.at)
        self.assertGreater(late.record('test.received').at, sent.at)

    def test_clock_far_ahead_does_not_move_others(self):
        correct, far_ahead = (
            RecordingDaemon(1, 0.0),
            RecordingDaemon(2, 400 * 24 * 60 * MINUTE_S),
        )
        correct.hybrid.observe(far_ahead.record('test.sent').at)
        at = correct.record('test.received').at
        self.assertEqual(1_700_000_000, at.wall_ns // 10**9)


class TestBounds(testtools.TestCase):
    def test_events_are_bounded_in_number_and_size(self):
        daemon = RecordingDaemon(1, 0.0)
        for number in range(timeline.CAPACITY + 10):
            daemon.record('test.filled', version=number)
        daemon.record('test.long', detail='x' * 100_000)
        kept = list(daemon.timeline.select(timeline.Filter()))
        self.assertEqual(timeline.CAPACITY, len(kept))
        self.assertEqual(11, kept[0].event.version)
        self.assertEqual(timeline.MAX_DETAIL, len(kept[-1].event.detail))


class TestPage(testtools.TestCase):
    def test_page_lists_the_events_of_the_package(self):
        listed = re.findall(rf'^\| `({EVENT_NAME})`', PAGE.read_text(), re.M)
        self.assertEqual(sorted(set(listed)), listed)
        recorded = set(LOG_ONLY)
        for path in sorted((ROOT / 'jujubefold').glob('*.py')):
            recorded |= set(recorded_names(ast.parse(path.read_text())))
        self.assertEqual(sorted(recorded), listed)

    def test_recorded_names_are_found_in_source(self):
        source = (
            "events.Event('a.new')\n"
            "self._record(events.Event('b.new', detail=''))\n"
            "_record(f'member.{state.value}', vm)\n"
        )
        found = set(recorded_names(ast.parse(source)))
        self.assertLessEqual({'a.new', 'b.new', 'member.dead'}, found)


def recorded_names(tree):
    """Yield the event names that a module records."""
    for node in ast.walk(tree):
        if isinstance(node, ast.Call) and node.args:
            function = node.func
            called = getattr(function, 'attr', getattr(function, 'id', ''))
            if called in RECORDING_FUNCTIONS:
                yield from names_of_argument(node.args[0])


def names_of_argument(node):
    """Yield the event names to which a first argument can evaluate."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        yield node.value
    elif isinstance(node, ast.JoinedStr):
        prefix = node.values[0].value
        yield from (
            f'{prefix}{state.value}' for state in STATES_BY_PREFIX[prefix]
        )
    elif isinstance(node, ast.IfExp):
        yield from names_of_argument(node.body)
        yield from names_of_argument(node.orelse)
