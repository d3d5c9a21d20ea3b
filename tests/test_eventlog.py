"""Tests of the event log: rate limit and blocked or absent readers."""

import json
import os

import testtools

from jujubefold import clock
from jujubefold import logs
from jujubefold.sidecar import eventlog


class TestEventLog(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.read_end, write_end = os.pipe()
        self.addCleanup(os.close, self.read_end)
        self.addCleanup(os.close, write_end)
        os.set_blocking(self.read_end, False)
        self.output = eventlog.NonBlockingOutput(write_end)
        self.clock = clock.PausedClock()
        self.event_log = eventlog.EventLog(self.clock, self.output)
        logs.configure('INFO', 'vm-1', 1, self.output)
        self.addCleanup(logs.logger.remove)

    def lines(self):
        """Return the lines that reached the reader."""
        self.event_log.flush()
        try:
            data = os.read(self.read_end, 1 << 20)
        except BlockingIOError:
            return []
        return [json.loads(line) for line in data.splitlines()]

    def test_event_is_one_json_line(self):
        self.event_log.record('link.up', vm='vm-2', pending=3)
        (line,) = self.lines()
        self.assertEqual('link.up', line['event'])
        # A field `vm` replaces the line's own VM, which is not checked here.
        self.assertEqual(3, line['pending'])

    def test_burst_is_limited_and_suppressed_lines_are_counted(self):
        for number in range(2000):
            self.event_log.record_request('call.ended', request=str(number))
        self.assertLessEqual(len(self.lines()), eventlog.BURST_LINES)
        self.clock.advance(2.0)
        self.event_log.record_request('call.ended', request='later')
        lines = self.lines()
        suppressed = [
            line for line in lines if line['event'] == 'log.suppressed'
        ]
        self.assertGreater(suppressed[0]['lines'], 1500)

    def test_lines_are_reserved_for_events_not_about_one_request(self):
        for number in range(2000):
            self.event_log.record_request('call.ended', request=str(number))
        self.event_log.record('version.in_force', version=2)
        events = {line['event'] for line in self.lines()}
        self.assertIn('version.in_force', events)

    def test_lines_are_reserved_for_failed_requests(self):
        for number in range(2000):
            self.event_log.record_request(
                'call.ended', succeeded=True, request=str(number)
            )
        for number in range(100):
            self.event_log.record_request(
                'call.ended', request=f'failed-{number}'
            )
        failed = [
            line
            for line in self.lines()
            if line.get('request', '').startswith('failed')
        ]
        self.assertEqual(100, len(failed))

    def test_lines_are_dropped_if_the_reader_does_not_read(self):
        filler = 'x' * 4000
        for _ in range(40):
            self.clock.advance(10)
            for number in range(100):
                self.event_log.record('filler', number=number, filler=filler)
            self.event_log.flush()
        self.assertGreater(self.output.dropped, 0)

    def test_lines_are_dropped_if_the_reader_is_gone(self):
        read_end, write_end = os.pipe()
        os.close(read_end)
        output = eventlog.NonBlockingOutput(write_end)
        self.addCleanup(os.close, write_end)
        output.write('{}\n')
        output.drain()
        self.assertEqual(1, output.dropped)
