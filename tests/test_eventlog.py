"""Tests of the bound on log lines."""

import json
import os

import testtools

from jujubefold import clock
from jujubefold import logs
from jujubefold.sidecar import eventlog


class TestJournal(testtools.TestCase):
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

    def test_an_event_is_one_json_line(self):
        self.event_log.record('link.up', vm='vm-2', pending=3)
        (line,) = self.lines()
        self.assertEqual('link.up', line['event'])
        # The line's own VM stays apart from the one that it is about.
        self.assertEqual(3, line['pending'])

    def test_a_storm_is_bounded_and_what_is_left_out_is_said(self):
        for number in range(2000):
            self.event_log.record_request('call.ended', request=str(number))
        self.assertLessEqual(len(self.lines()), eventlog.BURST_LINES)
        self.clock.advance(2.0)
        self.event_log.record_request('call.ended', request='later')
        found = self.lines()
        left_out = [
            line for line in found if line['event'] == 'log.suppressed'
        ]
        self.assertGreater(left_out[0]['lines'], 1500)

    def test_room_is_kept_for_what_is_not_about_one_request(self):
        for number in range(2000):
            self.event_log.record_request('call.ended', request=str(number))
        self.event_log.record('version.in_force', version=2)
        events = {line['event'] for line in self.lines()}
        self.assertIn('version.in_force', events)

    def test_failed_requests_are_logged_when_others_are_not(self):
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

    def test_a_reader_that_does_not_read_stops_nobody(self):
        filler = 'x' * 4000
        for _ in range(40):
            self.clock.advance(10)
            for number in range(100):
                self.event_log.record('filler', number=number, filler=filler)
            self.event_log.flush()
        self.assertGreater(self.output.dropped, 0)

    def test_a_reader_that_is_gone_stops_nobody(self):
        gone, write_end = os.pipe()
        os.close(gone)
        output = eventlog.NonBlockingOutput(write_end)
        self.addCleanup(os.close, write_end)
        output.write('{}\n')
        output.drain()
        self.assertEqual(1, output.dropped)
