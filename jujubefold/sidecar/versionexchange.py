"""Version exchange: sends versions to other daemons and fetches them."""

from jujubefold.sidecar import distribution
from jujubefold.sidecar import frames
from jujubefold.sidecar import readers
from jujubefold.sidecar import rowfeed
from jujubefold.sidecar import versions as versions_module

# Seconds to wait for an announced version to arrive over the platform's feed
# before it is fetched from a daemon that announced it. Sending a document
# costs a small link much more than the feed does, so only daemons whose feed
# fails should fetch from others.
FEED_GRACE_S = 0.8
# The same for a daemon whose feed is failing or that has no version yet.
FEED_FAILING_GRACE_S = 0.1


class VersionExchange:
    """Passes versions on between daemons.

    Args:
        fleet: The `fleet.Fleet`.
        versions: The `versions.Versions`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        store_era: The `storeera.StoreEra` of this daemon.
        event_log: An `eventlog.EventLog`.

    Attributes:
        feed_failing: Whether reads of the platform's feed are failing.
    """

    def __init__(self, fleet, versions, clock, rng, store_era, event_log):
        self.feed_failing = False
        self._fleet = fleet
        self._versions = versions
        self._clock = clock
        self._rng = rng
        self._store_era = store_era
        self._event_log = event_log
        self._awaited = None
        self._sources = []
        self._announced_at = 0.0

    @property
    def known(self):
        """Number of the newest version that any daemon told this one of."""
        awaited = versions_module.Stamp()
        if self._awaited is not None:
            awaited, _ = self._awaited
        return max(awaited, self._versions.stamp).number

    def announce(self, previous, source):
        """Announce the version that is now in force to other daemons.

        If it came from the platform, its document is sent to the daemons that
        this reader supplies. Others receive only its number.

        Args:
            previous: Number of the version in force before.
            source: Where it was received from; 'store' for the platform.
        """
        fleet = self._fleet
        supplied = ()
        if source == 'store' and self._versions.number:
            supplied = distribution.recipients(
                fleet.own_vm, fleet.nearby_daemons()
            )
            if supplied:
                # A replaced version of the same number is no base.
                base = previous if previous != self._versions.number else 0
                document = self._document(base, self._versions.digest(base))
                for vm in supplied:
                    fleet.send(vm, document)
        message = self._announcement(False)
        for vm in fleet.announcement_targets():
            if vm not in supplied:
                fleet.send(vm, message)

    def handle_announcement(self, stamp, channel):
        """Fetch a version later, unless it arrives over the feed before.

        Args:
            stamp: `versions.Stamp` of a version that another daemon has.
            channel: `link.OutgoingLink` or `link.Connection` to that daemon.
        """
        if stamp <= self._versions.stamp:
            return
        if self._awaited is None or stamp > self._awaited[0]:
            feed_failing = self.feed_failing or not self._versions.number
            grace = FEED_FAILING_GRACE_S if feed_failing else FEED_GRACE_S
            fetch_at = (
                self._clock.monotonic() + grace
                if self._awaited is None
                else self._awaited[1]
            )
            self._awaited = (stamp, fetch_at)
            self._sources.clear()
            self._log_heard(stamp, channel)
        self._sources.append(channel)

    def _log_heard(self, stamp, channel):
        """Log a newer version that another daemon announced first."""
        now = self._clock.monotonic()
        _, fetch_at = self._awaited
        self._event_log.record(
            'version.heard',
            version=stamp.number,
            era=stamp.era,
            in_force=self._versions.number,
            peer=channel.peer_vm,
            reader_age=self._fleet.reader_age,
            feed_failing=self.feed_failing,
            fetch_in=round(fetch_at - now, 3),
        )

    def handle_request(self, message, channel):
        """Answer a `frames.ConfigurationRequest` if this daemon's is newer."""
        stamp = versions_module.Stamp(message.version, message.era)
        if self._versions.stamp > stamp:
            channel.send(self._document(message.version, message.digest))

    def handle_document(self, message, channel):
        """Put the version in a `frames.ConfigurationDocument` in force."""
        stamp = versions_module.Stamp(message.version, message.era)
        if stamp <= self._versions.stamp:
            return
        if not self._versions.apply_compressed(
            message.base,
            message.body,
            'peer',
            message.era,
            message.base_digest,
        ):
            channel.send(frames.ConfigurationRequest(0))

    def sweep(self, now):
        """Fetch a version that is overdue, and announce this reader.

        Args:
            now: Monotonic seconds.
        """
        self._fetch_awaited(now)
        self._announce_reader(now)

    def _fetch_awaited(self, now):
        if self._awaited is None or now < self._awaited[1]:
            return
        stamp, _ = self._awaited
        self._awaited = None
        sources, self._sources = self._sources, []
        if stamp > self._versions.stamp:
            # Documents are large, and traffic between domains is charged.
            near = [item for item in sources if self._fleet.is_near(item)]
            source = self._rng.choice(near or sources)
            self._event_log.record(
                'version.requested',
                version=stamp.number,
                era=stamp.era,
                peer=source.peer_vm,
            )
            source.send(
                frames.ConfigurationRequest(
                    self._versions.number,
                    self._versions.stamp.era,
                    self._versions.digest(self._versions.number),
                )
            )

    def _announce_reader(self, now):
        """Announce periodically that this reader follows the platform."""
        interval = readers.ANNOUNCE_INTERVAL_S
        if now - self._announced_at < interval or self.feed_failing:
            return
        self._announced_at = now
        fleet = self._fleet
        message = self._announcement(True, fleet.readers.members_changed)
        for vm in distribution.recipients(
            fleet.own_vm, fleet.nearby_daemons()
        ):
            fleet.send(vm, message)

    def _announcement(self, is_reader, members_changed=rowfeed.Cursor()):
        return frames.VersionInForce(
            self._versions.number,
            is_reader,
            members_changed.version,
            self._versions.stamp.era,
            self._store_era.known,
            members_changed.era,
        )

    def _document(self, base, digest):
        base, body = self._versions.compressed(base, digest)
        return frames.ConfigurationDocument(
            self._versions.number,
            base,
            body,
            self._versions.stamp.era,
            self._versions.digest(base),
        )
