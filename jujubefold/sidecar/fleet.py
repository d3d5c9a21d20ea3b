"""Fleet: this daemon's links to the others, and what it sees of them."""

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

_MS = 1000
# Seconds between two words on whether this gate has room: shorter than most
# requests, so that it is still true when a request is placed.
LOAD_INTERVAL_S = 0.1
# Seconds that a version may take over the platform's feed before it is
# fetched from a daemon that told of it: a document costs a small link much
# more than the feed, so only daemons that the feed fails ask others.
FEED_LEAD_S = 0.8
# The same for a daemon that is cut from the feed, or knows no version.
CUT_LEAD_S = 0.1
# Seconds between two words of a reader that it still follows the platform,
# and without one after which a daemon follows it itself.
READER_INTERVAL_S = 0.7
UNHEARD_S = 1.6


@dataclasses.dataclass(slots=True, eq=False)
class Peer:
    """Another daemon.

    Args:
        link: The `link.Outgoing` to it.
        candidate: Its upstream, for `balancer`.
    """

    link: link.Outgoing
    candidate: balancer.Candidate


class Fleet:
    """All daemons as this one sees them.

    Args:
        me: This daemon's `roster.Member`.
        egress: The `egress.Egress` of the own upstream.
        versions: The `versions.Versions` holder.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, me, egress, versions, clock, rng, event_log):
        self.roster = roster.RosterTable(me)
        self._me = me
        self._egress = egress
        self._versions = versions
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._peers = {}
        # Candidates by service, until a member changes.
        self._by_service = {}
        self._own = balancer.Candidate(
            me.vm, me.service, 'own', reachable=True
        )
        self._told = limiter.Load()
        self._told_at = 0.0
        self._wanted = None
        self._tellers = []
        self._reader_heard_at = clock.monotonic()
        self._reading_told_at = 0.0
        # Whether the platform's feed of versions fails this daemon.
        self.feed_failing = False
        self.peer_server = peerserver.PeerServer(
            egress, clock, self.hello, self._heard_at_port
        )

    @property
    def linked_count(self):
        """How many other daemons can be offered something now."""
        return sum(peer.link.up for peer in self._peers.values())

    def is_linked(self, vm):
        """Return whether a daemon can be reached now."""
        peer = self._peers.get(vm)
        return peer is not None and peer.link.up

    # Members

    def add_member(self, member):
        """Take a member that a row or a link told of."""
        if not roster.update(self.roster, member):
            return
        self._event_log.record(
            'member.learned',
            peer=member.vm,
            address=member.address,
            start=member.incarnation,
        )
        self._by_service.clear()
        peer = self._peers.get(member.vm)
        if peer is not None and peer.link.address == member.address:
            peer.link.hurry()
            peer.candidate.service = member.service
            return
        self._drop(member.vm)
        outgoing = link.Outgoing(
            member.vm,
            member.address,
            self._clock,
            self._rng,
            self.hello,
            self._heard_on_link,
            self._link_changed,
            self._displaced,
        )
        self._peers[member.vm] = Peer(
            outgoing,
            balancer.Candidate(
                member.vm,
                member.service,
                roster.distance(self._me, member),
            ),
        )
        outgoing.start()

    def remove_member(self, vm):
        """Drop a member whose row was taken out, once its link ends.

        A daemon that stops takes its row out first, and finishes what it
        was offered.
        """
        if not roster.remove(self.roster, vm):
            return
        self._event_log.record('member.forgotten', peer=vm)
        if not self.is_linked(vm):
            self._drop(vm)

    def _drop(self, vm):
        self._by_service.clear()
        peer = self._peers.pop(vm, None)
        if peer is not None:
            peer.link.close()

    def hello(self, resume=()):
        """Return this daemon's `frames.Hello`."""
        return frames.Hello(
            self._me,
            self._versions.number,
            peerserver.load_message(self._egress),
            tuple(resume),
        )

    # Offers

    def candidates(self, service):
        """Return the `balancer.Candidate` list of a service."""
        found = self._by_service.get(service)
        if found is None:
            found = self._by_service[service] = [
                peer.candidate
                for peer in self._peers.values()
                if peer.candidate.service == service
            ]
        if self._own.service == service:
            balancer.update_load(
                self._own, self._egress.load(), self._clock.monotonic()
            )
            return [*found, self._own]
        return found

    async def offer(self, candidate, attempt):
        """Offer a request to a candidate's gate.

        Args:
            candidate: A `balancer.Candidate`.
            attempt: An `attempt.Attempt`.

        Returns:
            An `attempt.Outcome`.
        """
        if candidate is self._own:
            return await self._egress.run(attempt)
        peer = self._peers.get(candidate.vm)
        if peer is None:
            return _gone()
        candidate.offers_since_report += 1
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
            attempt.body,
        )
        ended = await peer.link.offer(offer)
        return self._outcome(candidate, ended)

    def _outcome(self, candidate, ended):
        now = self._clock.monotonic()
        message = ended.message
        if message is None:
            balancer.penalize(candidate, now)
            return attempts.Outcome(refusal=ended.refusal, sent=ended.sent)
        balancer.update_load(candidate, _load(message.load), now)
        if isinstance(message, frames.Answered):
            body = message.body
            answer = callserver.Answer(
                message.status, message.headers, [body], len(body)
            )
            return attempts.Outcome(
                answer=answer, sent=True, upstream_time=message.ran_ms / _MS
            )
        refusal = calls.Refusal(
            message.ran,
            calls.Reason(message.reason),
            message.retry_ms / _MS,
            message.detail,
        )
        if refusal.reason is calls.Reason.NO_UPSTREAM:
            balancer.penalize(candidate, now)
        return attempts.Outcome(refusal=refusal, sent=message.sent)

    # What others say

    def _heard_on_link(self, outgoing, message):
        peer = self._peers.get(outgoing.vm)
        if isinstance(message, frames.Hello):
            self._greeted(message)
            peer = self._peers.get(message.member.vm)
            if peer is not None:
                self._report(peer, message.load)
        elif isinstance(message, frames.Load) and peer is not None:
            self._report(peer, message)
        elif isinstance(message, frames.Goodbye) and peer is not None:
            peer.candidate.reachable = False
            self._event_log.record('member.leaving', peer=outgoing.vm)
        else:
            self._heard(message, outgoing)

    def _heard_at_port(self, connection, message):
        if isinstance(message, frames.Hello):
            self._greeted(message)
            peer = self._peers.get(message.member.vm)
            if peer is not None:
                peer.link.hurry()
        else:
            self._heard(message, connection)

    def _heard(self, message, channel):
        """Act on a message that came over either kind of connection."""
        match message:
            case frames.Newer():
                if message.reads:
                    self._reader_heard_at = self._clock.monotonic()
                self._hear_of_version(message.version, channel)
            case frames.Fetch():
                if self._versions.number > message.version:
                    channel.send(self._document(message.version))
            case frames.Document():
                self._take_document(message, channel)
            case frames.Crash():
                self._hear_of_crash(message)

    def _greeted(self, hello):
        self.add_member(hello.member)
        if hello.version > self._versions.number:
            peer = self._peers.get(hello.member.vm)
            if peer is not None:
                self._hear_of_version(hello.version, peer.link)

    def _report(self, peer, load):
        balancer.update_load(
            peer.candidate, _load(load), self._clock.monotonic()
        )

    def _link_changed(self, outgoing):
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
        peer.candidate.reachable = up and not outgoing.leaving
        if not up and outgoing.vm not in self.roster.members:
            self._drop(outgoing.vm)

    def _displaced(self, outgoing):
        """Forget a member whose address another VM has."""
        self._event_log.record(
            'member.displaced', peer=outgoing.vm, address=outgoing.address
        )
        roster.remove(self.roster, outgoing.vm)
        self._drop(outgoing.vm)

    # Versions

    @property
    def should_read_versions(self):
        """Whether this daemon is to follow the platform's versions."""
        if not self._versions.number:
            return True
        if self._me.vm in distribution.readers(self._near_places()):
            return True
        unheard = self._clock.monotonic() - self._reader_heard_at
        return unheard > UNHEARD_S

    def announce_version(self, before, source):
        """Tell others of the version that is in force now.

        Args:
            before: Number of the version before it.
            source: Who told of it.
        """
        told = ()
        if source == 'store' and self._versions.number:
            told = distribution.recipients(self._me.vm, self._near_places())
            if told:
                document = self._document(before)
                for vm in told:
                    self._peers[vm].link.send(document)
        message = frames.Newer(self._versions.number, False)
        for vm in self._successors():
            if vm not in told:
                self._peers[vm].link.send(message)

    def _document(self, base):
        base, body = self._versions.compressed(base)
        return frames.Document(self._versions.number, base, body)

    def _take_document(self, message, channel):
        if message.version <= self._versions.number:
            return
        if not self._versions.apply_compressed(
            message.base, message.body, 'peer'
        ):
            channel.send(frames.Fetch(0))

    def _near_places(self):
        """Return this daemon and those near by that can be reached."""
        found = [distribution.Node(self._me.vm, self._me.capacity)]
        for vm, peer in self._peers.items():
            if (
                peer.candidate.distance in balancer.SAME_DOMAIN
                and peer.link.up
            ):
                member = self.roster.members.get(vm)
                if member is not None:
                    found.append(distribution.Node(vm, member.capacity))
        return found

    def _successors(self):
        """Return the names of those that are told of a version."""
        near, far = [], []
        for vm, peer in self._peers.items():
            if peer.link.up:
                is_near = peer.candidate.distance in balancer.SAME_DOMAIN
                (near if is_near else far).append(vm)
        return distribution.successors(self._me.vm, near, far)

    def _tell_reading(self, now):
        """Tell this reader's part that it still follows the platform."""
        if (
            now - self._reading_told_at < READER_INTERVAL_S
            or self.feed_failing
        ):
            return
        self._reading_told_at = now
        message = frames.Newer(self._versions.number, True)
        for vm in distribution.recipients(self._me.vm, self._near_places()):
            self._peers[vm].link.send(message)

    def _hear_of_version(self, number, channel):
        if number <= self._versions.number:
            return
        if self._wanted is None or number > self._wanted[0]:
            cut = self.feed_failing or not self._versions.number
            lead = CUT_LEAD_S if cut else FEED_LEAD_S
            now = self._clock.monotonic()
            at = now + lead if self._wanted is None else self._wanted[1]
            self._wanted = (number, at)
            self._tellers.clear()
        self._tellers.append(channel)

    def _fetch_wanted(self, now):
        if self._wanted is None or now < self._wanted[1]:
            return
        number, _ = self._wanted
        self._wanted = None
        tellers, self._tellers = self._tellers, []
        if number > self._versions.number:
            self._rng.choice(tellers).send(frames.Fetch(self._versions.number))

    # Crashes

    def _hear_of_crash(self, message):
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

    def _tell_crashes(self):
        table = self._egress.crashes
        reports = tuple(table.outbox.values())
        table.outbox.clear()
        table.pending_clearances.clear()
        for report in reports:
            if report.count and report.upstream.startswith(f'{self._me.vm}/'):
                self.peer_server.broadcast(
                    frames.Crash(
                        report.fingerprint,
                        report.upstream,
                        report.count,
                        report.blame_milli,
                    )
                )

    # Time

    def broadcast_load(self):
        """Tell all others that slots appeared or vanished here."""
        self._note_told()
        self.peer_server.broadcast(peerserver.load_message(self._egress))

    def _tell_load(self, now):
        """Tell those near by when this gate fills up or has room again."""
        if now - self._told_at < LOAD_INTERVAL_S:
            return
        if _has_room(self._egress.load()) == _has_room(self._told):
            return
        self._note_told()
        self.peer_server.broadcast(
            peerserver.load_message(self._egress), self._me.failure_domain
        )

    def _note_told(self):
        self._told = self._egress.load()
        self._told_at = self._clock.monotonic()

    def sweep(self):
        """Look after links, and tell the others what changed."""
        now = self._clock.monotonic()
        for peer in tuple(self._peers.values()):
            peer.link.sweep(now)
        self.peer_server.sweep(now)
        self._tell_crashes()
        self._tell_load(now)
        self._fetch_wanted(now)
        self._tell_reading(now)

    def announce_shutdown(self):
        """Tell the others to offer nothing more here."""
        self.peer_server.announce_shutdown()

    def close(self):
        """End all links."""
        for peer in self._peers.values():
            peer.link.close()
        self.peer_server.close()


def _load(message):
    return limiter.Load(
        message.running,
        message.waiting,
        message.slots,
        message.hold_ms / _MS,
        message.failing_percent / 100,
    )


def _has_room(load):
    return load.running < load.slots


def _gone():
    return attempts.Outcome(
        refusal=calls.Refusal(
            errors.Outcome.DID_NOT_RUN,
            calls.Reason.PEER_LOST,
            detail='the daemon has left the fleet',
        )
    )
