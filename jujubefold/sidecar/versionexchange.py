"""Version exchange: sends versions to other daemons and fetches them.

The number of a new version is passed on at once, ahead of its document. So
all daemons wait for the platform's feed at the same time, and not one after
the other. Who still lacks the document then asks the daemon that told it
first, which answers once it has the document itself.
"""

import dataclasses

from jujubefold.sidecar import distribution
from jujubefold.sidecar import frames
from jujubefold.sidecar import readers
from jujubefold.sidecar import versions as versions_module

# Seconds to wait for an announced version to arrive over the platform's feed
# before it is fetched from a daemon that announced it. Sending a document
# costs a small link much more than the feed does, so only daemons whose feed
# fails should fetch from others.
FEED_GRACE_S = 0.8
# The same for a daemon whose feed is failing or that has no version yet.
FEED_FAILING_GRACE_S = 0.1
# Seconds after which another daemon is asked for a version.
FETCH_RETRY_S = 0.4
# Daemons remembered as announcers of an awaited version.
MAX_SOURCES = 8


@dataclasses.dataclass(slots=True, eq=False)
class _AwaitedVersion:
    """A version that was announced and is not in force here.

    Args:
        stamp: Its `versions.Stamp`.
        fetch_at: Monotonic seconds at which it is requested, next.
        sources: Channels to the daemons that announced it and were not
            asked, by the time of their announcement.
        requested: Whether any was asked.
    """

    stamp: versions_module.Stamp
    fetch_at: float
    sources: list
    requested: bool = False


class VersionExchange:
    """Passes versions on between daemons.

    Args:
        fleet: The `fleet.Fleet`.
        versions: The `versions.Versions`.
        clock: A `clock.Clock`.
        store_era: The `storeera.StoreEra` of this daemon.
        event_log: An `eventlog.EventLog`.

    Attributes:
        feed_failing: Whether reads of the platform's feed are failing.
        on_feed_late: Called without arguments when the feed has not brought
            a version in time although its reads are not failing.
    """

    def __init__(self, fleet, versions, clock, store_era, event_log):
        self.feed_failing = False
        self.on_feed_late = lambda: None
        self._fleet = fleet
        self._versions = versions
        self._clock = clock
        self._store_era = store_era
        self._event_log = event_log
        self._awaited = None
        # Newest version whose number was passed on.
        self._passed_on = versions_module.Stamp()
        # Requests for a version that this daemon awaits itself, by channel.
        self._unanswered = {}
        self._announced_at = 0.0

    @property
    def known(self):
        """Number of the newest version that any daemon told this one of."""
        return max(self._passed_on, self._versions.stamp).number

    @property
    def awaited_stamp(self):
        """`Stamp` of a version that is being fetched; the empty one if none.

        A version that none of its announcers has any more is given up.
        """
        awaited = self._awaited
        return versions_module.Stamp() if awaited is None else awaited.stamp

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
        self._answer_requests()
        self._pass_on(self._versions.stamp, supplied)

    def _pass_on(self, stamp, excluded=()):
        """Announce a version to other daemons, once.

        Args:
            stamp: Its `versions.Stamp`; it need not be in force here yet.
            excluded: VM names of daemons that are not told.
        """
        if stamp <= self._passed_on:
            return
        self._passed_on = stamp
        self._announce(stamp, excluded)

    def announce_era(self):
        """Tell other daemons at once of the store's new era."""
        self._announce(self._versions.stamp)

    def _announce(self, stamp, excluded=()):
        message = frames.VersionInForce(
            stamp.number,
            is_reader=False,
            era=stamp.era,
            store_era=self._store_era.known,
        )
        for vm in self._fleet.announcement_targets():
            if vm not in excluded:
                self._fleet.send(vm, message)

    def handle_announcement(self, stamp, channel):
        """Fetch a version later, unless it arrives over the feed before.

        Args:
            stamp: `versions.Stamp` of a version that another daemon has or
                awaits.
            channel: `link.OutgoingLink` or `link.Connection` to that daemon.
        """
        in_force = self._versions.stamp
        if stamp <= in_force:
            return
        awaited = self._awaited
        if awaited is not None and awaited.stamp <= in_force:
            awaited = None
        if awaited is None or stamp > awaited.stamp:
            feed_failing = self.feed_failing or not self._versions.number
            grace = FEED_FAILING_GRACE_S if feed_failing else FEED_GRACE_S
            fetch_at = (
                self._clock.monotonic() + grace
                if awaited is None
                else awaited.fetch_at
            )
            awaited = self._awaited = _AwaitedVersion(stamp, fetch_at, [])
            self._log_heard(awaited, channel)
            self._pass_on(stamp)
        if (
            channel not in awaited.sources
            and len(awaited.sources) < MAX_SOURCES
        ):
            awaited.sources.append(channel)

    def _log_heard(self, awaited, channel):
        """Log a newer version that another daemon announced first."""
        self._event_log.record(
            'version.heard',
            version=awaited.stamp.number,
            era=awaited.stamp.era,
            in_force=self._versions.number,
            peer=channel.vm,
            reader_age=self._fleet.reader_age,
            feed_failing=self.feed_failing,
            fetch_in=round(awaited.fetch_at - self._clock.monotonic(), 3),
        )

    def handle_request(self, message, channel):
        """Answer a `frames.ConfigurationRequest`, once there is a newer one.

        Args:
            message: The request.
            channel: `link.OutgoingLink` or `link.Connection` to answer on.
        """
        stamp = versions_module.Stamp(message.version, message.era)
        if self._versions.stamp > stamp:
            channel.send(self._document(message.version, message.digest))
        elif self._passed_on > stamp:
            self._unanswered[channel] = message

    def _answer_requests(self):
        """Answer the requests for a version that was awaited here."""
        unanswered, self._unanswered = self._unanswered, {}
        for channel, message in unanswered.items():
            self.handle_request(message, channel)

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
        awaited = self._awaited
        if awaited is None or now < awaited.fetch_at:
            return
        if awaited.stamp <= self._versions.stamp or not awaited.sources:
            self._awaited = None
            return
        if not awaited.requested and not self.feed_failing:
            self.on_feed_late()
        awaited.requested = True
        # The first one knew of it before this daemon, and so was told, over
        # others, by one that has it. Others may have heard of it from here.
        source = awaited.sources.pop(0)
        awaited.fetch_at = now + FETCH_RETRY_S
        self._event_log.record(
            'version.requested',
            version=awaited.stamp.number,
            era=awaited.stamp.era,
            peer=source.vm,
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
        members_changed = fleet.readers.members_changed
        message = frames.VersionInForce(
            self._versions.number,
            True,
            members_changed.version,
            self._versions.stamp.era,
            self._store_era.known,
            members_changed.era,
        )
        for vm in distribution.recipients(
            fleet.own_vm, fleet.nearby_daemons()
        ):
            fleet.send(vm, message)

    def _document(self, base, digest):
        base, body = self._versions.compressed(base, digest)
        return frames.ConfigurationDocument(
            self._versions.number,
            base,
            body,
            self._versions.stamp.era,
            self._versions.digest(base),
        )
