"""Tests of explaining a request from collected logs."""

import json

import testtools

from jujubefold.sidecar import explain
from tests import sidecars


def line(second, vm, event, **fields):
    """Return a log line in the format that daemons write."""
    time = f'2026-02-14T12:00:{second:06.3f}+00:00'
    return json.dumps(
        {
            'time': time,
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


class TestExplanation(testtools.TestCase):
    def test_lines_are_sorted_and_beliefs_limited_to_involved_vms(self):
        explanation = explain.explain('a', [FIRST, SECOND])
        self.assertEqual(
            ['gate.failed', 'call.ended'],
            [item.event for item in explanation.lines],
        )
        self.assertEqual(
            ['link.up', 'upstream.crashed'],
            [item.event for item in explanation.beliefs],
        )
        self.assertEqual((2, 7), (explanation.unread, explanation.suppressed))

    def test_the_cause_names_status_reason_and_offers(self):
        explanation = explain.explain('a', [FIRST, SECOND])
        for word in ('502', 'upstream-cut', 'unknown', 'vm-2'):
            self.assertIn(word, explanation.cause)
        self.assertIn(
            explanation.cause, list(explain.format_lines(explanation))[-3]
        )

    def test_a_request_without_a_route_did_not_run(self):
        refused = line(
            3.0, 'vm-1', 'call.refused', request='c', status=404, reason='x'
        )
        explanation = explain.explain('c', [[refused]])
        self.assertIn('did-not-run', explanation.cause)

    def test_an_unknown_request_is_reported_as_not_found(self):
        explanation = explain.explain('zz', [FIRST])
        self.assertIn(
            'zz: not found in the logs',
            next(explain.format_lines(explanation)),
        )

    def test_logs_of_real_daemons_can_be_explained(self):
        async def scenario(fleet):
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
            explanation = explain.explain('r-1', [logs])
            self.assertEqual(
                {'gate.failed', 'call.ended'},
                {item.event for item in explanation.lines},
            )
            self.assertIn('upstream-cut', explanation.cause)

        async def cut(run, writer):
            sidecars.reset_connection(writer)

        sidecars.run_scenario(scenario)
