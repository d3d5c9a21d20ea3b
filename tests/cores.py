"""Decision cores on a paused clock and a simulated, lossy network."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import random

import msgspec

from jujubefold import clock
from jujubefold import core
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import effects
from jujubefold import identity
from jujubefold import membership
from jujubefold import messages
from jujubefold import objectstore
from jujubefold import settings
from jujubefold import table
from jujubefold import versions
from jujubefold import versionstore

TICK_S = 0.1
STORE_DELAY_S = 0.02
MEMBER_SYNC_S = 1.0


def member(index, domains=2, incarnation=1):
    """Return the record of the daemon on VM `index`."""
    return messages.Member(
        vm=f'vm-{index}',
        incarnation=incarnation,
        region=f'r-{index % domains % 2}',
        failure_domain=f'd-{index % domains}',
        peer_address=f'10.0.{index // 250}.{index % 250}:1',
        call_address=f'10.0.{index // 250}.{index % 250}:2',
    )


def version_patch(number, padding=0):
    """Return the bytes of a patch that applies only to version `number - 1`.

    Each version replaces the route's group and service, so that a version
    applied in part has a route without its group or service.
    """
    route = {'path': '/x', 'targets': [{'group': f'g-{number}'}]}
    new = {
        f'/services/s-{number}': {'health_path': '/' + 'h' * padding},
        f'/groups/g-{number}': {'service': f's-{number}'},
        '/routes/r': route,
    }
    operations = [
        {'op': 'add', 'path': path, 'value': value}
        for path, value in new.items()
    ]
    if number > 1:
        operations += [
            {'op': 'remove', 'path': f'/groups/g-{number - 1}'},
            {'op': 'remove', 'path': f'/services/s-{number - 1}'},
        ]
    return versions.canonical(operations)


def is_intact(held):
    """Return whether a version is complete and equals the accepted one."""
    number = held.version.number
    (route,) = held.mesh.routes
    groups = {target.group.name for target in route.targets}
    return (
        versions.digest(held.document) == held.version.digest
        and groups == {f'g-{number}'}
        and set(held.mesh.services) == {f's-{number}'}
        and held.mesh.number == number
    )


@dataclasses.dataclass(slots=True)
class Core:
    """One daemon's tables, random source, and messages by target address."""

    tables: core.Tables
    rng: random.Random
    outbox: dict[str, list] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Delivery:
    """A message or store answer in transit to a daemon.

    Args:
        due: Monotonic seconds at which it arrives.
        order: Number that orders deliveries with the same `due`.
        to: Peer address of the receiver.
        content: Bytes of an envelope, or an answer of the store.
        source: Sender's peer address, or None for the store.
        incarnation: Receiver's incarnation at the time of sending.
    """

    due: float
    order: int
    to: str = dataclasses.field(compare=False)
    content: object = dataclasses.field(compare=False)
    source: str | None = dataclasses.field(compare=False)
    incarnation: int = dataclasses.field(compare=False)


class Fleet:
    """Several cores, with the store and the network between them.

    Args:
        count: Number of daemons.
        options: `settings.Dissemination` of all daemons, or None.
        seed: Seed of all random decisions.
        domains: Number of failure domains.
        delay: Seconds that a message is in transit.
    """

    def __init__(self, count, options=None, seed=1, domains=2, delay=0.01):
        self.options = options or settings.Dissemination(start_jitter=0.5)
        self.count = count
        self.domains = domains
        self.delay = delay
        self.rng = random.Random(seed)
        self.clock = clock.PausedClock()
        self.version_store = versionstore.VersionStore(
            table.MemoryTable(),
            objectstore.MemoryObjectStore(self.clock),
            self.clock,
        )
        self.loss = 0.0
        self.duplication = 0.0
        self.jitter = 0.0
        self.store_up = True
        self.cut = lambda one, other: False
        self.drop = lambda source, target, item: False
        self.paused = set()
        self.cores = {}
        self.records = {}
        self._synced_records = {}
        self._synced_cut = None
        self._initialized = set()
        self.damaged = []
        self.checks_versions = True
        self.activations = []
        self.served = {}
        self.events = []
        self.sent_bytes = 0
        self.sent = collections.Counter()
        self.store_reads = 0
        self.store_bytes = 0
        self._deliveries = []
        self._next_member_sync_at = 0.0
        self._order = itertools.count()
        self._incarnation = itertools.count(1)
        for index in range(count):
            self._start(index)
        self.sync_members()

    @property
    def now(self):
        return self.clock.monotonic()

    def start(self, index):
        """Start a daemon on a VM, without state."""
        self._start(index)
        self.sync_members()

    def _start(self, index):
        local = member(index, self.domains, next(self._incarnation))
        held = dissemination.DisseminationTable(options=self.options)
        tables = core.Tables(
            identity.Identity(
                local.vm,
                local.region,
                local.failure_domain,
                local.peer_address,
                local.call_address,
                '',
                local.incarnation,
            ),
            membership.MembershipTable(local),
            held,
        )
        seed = self.rng.getrandbits(32)
        self._initialized.discard(local.peer_address)
        self.cores[local.peer_address] = Core(tables, random.Random(seed))
        self.served.setdefault(local.peer_address, [])

    def kill(self, index):
        """Kill the daemon of a VM without a drain."""
        address = member(index).peer_address
        self.cores.pop(address, None)
        self.paused.discard(address)
        self.sync_members()

    def core(self, index):
        """Return the tables of the daemon of a VM."""
        return self.cores[member(index).peer_address].tables

    def sync_members(self):
        """Copy all member records to every daemon, dead members included.

        Stands in for the membership protocol, which has its own tests.
        """
        if self._synced_cut is not self.cut:
            self._synced_cut = self.cut
            self._synced_records.clear()
        for address, daemon in self.cores.items():
            self.records[address] = daemon.tables.membership.local
        changed = [
            (address, record)
            for address, record in self.records.items()
            if self._synced_records.get(address)
            != (record, address in self.cores)
        ]
        for address, daemon in self.cores.items():
            is_new = address not in self._initialized
            self._initialized.add(address)
            for other, record in self.records.items() if is_new else changed:
                if other != address:
                    self._copy_record(address, daemon.tables, record)
        for address, record in changed:
            self._synced_records[address] = (record, address in self.cores)

    def _copy_record(self, address, tables, record):
        other = record.peer_address
        if other not in self.cores or self.cut(address, other):
            record = msgspec.structs.replace(
                record, state=messages.MemberState.DEAD
            )
        tables.joining.joined = True
        known = tables.membership.members.get(record.vm)
        tables.membership.members[record.vm] = record
        # A new member changes the table's size, which rebuilds the overlay.
        if known is not None and known.state is not record.state:
            tables.membership.liveness_changes.append(record.vm)

    def run(self, seconds):
        """Advance time in ticks, with the deliveries that fall due."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            if self.now >= self._next_member_sync_at:
                self._next_member_sync_at = self.now + MEMBER_SYNC_S
                self.sync_members()
            for address in sorted(set(self.cores) - self.paused):
                self.feed(address, ())
                self._send_outbox(address)
            self._run_deliveries(self.now + TICK_S)

    def run_until(self, condition, bound=120.0):
        """Advance time until a condition holds.

        Returns:
            Seconds that it took, or None when it took longer than `bound`.
        """
        started_at = self.now
        while not condition():
            if self.now - started_at > bound:
                return None
            self.run(TICK_S)
        return self.now - started_at

    def feed(self, address, inputs):
        """Apply inputs to one core and carry out its effects."""
        daemon = self.cores[address]
        context = dispatch.Context(self.now, self.clock.wall(), daemon.rng)
        produced = []
        for item in inputs:
            produced += dispatch.handle(item, daemon.tables, context)
        produced += dissemination.run(daemon.tables, context)
        self.perform(address, produced)

    def receive(self, index, sender, message):
        """Deliver a message to one core, with `sender` as its source."""
        item = dispatch.MessageReceived(sender, 1, message)
        self.feed(member(index).peer_address, [item])

    def submit_patch(self, index, base=None, padding=0, patch=None):
        """Submit an operator's next patch through a VM's daemon."""
        head = self.result_of(self.version_store.head()).ok.number
        base = head if base is None else base
        patch = patch or version_patch(base + 1, padding)
        result = asyncio.run(
            self.version_store.submit(
                versionstore.Submission(base, f'p-{base + 1}', patch, 'op'),
                1.0,
            )
        )
        address = member(index).peer_address
        if result.is_ok() and address in self.cores:
            self.feed(address, [dispatch.PatchAccepted(result.ok)])
        return result

    def result_of(self, awaitable):
        """Return the result of an awaitable that never suspends."""
        try:
            awaitable.send(None)
        except StopIteration as ended:
            return ended.value
        raise AssertionError(
            'the in-memory store suspended instead of returning at once'
        )

    def regressed(self):
        """Return addresses whose version in force ever decreased."""
        return [
            address
            for address, numbers in self.served.items()
            if numbers != sorted(numbers)
        ]

    def in_force(self):
        """Return the version in force of each running daemon."""
        return [
            daemon.tables.dissemination.in_force
            for daemon in self.cores.values()
        ]

    def converged(self):
        """Return whether all running daemons have the head in force."""
        head = self.result_of(self.version_store.head()).ok.number
        return set(self.in_force()) == {head}

    def perform(self, address, produced):
        """Carry out the effects of the core at an address."""
        outbox = self.cores[address].outbox
        urgent = {}
        for effect in produced:
            match effect:
                case effects.Send():
                    box = urgent if effect.urgent else outbox
                    if not self.drop(address, effect.to, effect.message):
                        box.setdefault(effect.to, []).append(effect.message)
                case effects.ReadHead():
                    self._store(address, self._read_head)
                case effects.FetchVersions():
                    self._store(address, self._fetch_versions, effect)
                case effects.ActivateVersion():
                    self._put_in_force(address, effect.version)
                case effects.RecordEvent():
                    self.events.append((address, effect.event))
        for to, items in urgent.items():
            self._send(address, to, items)

    def _send_outbox(self, address):
        outbox = self.cores[address].outbox
        for to, items in outbox.items():
            self._send(address, to, items)
        outbox.clear()

    def _put_in_force(self, address, held):
        self.served[address].append(held.version.number)
        self.activations.append((self.now, address, held.version.number))
        if self.checks_versions and not is_intact(held):
            self.damaged.append((address, held.version.number))

    def _send(self, source, target, items):
        local = self.cores[source].tables.membership.local
        envelope = messages.Envelope(
            vm=local.vm,
            incarnation=local.incarnation,
            address=source,
            wall_ns=int(self.clock.wall() * 1e9),
            counter=0,
            messages=tuple(items),
        )
        data = messages.encode(envelope)
        self.sent_bytes += len(data)
        self.sent.update(type(item).__name__ for item in items)
        if self.cut(source, target) or self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            extra_delay = self.jitter * self.rng.random()
            self._schedule(self.delay + extra_delay, target, data, source)

    def _store(self, address, call, *arguments):
        self.store_reads += 1
        answer = call(*arguments)
        self.store_bytes += len(msgspec.msgpack.encode(answer))
        self._schedule(STORE_DELAY_S, address, answer, None)

    def _read_head(self):
        if not self.store_up:
            return dispatch.HeadRead(None)
        return self.result_of(self.version_store.read_head())

    def _fetch_versions(self, effect):
        if not self.store_up:
            return dispatch.VersionsFetched(())
        return self.result_of(
            self.version_store.fetch(effect.after, effect.upto, effect.whole)
        )

    def _schedule(self, seconds, address, content, source):
        if address not in self.cores:
            return
        incarnation = self.cores[address].tables.identity.incarnation
        due = self.now + seconds
        order = next(self._order)
        entry = Delivery(due, order, address, content, source, incarnation)
        heapq.heappush(self._deliveries, entry)

    def _run_deliveries(self, until):
        """Make the deliveries due before `until`, then advance to it."""
        while self._deliveries and self._deliveries[0].due < until:
            item = heapq.heappop(self._deliveries)
            self.clock.advance(max(0.0, item.due - self.now))
            self._receive_delivery(item)
        self.clock.advance(until - self.now)

    def _receive_delivery(self, item):
        if item.to not in self.cores:
            return
        if item.to in self.paused:
            postponed = dataclasses.replace(item, due=self.now + TICK_S)
            heapq.heappush(self._deliveries, postponed)
        elif item.source is None:
            incarnation = self.cores[item.to].tables.identity.incarnation
            # An answer of the store is lost when its process has restarted.
            if incarnation == item.incarnation:
                self.feed(item.to, [item.content])
        elif not self.cut(item.source, item.to):
            self.feed(item.to, list(self._decode(item.content)))

    def _decode(self, data):
        envelope = messages.decode(data).ok
        for item in envelope.messages:
            yield dispatch.MessageReceived(
                envelope.address, envelope.incarnation, item
            )
