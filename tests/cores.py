"""Cores driven by hand: a paused clock and a network that loses things."""

import asyncio
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


def step(number):
    """Return patch bytes that only fit version `number - 1`."""
    operations = [
        {'op': 'add', 'path': f'/services/s-{number}', 'value': {}},
        {
            'op': 'add',
            'path': f'/groups/g-{number}',
            'value': {'service': f's-{number}'},
        },
    ]
    if number > 1:
        operations.append({'op': 'remove', 'path': f'/groups/g-{number - 1}'})
    return versions.canonical(operations)


@dataclasses.dataclass(slots=True)
class Core:
    """One daemon's tables and what was seen of it from outside."""

    tables: core.Tables
    rng: random.Random
    served: list[int] = dataclasses.field(default_factory=list)


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
        self.domains = domains
        self.delay = delay
        self.rng = random.Random(seed)
        self.clock = clock.PausedClock()
        self.acceptance = acceptance.Acceptance(
            table.MemoryTable(), objects.MemoryObjects(self.clock), self.clock
        )
        self.loss = 0.0
        self.doubling = 0.0
        self.jitter = 0.0
        self.store_up = True
        self.cut = lambda one, other: False
        self.cores = {}
        self.served = {}
        self.events = []
        self.sent_bytes = 0
        self.store_reads = 0
        self._agenda = []
        self._order = itertools.count()
        self._incarnation = itertools.count(1)
        for index in range(count):
            self.start(index)

    @property
    def now(self):
        return self.clock.monotonic()

    def start(self, index):
        """Start the daemon of a VM without any state."""
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
        self.cores[me.peer_address] = Core(tables, random.Random(seed))
        self.served.setdefault(me.peer_address, [])
        self.gossip()

    def kill(self, index):
        """Stop the daemon of a VM at once."""
        self.cores.pop(member(index).peer_address, None)
        self.gossip()

    def core(self, index):
        """Return the tables of the daemon of a VM."""
        return self.cores[member(index).peer_address].tables

    def gossip(self):
        """Let every daemon know every other's record, the dead included."""
        records = {
            each.tables.membership.me.vm: each.tables.membership.me
            for each in self.cores.values()
        }
        for each in self.cores.values():
            self._tell(each.tables.membership, records)

    def run(self, seconds):
        """Advance in ticks, delivering what falls due."""
        until = self.now + seconds
        while self.now < until - 1e-9:
            self._deliver()
            for address in list(self.cores):
                self.feed(address, ())
            self.clock.advance(TICK_S)

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
        self.carry(address, list(core.tick(each.tables, context, inputs)))

    def accept(self, index, base=None):
        """Have an operator's next patch accepted at a VM's daemon."""
        head = self.wait(self.acceptance.head()).ok.number
        base = head if base is None else base
        found = asyncio.run(
            self.acceptance.submit(
                acceptance.Submission(
                    base, f'p-{base + 1}', step(base + 1), 'op'
                ),
                1.0,
            )
        )
        address = member(index).peer_address
        if found.is_ok() and address in self.cores:
            self.feed(address, [dispatch.Accepted(found.ok)])
        return found

    def wait(self, awaitable):
        """Return what a coroutine that never waits gives."""
        try:
            awaitable.send(None)
        except StopIteration as ended:
            return ended.value
        raise AssertionError('the in-memory store waited')

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
        outgoing = {}
        for effect in found:
            match effect:
                case effects.Send():
                    outgoing.setdefault(effect.to, []).append(effect.message)
                case effects.ReadHead():
                    self._store(address, self._head)
                case effects.FetchVersions():
                    self._store(address, self._fetch, effect)
                case effects.PutInForce():
                    self.served[address].append(effect.version.version.number)
                case effects.Record():
                    self.events.append((address, effect.event))
        for to, items in outgoing.items():
            self._send(address, to, items)

    def _tell(self, known, records):
        for vm, record in records.items():
            if vm != known.me.vm:
                known.members[vm] = record
        for vm in set(known.members) - set(records):
            known.members[vm] = msgspec.structs.replace(
                known.members[vm], state=messages.MemberState.DEAD
            )

    def _send(self, source, target, items):
        envelope = messages.Envelope(
            vm=source,
            incarnation=1,
            address=source,
            wall_ns=int(self.clock.wall() * 1e9),
            counter=0,
            messages=tuple(items),
        )
        data = messages.encode(envelope)
        self.sent_bytes += len(data)
        if self.rng.random() < self.loss:
            return
        copies = 2 if self.rng.random() < self.doubling else 1
        for _ in range(copies):
            late = self.jitter * self.rng.random()
            self._later(self.delay + late, target, data, source)

    def _store(self, address, call, *given):
        self.store_reads += 1
        answer = call(*given)
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

    def _later(self, seconds, address, item, source):
        if address not in self.cores:
            return
        incarnation = self.cores[address].tables.identity.incarnation
        due = self.now + seconds
        entry = (due, next(self._order), address, item, source, incarnation)
        heapq.heappush(self._agenda, entry)

    def _deliver(self):
        while self._agenda and self._agenda[0][0] <= self.now:
            _, _, address, item, source, born = heapq.heappop(self._agenda)
            if address not in self.cores:
                continue
            if source is None:
                incarnation = self.cores[address].tables.identity.incarnation
                # An answer of the store dies with the asking process.
                if incarnation == born:
                    self.feed(address, [item])
            elif not self.cut(source, address):
                self.feed(address, list(self._received(item)))

    def _received(self, data):
        envelope = messages.decode(data).ok
        for item in envelope.messages:
            yield dispatch.Received(
                envelope.address, envelope.incarnation, item
            )
