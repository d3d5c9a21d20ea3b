"""Announcements: applies what the upstream reports and acknowledges it.

A departure is acknowledged only after it was written to the platform's
store, or after that write has failed for as long as the upstream may wait.
"""

from jujubefold import runtimeloop
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

    async def load_departures(self):
        """Load which upstreams left before this start of the daemon."""
        self._egress.recall(await self._departures.recall())

    def announced(self, announcement, acknowledge):
        """Apply an announcement.

        Args:
            announcement: An `instance.Announcement`.
            acknowledge: Called without arguments when the upstream may be
                answered.
        """
        change = self._egress.announced(announcement)
        self._acknowledge(
            change, announcement.id, announcement.born, acknowledge
        )

    def deregistered(self, upstream_id, born, acknowledge):
        """Apply an upstream's deregistration.

        Args:
            upstream_id: Id of the upstream.
            born: Unix milliseconds of its start; None if it sent none.
            acknowledge: As in `announced`.
        """
        change = self._egress.deregistered(upstream_id, born)
        self._acknowledge(
            change,
            upstream_id,
            self._egress.instance.left.get(upstream_id, 0),
            acknowledge,
        )

    def _acknowledge(self, change, upstream_id, born, acknowledge):
        if change in (instance.Change.LEAVING, instance.Change.LEFT):
            runtimeloop.spawn(
                self._store_departure(upstream_id, born, acknowledge)
            )
        else:
            acknowledge()

    async def _store_departure(self, upstream_id, born, acknowledge):
        await self._departures.remember(upstream_id, born)
        acknowledge()
