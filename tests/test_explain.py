"""Tests of the story of one request."""

import json

import testtools

from jujubefold.sidecar import explain
from tests import sidecars


def line(second, vm, event, **fields):
    """Return a log line as a daemon writes it."""
    stamp = f'2026-02-14T12:00:{second:06.3f}+00:00'
    return json.dumps(
        {
            'time': stamp,
            'level': 'INFO',
            'message': '',
            'vm': vm,
            'incarnation': 1,
            'event': event,
            **fields,
        }
    )


ENDED = line(
    10.0,
    'vm-1',
    'call.ended',
    request='a',
    status=502,
    reason='upstream-cut',
    ran='unknown',
    offers=[{'vm': 'vm-2', 'end': 'upstream-cut'}],
)
FIRST = [
    line(9.0, 'vm-1', 'link.up', peer='vm-2'),
    ENDED,
    line(10.1, 'vm-1', 'call.ended', request='b', status=200, offers=[]),
    'not json',
    '{"time": "cut off',
]
SECOND = [
    '  9.9 vm-2 ' + line(9.9, 'vm-2', 'gate.failed', request='a', slots=4),
    line(9.5, 'vm-2', 'upstream.crashed', requests=1),
    line(9.6, 'vm-3', 'link.down', peer='vm-2'),
    line(1.0, 'vm-2', 'log.suppressed', lines=7),
]


class TestStory(testtools.TestCase):
    def test_lines_are_ordered_and_beliefs_are_those_that_matter(self):
        story = explain.explain('a', [FIRST, SECOND])
        self.assertEqual(
            ['gate.failed', 'call.ended'],
            [item.event for item in story.lines],
        )
        self.assertEqual(
            ['link.up', 'upstream.crashed'],
            [item.event for item in story.beliefs],
        )
        self.assertEqual((2, 7), (story.unread, story.suppressed))

    def test_the_cause_names_status_reason_and_gates(self):
        story = explain.explain('a', [FIRST, SECOND])
        for word in ('502', 'upstream-cut', 'unknown', 'vm-2'):
            self.assertIn(word, story.cause)
        self.assertIn(story.cause, list(explain.format_lines(story))[-3])

    def test_one_without_a_route_did_not_run(self):
        refused = line(
            3.0, 'vm-1', 'call.refused', request='c', status=404, reason='x'
        )
        story = explain.explain('c', [[refused]])
        self.assertIn('did-not-run', story.cause)

    def test_an_unknown_request_is_said_to_be_unknown(self):
        story = explain.explain('zz', [FIRST])
        self.assertIn('no line names it', next(explain.format_lines(story)))

    def test_what_the_daemons_log_can_be_explained(self):
        async def scene(fleet):
            await fleet.add('vm-1')
            await fleet.wait_until_linked()
            fleet.upstreams['vm-1'].handler = cut
            await fleet.call(
                'vm-1', '/write/x', 'POST', b'b', **{'X-Request-Id': 'r-1'}
            )
            logs = [
                line(20.0, 'vm-1', event, **json.loads(json.dumps(fields)))
                for event, fields in fleet.event_logs['vm-1'].records
            ]
            story = explain.explain('r-1', [logs])
            self.assertEqual(
                {'gate.failed', 'call.ended'},
                {item.event for item in story.lines},
            )
            self.assertIn('upstream-cut', story.cause)

        async def cut(run, writer):
            sidecars.reset_connection(writer)

        sidecars.run_scenario(scene)
