"""Fleet: links to the other daemons, and the exchange of state with them.

Sends offers to other daemons' gates and keeps track of members, gate load,
configuration versions and crash reports.
"""

import dataclasses

from jujubefold import calls
from jujubefold import callserver
from jujubefold import crashes
from jujubefold import errors
from jujubefold import messages
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import balancer
from jujubefold.sidecar import distribution
from jujubefold.sidecar import frames
from jujubefold.sidecar import limiter
from jujubefold.sidecar import link
from jujubefold.sidecar import peerserver
from jujubefold.sidecar import roster
from jujubefold.sidecar import transfer

_MS = 1000
# Minimum seconds between two load reports of this gate. Shorter than most
# requests, so that a report is still valid when a request is placed by it.
MIN_LOAD_INTERVAL_S = 0.1
# Seconds to wait for an announced version to arrive over the platform's feed
# before it is fetched from a daemon that announced it. Sending a document
# costs a small link much more than the feed does, so only daemons whose feed
# fails should fetch from others.
FEED_GRACE_S = 0.8
# The same for a daemon whose feed is failing or that has no version yet.
FEED_FAILING_GRACE_S = 0.1
# Seconds between two announcements of a reader that it is still following the
# platform, and seconds without one after which a daemon follows it itself.
READER_ANNOUNCE_INTERVAL_S = 0.7
READER_TIMEOUT_S = 1.6


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """Another daemon.

    Args:
        link: The `link.OutgoingLink` to the daemon.
        candidate: The daemon's upstream as a `balancer.Candidate`.
    """

    link: link.OutgoingLink
    candidate: balancer.Candidate


class Fleet:
    """The other daemons, their upstreams and the links to them.

    Args:
        own_member: This daemon's `roster.Member`.
        egress: The `egress.Egress` of this VM's upstream.
        versions: The `versions.Versions`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, own_member, egress, versions, clock, rng, event_log):
        self.roster = roster.RosterTable(own_member)
        self._own_member = own_member
        self._egress = egress
        self._versions = versions
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._peers = {}
        # Cache of candidates by service; cleared when a member changes.
        self._candidates_by_service = {}
        self._own_candidate = balancer.Candidate(
            own_member.vm, own_member.service, 'own', reachable=True
        )
        self._reported_load = limiter.Load()
        self._load_reported_at = 0.0
        self._awaited_version = None
        self._version_sources = []
        self._reader_seen_at = clock.monotonic()
        self._reader_announced_at = 0.0
        # Whether reads of the platform's feed of versions are failing.
        self.feed_failing = False
        self.peer_server = peerserver.PeerServer(
            egress,
            clock,
            self.make_hello,
            self._handle_server_message,
            transfer.window_bytes(own_member.capacity),
        )

    @property
    def linked_count(self):
        """Number of other daemons whose link is up."""
        return sum(peer.link.up for peer in self._peers.values())

    def is_linked(self, vm):
        """Return whether the link to a VM's daemon is up."""
        peer = self._peers.get(vm)
        return peer is not None and peer.link.up

    # Members

    def add_member(self, member):
        """Add or update a `roster.Member` and open a link to its daemon."""
        if not roster.update(self.roster, member):
            return
        self._event_log.record(
            'member.learned',
            peer=member.vm,
            address=member.address,
            start=member.incarnation,
        )
        self._candidates_by_service.clear()
        peer = self._peers.get(member.vm)
        if peer is not None and peer.link.address == member.address:
            peer.link.reconnect_now()
            peer.candidate.service = member.service
            return
        self._remove_peer(member.vm)
        outgoing = link.OutgoingLink(
            member.vm,
            member.address,
            self._clock,
            self._rng,
            self.make_hello,
            self._handle_link_message,
            self._handle_link_state,
            self._handle_displaced,
        )
        self._peers[member.vm] = Peer(
            outgoing,
            balancer.Candidate(
                member.vm,
                member.service,
                roster.distance(self._own_member, member),
                capacity=_slower(self._own_member, member),
            ),
        )
        outgoing.start()

    def remove_member(self, vm):
        """Remove a member whose row was removed from the members table.

        Its link is closed now if it is down, else once it goes down: a daemon
        that stops removes its row first, and then finishes pending offers.
        """
        if not roster.remove(self.roster, vm):
            return
        self._event_log.record('member.forgotten', peer=vm)
        if not self.is_linked(vm):
            self._remove_peer(vm)

    def _remove_peer(self, vm):
        self._candidates_by_service.clear()
        peer = self._peers.pop(vm, None)
        if peer is not None:
            peer.link.close()

    def make_hello(self, resume=()):
        """Return this daemon's `frames.Hello`.

        Args:
            resume: Sequence numbers of the offers to resume.
        """
        return frames.Hello(
            self._own_member,
            self._versions.number,
            peerserver.load_message(self._egress),
            tuple(resume),
            transfers=True,
        )

    # Offers

    def candidates(self, service):
        """Return a `balancer.Candidate` for each upstream of a service."""
        candidates = self._candidates_by_service.get(service)
        if candidates is None:
            candidates = self._candidates_by_service[service] = [
                peer.candidate
                for peer in self._peers.values()
                if peer.candidate.service == service
            ]
        if self._own_candidate.service == service:
            balancer.update_load(
                self._own_candidate,
                self._egress.load(),
                self._clock.monotonic(),
            )
            return [*candidates, self._own_candidate]
        return candidates

    async def offer(self, candidate, attempt):
        """Offer a request to a candidate's gate.

        Args:
            candidate: A `balancer.Candidate`.
            attempt: An `attempt.Attempt`.

        Returns:
            An `attempt.Outcome`.
        """
        if candidate is self._own_candidate:
            return await self._egress.run(attempt)
        peer = self._peers.get(candidate.vm)
        if peer is None:
            return _unreachable_outcome()
        candidate.offers_since_report += 1
        body = attempt.body.data
        fetched = b''
        if len(body) > transfer.INLINE_BYTES and peer.link.fetches_bodies:
            body, fetched = b'', body
        now = self._clock.monotonic()
        offer = frames.Offer(
            peer.link.next_sequence(),
            attempt.request,
            attempt.route,
            attempt.version,
            attempt.rank,
            attempt.idempotent,
            max(0, int((attempt.deadline - now) * _MS)),
            int((attempt.objective_at - now) * _MS),
            max(0, int((now - attempt.arrived_at) * _MS)),
            attempt.may_queue,
            attempt.method,
            attempt.target,
            attempt.headers,
            body,
            len(fetched),
        )
        result = await peer.link.offer(offer, fetched)
        return self._outcome_of(candidate, result)

    def _outcome_of(self, candidate, result):
        now = self._clock.monotonic()
        message = result.message
        if message is None:
            balancer.penalize(candidate, now)
            return attempts.Outcome(refusal=result.refusal, sent=result.sent)
        balancer.update_load(candidate, _decode_load(message.load), now)
        if isinstance(message, frames.Answered):
            body = message.body
            answer = callserver.Answer(
                message.status, message.headers, [body], len(body)
            )
            return attempts.Outcome(
                answer=answer,
                sent=True,
                upstream_time=message.upstream_ms / _MS,
            )
        refusal = calls.Refusal(
            message.ran,
            calls.Reason(message.reason),
            message.retry_after_ms / _MS,
            message.detail,
        )
        if refusal.reason is calls.Reason.NO_UPSTREAM:
            balancer.penalize(candidate, now)
        return attempts.Outcome(refusal=refusal, sent=message.sent)

    # Messages from other daemons

    def _handle_link_message(self, outgoing, message):
        peer = self._peers.get(outgoing.vm)
        if isinstance(message, frames.Hello):
            self._handle_hello(message)
            peer = self._peers.get(message.member.vm)
            if peer is not None:
                self._update_load(peer, message.load)
        elif isinstance(message, frames.Load) and peer is not None:
            self._update_load(peer, message)
        elif isinstance(message, frames.ShutdownNotice) and peer is not None:
            peer.candidate.reachable = False
            self._event_log.record('member.leaving', peer=outgoing.vm)
        else:
            self._handle_message(message, outgoing)

    def _handle_server_message(self, connection, message):
        if isinstance(message, frames.Hello):
            self._handle_hello(message)
            peer = self._peers.get(message.member.vm)
            if peer is not None:
                peer.link.reconnect_now()
        else:
            self._handle_message(message, connection)

    def _handle_message(self, message, channel):
        """Handle a message that may arrive on either kind of connection.

        Args:
            message: The `frames.Message`.
            channel: Where to send a reply: `link.OutgoingLink` or
                `link.Connection`.
        """
        match message:
            case frames.VersionInForce():
                if message.is_reader:
                    self._reader_seen_at = self._clock.monotonic()
                self._handle_newer_version(message.version, channel)
            case frames.ConfigurationRequest():
                if self._versions.number > message.version:
                    channel.send(self._document(message.version))
            case frames.ConfigurationDocument():
                self._apply_document(message, channel)
            case frames.CrashEvidence():
                self._handle_crash_evidence(message)

    def _handle_hello(self, hello):
        self.add_member(hello.member)
        if hello.version > self._versions.number:
            peer = self._peers.get(hello.member.vm)
            if peer is not None:
                self._handle_newer_version(hello.version, peer.link)

    def _update_load(self, peer, load):
        balancer.update_load(
            peer.candidate, _decode_load(load), self._clock.monotonic()
        )

    def _handle_link_state(self, outgoing):
        peer = self._peers.get(outgoing.vm)
        if peer is None or peer.link is not outgoing:
            return
        up = outgoing.up
        if peer.candidate.reachable != up:
            self._event_log.record(
                'link.up' if up else 'link.down',
                peer=outgoing.vm,
                address=outgoing.address,
                pending=outgoing.pending,
            )
        peer.candidate.reachable = up and not outgoing.peer_stopping
        if not up and outgoing.vm not in self.roster.members:
            self._remove_peer(outgoing.vm)

    def _handle_displaced(self, outgoing):
        """Remove a member whose address now belongs to another VM."""
        self._event_log.record(
            'member.displaced', peer=outgoing.vm, address=outgoing.address
        )
        roster.remove(self.roster, outgoing.vm)
        self._remove_peer(outgoing.vm)

    # Versions

    @property
    def should_read_versions(self):
        """Whether this daemon should read versions from the platform.

        True if it has no version, is one of its failure domain's readers, or
        has received nothing from a reader for `READER_TIMEOUT_S`.
        """
        if not self._versions.number:
            return True
        if self._own_member.vm in distribution.readers(self._nearby_daemons()):
            return True
        elapsed = self._clock.monotonic() - self._reader_seen_at
        return elapsed > READER_TIMEOUT_S

    def announce_version(self, previous, source):
        """Announce the version that is now in force to other daemons.

        If it came from the platform, its document is sent to the daemons that
        this reader supplies. Others receive only its number.

        Args:
            previous: Number of the version in force before.
            source: Where it was received from; 'store' for the platform.
        """
        informed = ()
        if source == 'store' and self._versions.number:
            informed = distribution.recipients(
                self._own_member.vm, self._nearby_daemons()
            )
            if informed:
                document = self._document(previous)
                for vm in informed:
                    self._peers[vm].link.send(document)
        message = frames.VersionInForce(self._versions.number, False)
        for vm in self._announcement_targets():
            if vm not in informed:
                self._peers[vm].link.send(message)

    def _document(self, base):
        base, body = self._versions.compressed(base)
        return frames.ConfigurationDocument(self._versions.number, base, body)

    def _apply_document(self, message, channel):
        if message.version <= self._versions.number:
            return
        if not self._versions.apply_compressed(
            message.base, message.body, 'peer'
        ):
            channel.send(frames.ConfigurationRequest(0))

    def _nearby_daemons(self):
        """Return a `distribution.Node` for this and each nearby daemon.

        Nearby daemons are the reachable ones of the same failure domain that
        have not announced their shutdown.
        """
        nodes = [
            distribution.Node(self._own_member.vm, self._own_member.capacity)
        ]
        for vm, peer in self._peers.items():
            if (
                peer.candidate.distance in balancer.SAME_DOMAIN
                and peer.link.up
                and not peer.link.peer_stopping
            ):
                member = self.roster.members.get(vm)
                if member is not None:
                    nodes.append(distribution.Node(vm, member.capacity))
        return nodes

    def _announcement_targets(self):
        """Return the VMs whose daemons a version is announced to."""
        near, far = [], []
        for vm, peer in self._peers.items():
            if peer.link.up:
                is_near = peer.candidate.distance in balancer.SAME_DOMAIN
                (near if is_near else far).append(vm)
        return distribution.successors(self._own_member.vm, near, far)

    def _announce_reader(self, now):
        """Announce periodically that this reader follows the platform."""
        if (
            now - self._reader_announced_at < READER_ANNOUNCE_INTERVAL_S
            or self.feed_failing
        ):
            return
        self._reader_announced_at = now
        message = frames.VersionInForce(self._versions.number, True)
        for vm in distribution.recipients(
            self._own_member.vm, self._nearby_daemons()
        ):
            self._peers[vm].link.send(message)

    def _handle_newer_version(self, number, channel):
        if number <= self._versions.number:
            return
        if self._awaited_version is None or number > self._awaited_version[0]:
            feed_failing = self.feed_failing or not self._versions.number
            grace = FEED_FAILING_GRACE_S if feed_failing else FEED_GRACE_S
            now = self._clock.monotonic()
            fetch_at = (
                now + grace
                if self._awaited_version is None
                else self._awaited_version[1]
            )
            self._awaited_version = (number, fetch_at)
            self._version_sources.clear()
        self._version_sources.append(channel)

    def _fetch_awaited_version(self, now):
        if self._awaited_version is None or now < self._awaited_version[1]:
            return
        number, _ = self._awaited_version
        self._awaited_version = None
        sources, self._version_sources = self._version_sources, []
        if number > self._versions.number:
            self._rng.choice(sources).send(
                frames.ConfigurationRequest(self._versions.number)
            )

    # Crashes

    def _handle_crash_evidence(self, message):
        report = messages.CrashReport(
            message.fingerprint,
            message.upstream,
            message.count,
            message.blame_milli,
        )
        now = self._clock.monotonic()
        for effect in crashes.merge_report(self._egress.crashes, report, now):
            self._event_log.record(
                effect.event.name, detail=effect.event.detail
            )

    def _broadcast_crashes(self):
        table = self._egress.crashes
        reports = tuple(table.outbox.values())
        table.outbox.clear()
        table.pending_clearances.clear()
        for report in reports:
            if report.count and report.upstream.startswith(
                f'{self._own_member.vm}/'
            ):
                self.peer_server.broadcast(
                    frames.CrashEvidence(
                        report.fingerprint,
                        report.upstream,
                        report.count,
                        report.blame_milli,
                    )
                )

    # Periodic work

    def broadcast_load(self):
        """Report this gate's load to all daemons after a change of slots."""
        self._mark_load_reported()
        self.peer_server.broadcast(peerserver.load_message(self._egress))

    def _broadcast_load_change(self, now):
        """Report the load to nearby daemons when the gate fills or frees."""
        if now - self._load_reported_at < MIN_LOAD_INTERVAL_S:
            return
        if _has_room(self._egress.load()) == _has_room(self._reported_load):
            return
        self._mark_load_reported()
        self.peer_server.broadcast(
            peerserver.load_message(self._egress),
            self._own_member.failure_domain,
        )

    def _mark_load_reported(self):
        self._reported_load = self._egress.load()
        self._load_reported_at = self._clock.monotonic()

    def sweep(self):
        """Check links and offers, and send pending updates to others."""
        now = self._clock.monotonic()
        for peer in tuple(self._peers.values()):
            peer.link.sweep(now)
        self.peer_server.sweep(now)
        self._broadcast_crashes()
        self._broadcast_load_change(now)
        self._fetch_awaited_version(now)
        self._announce_reader(now)

    def announce_shutdown(self):
        """Ask all other daemons to send no more offers."""
        self.peer_server.announce_shutdown()

    def close(self):
        """Close all links and stop listening."""
        for peer in self._peers.values():
            peer.link.close()
        self.peer_server.close()


def _decode_load(message):
    return limiter.Load(
        message.running,
        message.waiting,
        message.slots,
        message.mean_duration_ms / _MS,
        message.failure_percent / 100,
    )


def _slower(one, other):
    """Return the megabits a second between two members; 0 if unknown."""
    return min(one.capacity, other.capacity)


def _has_room(load):
    return load.running < load.slots


def _unreachable_outcome():
    return attempts.Outcome(
        refusal=calls.Refusal(
            errors.Outcome.DID_NOT_RUN,
            calls.Reason.PEER_LOST,
            detail='the daemon is no longer a member of the fleet',
        )
    )
