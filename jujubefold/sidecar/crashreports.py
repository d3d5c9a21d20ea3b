"""Crash reports: tells all daemons which requests crash upstreams."""

import collections

from jujubefold import crashes
from jujubefold import messages
from jujubefold.sidecar import frames

# Reports remembered, to pass each one on once.
MAX_RELAYED = 256


class CrashReports:
    """Sends this daemon's crash reports, and applies those of others.

    A report goes to the daemons that have a link to this one or the other way
    round. Each of them passes it on in its failure domain, as it has links to
    all daemons there.

    Args:
        own_member: This daemon's `roster.Member`.
        egress: The `egress.Egress`, which detects crashes.
        fleet: The `fleet.Fleet`.
        clock: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, own_member, egress, fleet, clock, event_log):
        self._own_member = own_member
        self._egress = egress
        self._fleet = fleet
        self._clock = clock
        self._event_log = event_log
        self._relayed = collections.OrderedDict()

    def handle(self, message):
        """Apply a `frames.CrashEvidence` and pass it on once."""
        key = (message.fingerprint, message.upstream, message.count)
        if key in self._relayed:
            return
        self._relayed[key] = True
        while len(self._relayed) > MAX_RELAYED:
            self._relayed.popitem(last=False)
        report = messages.CrashReport(
            message.fingerprint,
            message.upstream,
            message.count,
            message.blame_milli,
        )
        for event in crashes.merge_report(
            self._egress.crashes, report, self._clock.monotonic()
        ):
            self._event_log.record(event.name, detail=event.detail)
        self._fleet.peer_server.broadcast(
            message, self._own_member.failure_domain
        )

    def send_new(self):
        """Send what this daemon has found since the last call."""
        table = self._egress.crashes
        reports = tuple(table.outbox.values())
        table.outbox.clear()
        table.pending_clearances.clear()
        for report in reports:
            if report.count and report.upstream.startswith(
                f'{self._own_member.vm}/'
            ):
                self._send(
                    frames.CrashEvidence(
                        report.fingerprint,
                        report.upstream,
                        report.count,
                        report.blame_milli,
                    )
                )

    def _send(self, message):
        self._fleet.peer_server.broadcast(message)
        self._fleet.broadcast_far(message)
