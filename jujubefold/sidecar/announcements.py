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
    """

    def __init__(self, egress, departures):
        self._egress = egress
        self._departures = departures
        self._writes = {}

    async def load_departures(self):
        """Load which upstreams left before this start of the daemon."""
        departed = await self._departures.load()
        self._egress.restore_departures(departed)
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
