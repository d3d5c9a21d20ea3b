"""Registrar: takes the upstream's word, and says when it is taken."""

from jujubefold import backgroundtasks
from jujubefold.sidecar import instance


class Registrar:
    """Between the upstream and the gate.

    Args:
        egress: The `egress.Egress`.
        departures: The `departures.Departures`.
    """

    def __init__(self, egress, departures):
        self._egress = egress
        self._departures = departures

    async def recall(self):
        """Learn which upstreams left before this start of the daemon."""
        self._egress.restore_departures(await self._departures.load())

    def announced(self, said, taken):
        """Take an announcement.

        Args:
            said: An `instance.Announcement`.
            taken: Called without arguments once the upstream may be told.
        """
        change = self._egress.handle_announcement(said)
        self._tell(change, said.id, said.started_ms, taken)

    def deregistered(self, name, born, taken):
        """Take an upstream's last word.

        Args:
            name: Its id.
            born: Its start; None when it did not say.
            taken: As in `announced`.
        """
        change = self._egress.handle_deregistration(name, born)
        self._tell(
            change, name, self._egress.instance.departed.get(name, 0), taken
        )

    def _tell(self, change, name, born, taken):
        if change in (instance.Change.LEAVING, instance.Change.LEFT):
            backgroundtasks.spawn(self._remember(name, born, taken))
        else:
            taken()

    async def _remember(self, name, born, taken):
        await self._departures.record(name, born)
        taken()
