"""Fleet: links to the other daemons, and the exchange of state with them.

Sends offers to other daemons' gates and keeps track of members, gate load,
configuration versions and crash reports.
"""

import dataclasses
import itertools
import math

from jujubefold import backgroundtasks
from jujubefold import calls
from jujubefold import callserver
from jujubefold import errors
from jujubefold.sidecar import answertransfer
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import balancer
from jujubefold.sidecar import crashreports
from jujubefold.sidecar import distribution
from jujubefold.sidecar import frames
from jujubefold.sidecar import freshnessexchange
from jujubefold.sidecar import limiter
from jujubefold.sidecar import link
from jujubefold.sidecar import peering
from jujubefold.sidecar import peerserver
from jujubefold.sidecar import readers
from jujubefold.sidecar import roster
from jujubefold.sidecar import rowfeed
from jujubefold.sidecar import transfer
from jujubefold.sidecar import versionexchange
from jujubefold.sidecar import versions as versions_module

_MS = 1000
# Minimum seconds between two load reports of this gate. Shorter than most
# requests, so that a report is still valid when a request is placed by it.
MIN_LOAD_INTERVAL_S = 0.1

# Seconds between two log lines with the bytes sent over links.
TRAFFIC_LOG_INTERVAL_S = 10.0


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
        store_era: The `storeera.StoreEra` of this daemon.
        bootstrap: Whether the whole fleet starts for the first time.

    Attributes:
        roster: The `roster.RosterTable`.
        readers: The `readers.ReaderTable`.
        traffic: The `link.Traffic` of all links.
        version_exchange: The `versionexchange.VersionExchange`.
        freshness_exchange: The `freshnessexchange.FreshnessExchange`.
        peer_server: The `peerserver.PeerServer`.
        rollouts: The `rollouts.Rollouts`; None without rollouts.
        quotas: The `quotaexchange.QuotaExchange`; None without quotas.
    """

    def __init__(
        self,
        own_member,
        egress,
        versions,
        clock,
        rng,
        event_log,
        store_era,
        bootstrap=False,
    ):
        self.roster = roster.RosterTable(own_member)
        self._peering = peering.PeeringTable(own_member)
        self._peering_changed = False
        self.quotas = None
        self.traffic = link.Traffic()
        self._traffic_logged_at = clock.monotonic()
        self.readers = readers.ReaderTable(clock.monotonic(), bootstrap)
        self._own_member = own_member
        self.rollouts = None
        self._egress = egress
        egress.candidates = self.candidates
        self._versions = versions
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._store_era = store_era
        self._answers = answertransfer.AnswerFetcher(
            own_member.capacity, clock
        )
        self._offer_sequences = itertools.count(1)
        self._peers = {}
        # Cache of candidates by service; cleared when a member changes.
        self._candidates_by_service = {}
        self._own_candidate = balancer.Candidate(
            own_member.vm, own_member.service, 'own', reachable=True
        )
        self._reported_load = limiter.Load()
        self._load_reported_at = 0.0
        self.version_exchange = versionexchange.VersionExchange(
            self, versions, clock, store_era, event_log
        )
        self.freshness_exchange = freshnessexchange.FreshnessExchange(
            self, versions, clock, store_era, event_log
        )
        self.peer_server = peerserver.PeerServer(
            egress,
            clock,
            self.make_hello,
            self._handle_server_message,
            transfer.new_table(own_member.capacity),
            self.traffic,
            own_member.failure_domain,
            event_log,
        )
        self.peer_server.divides_answers = lambda: (
            versions.current.has_downloads
        )
        self._crash_reports = crashreports.CrashReports(
            own_member, egress, self, clock, event_log
        )

    @property
    def own_vm(self):
        """Name of this daemon's VM."""
        return self._own_member.vm

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
        """Add or update a `roster.Member` and open a link to its daemon.

        An invalid one, which a daemon of another release may pass on, is
        ignored.
        """
        checked = roster.check(member)
        if checked.is_error():
            self._event_log.record(
                'member.invalid', peer=member.vm, detail=checked.error.reason
            )
            return
        if not roster.update(self.roster, member):
            return
        self._event_log.record(
            'member.learned',
            peer=member.vm,
            address=member.address,
            start=member.incarnation,
        )
        self._candidates_by_service.clear()
        peering.add(self._peering, member)
        self._peering_changed = True
        peer = self._peers.get(member.vm)
        if peer is not None and peer.link.address == member.address:
            peer.link.reconnect_now()
            peer.candidate.service = member.service
            return
        self._remove_peer(member.vm)
        if peering.is_near(self._peering, member):
            self._open_link(member)

    def _open_link(self, member):
        self._candidates_by_service.clear()
        outgoing = link.OutgoingLink(
            member.vm,
            member.address,
            self._clock,
            self._rng,
            self.make_hello,
            self._handle_link_message,
            self._handle_link_state,
            self._handle_displaced,
            self.traffic.near
            if peering.is_near(self._peering, member)
            else self.traffic.far,
            self._answers,
            self._offer_sequences,
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
        peering.remove(self._peering, vm)
        self._peering_changed = True
        self._event_log.record('member.forgotten', peer=vm)
        if not self.is_linked(vm):
            self._remove_peer(vm)

    def _update_far_links(self):
        """Open and close links after a change of members or of links."""
        self._peering_changed = False
        wanted = peering.selected(self._peering)
        for vm in wanted:
            if vm not in self._peers:
                self._open_link(self.roster.members[vm])
        for vm, peer in tuple(self._peers.items()):
            if (
                vm in wanted
                or vm not in self.roster.members
                or peer.candidate.distance in balancer.SAME_DOMAIN
            ):
                continue
            if peer.link.pending:
                self._peering_changed = True
            else:
                self._remove_peer(vm)

    def apply_members(self, changes):
        """Apply changes of members that were read or received.

        Args:
            changes: A `frames.MembersChanged`.
        """
        for member in changes.joined:
            self.add_member(member)
        for vm in changes.left:
            self.remove_member(vm)
        readers.record_members(
            self.readers,
            rowfeed.Cursor(changes.base_era, changes.base),
            rowfeed.Cursor(changes.era, changes.version),
            rowfeed.Cursor(changes.era, changes.changed),
        )

    def forward_members(self, changes):
        """Send changes of members to the daemons that this reader supplies.

        Args:
            changes: A `frames.MembersChanged` read from the platform.
        """
        for vm in distribution.recipients(
            self._own_member.vm, self.nearby_daemons()
        ):
            self.send(vm, changes)

    @property
    def is_reader(self):
        """Whether this daemon is a reader of its failure domain."""
        names = distribution.readers(self.nearby_daemons())
        return self._own_member.vm in names

    @property
    def reader_age(self):
        """Seconds since a reader announced itself; None if none ever did."""
        seen_at = self.readers.versions_seen_at
        if math.isinf(seen_at):
            return None
        return round(self._clock.monotonic() - seen_at, 3)

    def tables_to_read(self):
        """Return what this daemon should read from the platform now.

        Returns:
            Whether it should read versions, and whether members.
        """
        is_reader = self.is_reader
        now = self._clock.monotonic()
        return (
            readers.should_read_versions(
                self.readers, bool(self._versions.number), is_reader, now
            ),
            readers.should_read_members(
                self.readers, self.roster.complete, is_reader, now
            ),
        )

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
            era=self._versions.stamp.era,
            store_era=self._store_era.known,
            answer_parts=True,
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
            attempt.call,
            peer.link.take_received(),
        )
        result = await peer.link.offer(offer, fetched)
        return self._outcome_of(candidate, result)

    def _outcome_of(self, candidate, result):
        now = self._clock.monotonic()
        message = result.message
        if message is None:
            balancer.penalize(candidate, now)
            return attempts.Outcome(refusal=result.refusal, sent=result.sent)
        if isinstance(message, frames.Refused) or not message.body_size:
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
            self._handle_hello(message, outgoing)
            peer = self._peers.get(message.member.vm)
            if peer is not None:
                self._update_load(peer, message.load, balancer.introduce_load)
        elif isinstance(message, frames.Load) and peer is not None:
            self._update_load(peer, message, balancer.announce_load)
        elif isinstance(message, frames.ShutdownNotice) and peer is not None:
            peer.candidate.reachable = False
            self._mark_down(outgoing.vm)
            self._event_log.record('member.leaving', peer=outgoing.vm)
        else:
            self._handle_message(message, outgoing)

    def _handle_server_message(self, connection, message):
        if isinstance(message, frames.Hello):
            self._handle_hello(message, connection)
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
                self._store_era.accept(message.store_era, 'peer')
                if message.is_reader:
                    readers.record_reader(
                        self.readers,
                        rowfeed.Cursor(
                            message.members_era, message.members_changed
                        ),
                        self._clock.monotonic(),
                    )
                self.version_exchange.handle_announcement(
                    versions_module.Stamp(message.version, message.era),
                    channel,
                )
            case frames.ConfigurationRequest():
                self.version_exchange.handle_request(message, channel)
            case frames.ConfigurationDocument():
                self.version_exchange.handle_document(message, channel)
            case frames.MembersChanged():
                self.apply_members(message)
            case frames.FreshnessRequest() | frames.Freshness():
                self.freshness_exchange.handle(message, channel)
            case frames.CrashEvidence():
                self._crash_reports.handle(message)
            case frames.RolloutReport() | frames.RolloutState():
                if self.rollouts is not None:
                    self.rollouts.handle(message, channel)
            case (
                frames.QuotaRequest()
                | frames.QuotaAnswer()
                | frames.QuotaReturn()
            ):
                if self.quotas is not None:
                    self.quotas.handle(channel.vm, message, channel.send)

    def _handle_hello(self, hello, channel):
        self.add_member(hello.member)
        self._store_era.accept(hello.store_era, 'peer')
        self.version_exchange.handle_announcement(
            versions_module.Stamp(hello.version, hello.era), channel
        )

    def _update_load(self, peer, load, update):
        vm = peer.candidate.vm
        if self.rollouts is not None and vm in self.roster.members:
            if (vm in self._peering.closed) == bool(load.slots):
                self._peering.closed ^= {vm}
                self._peering_changed = True
        update(peer.candidate, _decode_load(load), self._clock.monotonic())

    def _handle_link_state(self, outgoing):
        peer = self._peers.get(outgoing.vm)
        if peer is None or peer.link is not outgoing:
            return
        up = outgoing.up
        if up and self.rollouts is not None:
            self.rollouts.send_all(outgoing)
        if peer.candidate.reachable != up:
            self._event_log.record(
                'link.up' if up else 'link.down',
                peer=outgoing.vm,
                address=outgoing.address,
                pending=outgoing.pending,
            )
        peer.candidate.reachable = up and not outgoing.peer_stopping
        if peer.candidate.reachable:
            if outgoing.vm in self._peering.down:
                self._peering.down.discard(outgoing.vm)
                self._peering_changed = True
        else:
            self._mark_down(outgoing.vm)
        if not up and outgoing.vm not in self.roster.members:
            self._remove_peer(outgoing.vm)

    def _mark_down(self, vm):
        if vm in self.roster.members and vm not in self._peering.down:
            self._peering.down.add(vm)
            self._peering_changed = True

    def _handle_displaced(self, outgoing):
        """Remove a member whose address now belongs to another VM."""
        self._event_log.record(
            'member.displaced', peer=outgoing.vm, address=outgoing.address
        )
        roster.remove(self.roster, outgoing.vm)
        peering.remove(self._peering, outgoing.vm)
        self._remove_peer(outgoing.vm)

    # Links

    def send(self, vm, message):
        """Send a message to a daemon over its link, if there is one."""
        peer = self._peers.get(vm)
        if peer is not None:
            peer.link.send(message)

    def broadcast_far(self, message):
        """Send a message over the links to other failure domains."""
        for peer in self._peers.values():
            if peer.candidate.distance not in balancer.SAME_DOMAIN:
                peer.link.send(message)

    def nearby_daemons(self):
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

    def announcement_targets(self):
        """Return the VMs whose daemons a version is announced to."""
        near, far = [], []
        for vm, peer in self._peers.items():
            if peer.link.up:
                is_near = peer.candidate.distance in balancer.SAME_DOMAIN
                (near if is_near else far).append(vm)
        return distribution.successors(self._own_member.vm, near, far)

    # Periodic work

    def broadcast_load(self):
        """Report this gate's load to all daemons after a change of slots."""
        self._mark_load_reported()
        self.peer_server.broadcast(peerserver.load_message(self._egress))

    def _broadcast_load_change(self, now):
        """Report the load to nearby daemons when the gate fills or frees."""
        if now - self._load_reported_at < MIN_LOAD_INTERVAL_S:
            return
        load = self._egress.load()
        if balancer.has_room(load) == balancer.has_room(self._reported_load):
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
        guarded = backgroundtasks.run_guarded
        if self._peering_changed:
            guarded(self._update_far_links)
        for peer in tuple(self._peers.values()):
            guarded(peer.link.sweep, now)
        guarded(self.peer_server.sweep, now)
        guarded(self._answers.sweep, now)
        guarded(self._crash_reports.send_new)
        guarded(self._broadcast_load_change, now)
        guarded(self.version_exchange.sweep, now)
        guarded(self.freshness_exchange.sweep)
        if self.quotas is not None:
            guarded(self.quotas.sweep)
        if now - self._traffic_logged_at > TRAFFIC_LOG_INTERVAL_S:
            guarded(self._log_traffic, now)

    def _log_traffic(self, now):
        self._traffic_logged_at = now
        self._event_log.record(
            'link.traffic',
            links=self.linked_count,
            near=dict(self.traffic.near),
            far=dict(self.traffic.far),
        )

    def announce_shutdown(self):
        """Ask all other daemons to send no more offers."""
        if self.quotas is not None:
            self.quotas.stopping = True
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
        message.fetch_backlog_ms / _MS,
        message.track,
        message.waiting_calls,
    )


def _slower(one, other):
    """Return the megabits a second between two members; 0 if unknown."""
    return min(one.capacity, other.capacity)


def _unreachable_outcome():
    return attempts.Outcome(
        refusal=calls.Refusal(
            errors.Outcome.DID_NOT_RUN,
            calls.Reason.PEER_LOST,
            detail='the daemon is no longer a member of the fleet',
        )
    )
