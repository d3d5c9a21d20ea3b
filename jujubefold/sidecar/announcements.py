"""Announcements: applies what the upstream reports and acknowledges it.

A departure is acknowledged only after it was written to the platform's
store, or after that write has failed for as long as the upstream may wait.
"""

from jujubefold import backgroundtasks
from jujubefold.sidecar import instance


class AnnouncementReceiver:
    """Applies the upstream's announcements to the egress.

    Args:
        egress: The `egress.Egress`.
        departures: The `departures.Departures`.
        leaving_check: The `leavingcheck.LeavingCheck` of the upstream.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, egress, departures, leaving_check, event_log):
        self._egress = egress
        self._departures = departures
        self._leaving_check = leaving_check
        self._event_log = event_log
        self._writes = {}
        self._question = None

    async def load_departures(self):
        """Load which upstreams left before this start of the daemon."""
        departed = await self._departures.load()
        self._egress.restore_departures(departed)
        self._ask_if_pending()
        if departed is None:
            departed = await self._departures.load_late()
            self._egress.restore_departures(departed)

    def handle_announcement(self, announcement, acknowledge):
        """Apply an announcement.

        Args:
            announcement: An `instance.Announcement`.
            acknowledge: Called without arguments when the upstream may be
                answered.
        """
        change = self._egress.handle_announcement(announcement)
        self._acknowledge(
            change, announcement.id, announcement.started_ms, acknowledge
        )
        self._ask_if_pending()

    def _ask_if_pending(self):
        table = self._egress.instance_table
        if (
            table.confirmation is instance.Confirmation.PENDING
            and self._question is None
        ):
            self._question = backgroundtasks.spawn(self._ask(table.current))

    async def _ask(self, upstream):
        """Ask the upstream whether it serves, and apply its answer."""
        found = instance.Confirmation.UNKNOWN
        try:
            found = await self._leaving_check.ask(upstream.id)
        finally:
            self._question = None
            if instance.confirm(self._egress.instance_table, upstream, found):
                self._event_log.record(
                    'upstream.asked', upstream=upstream.id, answer=found
                )
                self._egress.update_slots()
        # Another start may have announced itself meanwhile.
        self._ask_if_pending()

    def handle_deregistration(self, upstream_id, started_ms, acknowledge):
        """Apply an upstream's deregistration.

        Args:
            upstream_id: Id of the upstream.
            started_ms: Unix milliseconds of its start; None if it sent none.
            acknowledge: As in `handle_announcement`.
        """
        change = self._egress.handle_deregistration(upstream_id, started_ms)
        self._acknowledge(
            change,
            upstream_id,
            self._egress.instance_table.departed.get(upstream_id, 0),
            acknowledge,
        )

    def record_departure(self, upstream):
        """Write the departure of an upstream whose answer says it leaves.

        Args:
            upstream: Its `instance.Announcement`.
        """
        self._write(upstream.id, upstream.started_ms)

    def _acknowledge(self, change, upstream_id, started_ms, acknowledge):
        if change in (instance.Change.LEAVING, instance.Change.LEFT):
            self._write(upstream_id, started_ms)
        # An upstream that repeats itself waits for the first write, too.
        write = self._writes.get(upstream_id)
        if write is None:
            acknowledge()
        else:
            write.add_done_callback(lambda _: acknowledge())

    def _write(self, upstream_id, started_ms):
        write = backgroundtasks.spawn(
            self._departures.record(upstream_id, started_ms)
        )
        self._writes[upstream_id] = write
        write.add_done_callback(lambda _: self._forget(upstream_id, write))

    def _forget(self, upstream_id, write):
        if self._writes.get(upstream_id) is write:
            del self._writes[upstream_id]
