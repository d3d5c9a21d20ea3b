"""Freshness exchange: confirms the version in force with other daemons.

Sends the questions and makes the reads that `freshness` asks for, and answers
the questions of others.
"""

from jujubefold import backgroundtasks
from jujubefold.sidecar import distribution
from jujubefold.sidecar import frames
from jujubefold.sidecar import freshness
from jujubefold.sidecar import versions as versions_module

_MS = 1000


class FreshnessExchange:
    """Knows whether keys may be served; they may until `start` is called.

    Args:
        fleet: The `fleet.Fleet`.
        versions: The `versions.Versions`.
        clock: A `clock.Clock`.
        store_era: The `storeera.StoreEra` of this daemon.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, fleet, versions, clock, store_era, event_log):
        self._fleet = fleet
        self._versions = versions
        self._clock = clock
        self._store_era = store_era
        self._event_log = event_log
        self._table = None
        self._read_store = None
        self._follows = None
        self._reading = False
        self._logged = None

    def start(self, revoke, read_store, follows):
        """Serve keys only while the version in force is confirmed.

        Args:
            revoke: Seconds after which a removed key must be refused.
            read_store: Coroutine function that reads the versions of the
                store once, and calls `read_started` and `read_ended`.
            follows: Called without arguments; returns whether this daemon
                follows the versions of the store.
        """
        self._table = freshness.new_table(revoke)
        self._read_store = read_store
        self._follows = follows

    def is_confirmed(self):
        """Return whether keys may be served now."""
        table = self._table
        if table is None:
            return True
        freshness.settle(table, self._versions.stamp)
        now = self._clock.boottime()
        confirmed = freshness.is_confirmed(table, now)
        if confirmed != self._logged:
            self._logged = confirmed
            self._event_log.record(
                'keys.confirmed' if confirmed else 'keys.unconfirmed',
                age=round(freshness.age(table, now), 3),
                version=self._versions.number,
                awaited=0
                if table.awaited is None
                else table.awaited[0].number,
                avoided=sorted(table.avoided),
            )
        return confirmed

    def read_started(self):
        """Return the time at which a read of the versions is sent."""
        return self._clock.boottime()

    def read_ended(self, started):
        """Note that a read was answered and its rows are in force.

        Args:
            started: What `read_started` returned for it.
        """
        table = self._table
        if table is None or self._versions.keys_withdrawn:
            return
        in_force = self._versions.stamp
        # Others may know a version that a store from an older copy lacks.
        newest = max(in_force, self._fleet.version_exchange.awaited_stamp)
        freshness.record(table, started, newest, in_force)

    def unconfirm(self):
        """Discard all confirmations, as the store's era changed."""
        if self._table is not None:
            freshness.unconfirm(self._table)

    def handle(self, message, channel):
        """Handle a message of another daemon.

        Args:
            message: A `frames.FreshnessRequest` or `frames.Freshness`.
            channel: `link.OutgoingLink` or `link.Connection` to that daemon.
        """
        if self._table is None:
            return
        freshness.settle(self._table, self._versions.stamp)
        match message:
            case frames.FreshnessRequest():
                self._answer(message, channel)
            case frames.Freshness():
                self._accept(message, channel)

    def _answer(self, message, channel):
        age = freshness.age(self._table, self._clock.boottime())
        stamp = self._versions.stamp
        channel.send(
            frames.Freshness(
                message.question,
                stamp.number,
                stamp.era,
                # Rounded up: no version may seem fresher than it is.
                -1 if age < 0.0 else int(age * _MS) + 1,
                self._store_era.known,
            )
        )

    def _accept(self, message, channel):
        if not self._store_era.accept(message.store_era, 'peer'):
            return
        stamp = versions_module.Stamp(message.version, message.era)
        freshness.record_answer(
            self._table,
            freshness.Answer(message.question, stamp, message.age_ms / _MS),
            self._versions.stamp,
            self._clock.boottime(),
        )
        if stamp > self._versions.stamp:
            self._fleet.version_exchange.handle_announcement(stamp, channel)

    def sweep(self):
        """Ask for a new confirmation if one is due."""
        table = self._table
        if table is None:
            return
        self.is_confirmed()
        now = self._clock.boottime()
        # Without a version there is nothing to confirm, and the daemons of a
        # fleet that starts must not all read the store.
        if not self._versions.number or not freshness.is_due(table, now):
            return
        fleet = self._fleet
        readers = distribution.readers(fleet.nearby_daemons())
        match freshness.next_step(
            table, fleet.own_vm, readers, self._follows(), now
        ):
            case freshness.Question(number=number, vm=vm):
                fleet.send(vm, frames.FreshnessRequest(number))
            case freshness.StoreRead() if not self._reading:
                self._reading = True
                backgroundtasks.spawn(self._read())

    async def _read(self):
        try:
            await self._read_store()
        finally:
            self._reading = False
