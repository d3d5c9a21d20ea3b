"""Cores driven by hand: a paused clock and a network that loses things."""

import asyncio
import collections
import dataclasses
import heapq
import itertools
import random

import msgspec

from jujubefold import acceptance
from jujubefold import clock
from jujubefold import core
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import effects
from jujubefold import identity
from jujubefold import membership
from jujubefold import messages
from jujubefold import objects
from jujubefold import settings
from jujubefold import table
from jujubefold import versions

TICK_S = 0.1
STORE_DELAY_S = 0.02
GOSSIP_S = 1.0


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
    """Return patch bytes that only fit version `number - 1`.

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


def is_whole(held):
    """Return whether a version is exactly what was accepted."""
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
    """One daemon's tables, its randomness and what leaves at a tick."""

    tables: core.Tables
    rng: random.Random
    outbox: dict[str, list] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Delivery:
    """Something under way to a daemon.

    Args:
        due: Monotonic seconds at which it arrives.
        content: An envelope's bytes, or an answer of the store.
        source: Sender's peer address, None for the store.
        incarnation: The receiver's when it was sent.
    """

    due: float
    order: int
    to: str = dataclasses.field(compare=False)
    content: object = dataclasses.field(compare=False)
    source: str | None = dataclasses.field(compare=False)
    incarnation: int = dataclasses.field(compare=False)


class Fleet:
    """Several cores, the store and the network between them.

    Args:
        count: Number of daemons.
        chosen: `settings.Dissemination` of all.
        seed: Seed of all chance.
        domains: Number of failure domains.
        delay: Seconds that a message takes.
    """

    def __init__(self, count, chosen=None, seed=1, domains=2, delay=0.01):
        self.options = chosen or settings.Dissemination(start_jitter=0.5)
        self.count = count
        self.domains = domains
        self.delay = delay
        self.rng = random.Random(seed)
        self.clock = clock.PausedClock()
        self.acceptance = acceptance.Acceptance(
            table.MemoryTable(), objects.MemoryObjects(self.clock), self.clock
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
        self._told = {}
        self._told_cut = None
        self._met = set()
        self.damaged = []
        self.checks_versions = True
        self.activations = []
        self.served = {}
        self.events = []
        self.sent_bytes = 0
        self.sent = collections.Counter()
        self.store_reads = 0
        self.store_bytes = 0
        self._agenda = []
        self._gossip_at = 0.0
        self._order = itertools.count()
        self._incarnation = itertools.count(1)
        for index in range(count):
            self._start(index)
        self.gossip()

    @property
    def now(self):
        return self.clock.monotonic()

    def start(self, index):
        """Start the daemon of a VM without any state."""
        self._start(index)
        self.gossip()

    def _start(self, index):
        me = member(index, self.domains, next(self._incarnation))
        held = dissemination.DisseminationTable(options=self.options)
        tables = core.Tables(
            identity.Identity(
                me.vm,
                me.region,
                me.failure_domain,
                me.peer_address,
                me.call_address,
                '',
                me.incarnation,
            ),
            membership.MembershipTable(me),
            held,
        )
        seed = self.rng.getrandbits(32)
        self._met.discard(me.peer_address)
        self.cores[me.peer_address] = Core(tables, random.Random(seed))
        self.served.setdefault(me.peer_address, [])

    def kill(self, index):
        """Stop the daemon of a VM at once."""
        address = member(index).peer_address
        self.cores.pop(address, None)
        self.paused.discard(address)
        self.gossip()

    def core(self, index):
        """Return the tables of the daemon of a VM."""
        return self.cores[member(index).peer_address].tables

    def gossip(self):
        """Let every daemon know all records, the dead ones included.

        Membership has its own tests; here its news just arrives.
        """
        if self._told_cut is not self.cut:
            self._told_cut = self.cut
            self._told.clear()
        for address, each in self.cores.items():
            self.records[address] = each.tables.membership.local
        news = [
            (address, record)
            for address, record in self.records.items()
            if self._told.get(address) != (record, address in self.cores)
        ]
        for address, each in self.cores.items():
            fresh = address not in self._met
            self._met.add(address)
            for other, record in self.records.items() if fresh else news:
                if other != address:
                    self._tell(address, each.tables, record)
        for address, record in news:
            self._told[address] = (record, address in self.cores)

    def _tell(self, address, tables, record):
        other = record.peer_address
        if other not in self.cores or self.cut(address, other):
            record = msgspec.structs.replace(
                record, state=messages.MemberState.DEAD
            )
        tables.joining.joined = True
        known = tables.membership.members.get(record.vm)
        tables.membership.members[record.vm] = record
        # A member that is new makes the overlay build anew.
        if known is not None and known.state is not record.state:
            tables.membership.liveness_changes.append(record.vm)

    def run(self, seconds):
        """Advance in ticks, delivering what falls due."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            if self.now >= self._gossip_at:
                self._gossip_at = self.now + GOSSIP_S
                self.gossip()
            for address in sorted(set(self.cores) - self.paused):
                self.feed(address, ())
                self._flush(address)
            self._deliver(self.now + TICK_S)

    def run_until(self, condition, bound=120.0):
        """Advance until a condition holds; return the seconds it took."""
        begun = self.now
        while not condition():
            if self.now - begun > bound:
                return None
            self.run(TICK_S)
        return self.now - begun

    def feed(self, address, inputs):
        """Tick one core with inputs and carry out its effects."""
        each = self.cores[address]
        context = dispatch.Context(self.now, self.clock.wall(), each.rng)
        found = []
        for item in inputs:
            found += dispatch.handle(item, each.tables, context)
        found += dissemination.run(each.tables, context)
        self.carry(address, found)

    def receive(self, index, sender, message):
        """Give one core a message as if it came from `sender`."""
        item = dispatch.MessageReceived(sender, 1, message)
        self.feed(member(index).peer_address, [item])

    def submit_patch(self, index, base=None, padding=0, patch=None):
        """Have an operator's next patch accepted at a VM's daemon."""
        head = self.wait(self.acceptance.head()).ok.number
        base = head if base is None else base
        patch = patch or version_patch(base + 1, padding)
        found = asyncio.run(
            self.acceptance.submit(
                acceptance.Submission(base, f'p-{base + 1}', patch, 'op'),
                1.0,
            )
        )
        address = member(index).peer_address
        if found.is_ok() and address in self.cores:
            self.feed(address, [dispatch.PatchAccepted(found.ok)])
        return found

    def wait(self, awaitable):
        """Return what a coroutine that never waits gives."""
        try:
            awaitable.send(None)
        except StopIteration as ended:
            return ended.value
        raise AssertionError('the in-memory store waited')

    def regressed(self):
        """Return addresses whose numbers in force ever went down."""
        return [
            address
            for address, numbers in self.served.items()
            if numbers != sorted(numbers)
        ]

    def in_force(self):
        """Return the numbers in force, one a running daemon."""
        return [
            each.tables.dissemination.in_force for each in self.cores.values()
        ]

    def converged(self):
        """Return whether all have the head in force."""
        head = self.wait(self.acceptance.head()).ok.number
        return set(self.in_force()) == {head}

    def carry(self, address, found):
        """Carry out effects of the core at an address."""
        outbox = self.cores[address].outbox
        urgent = {}
        for effect in found:
            match effect:
                case effects.Send():
                    box = urgent if effect.urgent else outbox
                    if not self.drop(address, effect.to, effect.message):
                        box.setdefault(effect.to, []).append(effect.message)
                case effects.ReadHead():
                    self._store(address, self._head)
                case effects.FetchVersions():
                    self._store(address, self._fetch, effect)
                case effects.ActivateVersion():
                    self._put_in_force(address, effect.version)
                case effects.RecordEvent():
                    self.events.append((address, effect.event))
        for to, items in urgent.items():
            self._send(address, to, items)

    def _flush(self, address):
        outbox = self.cores[address].outbox
        for to, items in outbox.items():
            self._send(address, to, items)
        outbox.clear()

    def _put_in_force(self, address, held):
        self.served[address].append(held.version.number)
        self.activations.append((self.now, address, held.version.number))
        if self.checks_versions and not is_whole(held):
            self.damaged.append((address, held.version.number))

    def _send(self, source, target, items):
        me = self.cores[source].tables.membership.local
        envelope = messages.Envelope(
            vm=me.vm,
            incarnation=me.incarnation,
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
            late = self.jitter * self.rng.random()
            self._later(self.delay + late, target, data, source)

    def _store(self, address, call, *given):
        self.store_reads += 1
        answer = call(*given)
        self.store_bytes += len(msgspec.msgpack.encode(answer))
        self._later(STORE_DELAY_S, address, answer, None)

    def _head(self):
        if not self.store_up:
            return dispatch.HeadRead(None)
        return self.wait(self.acceptance.read_head())

    def _fetch(self, effect):
        if not self.store_up:
            return dispatch.VersionsFetched(())
        return self.wait(
            self.acceptance.fetch(effect.after, effect.upto, effect.whole)
        )

    def _later(self, seconds, address, content, source):
        if address not in self.cores:
            return
        incarnation = self.cores[address].tables.identity.incarnation
        due = self.now + seconds
        order = next(self._order)
        entry = Delivery(due, order, address, content, source, incarnation)
        heapq.heappush(self._agenda, entry)

    def _deliver(self, until):
        """Deliver in order what falls due, then advance to `until`."""
        while self._agenda and self._agenda[0].due < until:
            item = heapq.heappop(self._agenda)
            self.clock.advance(max(0.0, item.due - self.now))
            self._arrive(item)
        self.clock.advance(until - self.now)

    def _arrive(self, item):
        if item.to not in self.cores:
            return
        if item.to in self.paused:
            late = dataclasses.replace(item, due=self.now + TICK_S)
            heapq.heappush(self._agenda, late)
        elif item.source is None:
            incarnation = self.cores[item.to].tables.identity.incarnation
            # An answer of the store dies with the asking process.
            if incarnation == item.incarnation:
                self.feed(item.to, [item.content])
        elif not self.cut(item.source, item.to):
            self.feed(item.to, list(self._received(item.content)))

    def _received(self, data):
        envelope = messages.decode(data).ok
        for item in envelope.messages:
            yield dispatch.MessageReceived(
                envelope.address, envelope.incarnation, item
            )
