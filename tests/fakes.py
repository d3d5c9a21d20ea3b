"""Fakes shared by tests: cores wired by a network that loses messages."""

import heapq
import itertools
import random

from jujubefold import batching
from jujubefold import clock
from jujubefold import core
from jujubefold import dispatch
from jujubefold import dissemination
from jujubefold import effects
from jujubefold import identity
from jujubefold import membership
from jujubefold import messages

SEND_TIMEOUT_S = 2.0
TICK_S = 0.1
PAUSE_CHECK_S = 0.05


class Daemon:
    """One core, with what its shell would remember.

    Args:
        fleet: The `Fleet` it belongs to.
        who: An `identity.Identity`.
        contacts: Peer addresses to join through.
    """

    def __init__(self, fleet, who, contacts=()):
        self.tables = core.Tables(
            who,
            membership.new_table(who, contacts),
            dissemination.DisseminationTable(),
        )
        self.events = []
        self.paused = False
        self.stopped = ''
        self._fleet = fleet
        self._rng = random.Random(who.vm)

    @property
    def vm(self):
        return self.tables.identity.vm

    @property
    def address(self):
        return self.tables.identity.peer_address

    @property
    def table(self):
        return self.tables.membership

    def sees(self, vm):
        """Return the state this daemon holds of a VM, or None."""
        member = self.table.members.get(vm)
        return None if member is None else member.state

    def alive(self):
        """Return the names of the VMs it holds live."""
        return {member.vm for member in membership.live_members(self.table)}

    def tick(self, *inputs):
        """Run one tick and return its effects."""
        now = self._fleet.clock.monotonic()
        wall = self._fleet.clock.wall()
        context = dispatch.Context(now, wall, self._rng)
        return list(core.tick(self.tables, context, inputs))


class Fleet:
    """Daemons on a paused clock and a network with faults.

    Args:
        seed: Seed of losses and delays.
        loss: Share of exchanges lost, each way.
        delay: Most seconds one way.
    """

    def __init__(self, seed=1, loss=0.0, delay=0.003):
        self.clock = clock.PausedClock()
        self.daemons = {}
        self.blocked = set()
        self.sent = []
        self.reads = []
        self.writes = []
        self.store = {}
        self.store_up = True
        self.make = Daemon
        self.loss = loss
        self._delay = delay
        self._rng = random.Random(seed)
        self._by_address = {}
        self._queue = []
        self._order = itertools.count()

    def add(self, vm, domain='d1', region='r1', contacts=(), address=None):
        """Start a daemon; its address defaults to one made of its name."""
        number = len(self.daemons) + 1
        peer = address or f'10.0.{number // 250}.{number % 250}:1'
        incarnation = int(self.clock.wall() * 1000) << 16 | number
        who = identity.Identity(
            vm, region, domain, peer, peer, peer, incarnation
        )
        daemon = self.make(self, who, contacts)
        self.daemons[daemon.vm] = daemon
        self._by_address[peer] = daemon
        self._at(self._rng.uniform(0, TICK_S), self._tick, daemon)
        return daemon

    def grow(self, count, domains=3, regions=1):
        """Start `count` daemons that join through the first ones."""
        contacts = tuple(f'10.0.0.{index}:1' for index in (1, 2, 3))
        for index in range(count):
            domain = f'd{index % domains}'
            region = f'r{index % domains % regions}'
            self.add(f'vm-{index:04}', domain, region, contacts)

    def kill(self, *vms):
        """End daemons without a word."""
        for vm in vms:
            del self.daemons[vm]

    def pause(self, vm, seconds):
        """Stop one process for a while."""
        daemon = self.daemons[vm]
        daemon.paused = True
        self._at(seconds, setattr, daemon, 'paused', False)

    def block(self, sources, targets):
        """Lose everything from one group of VMs to another."""
        self.blocked |= set(itertools.product(sources, targets))

    def heal(self):
        self.blocked.clear()

    def run(self, seconds):
        """Let time pass."""
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, step, arguments = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            step(*arguments)
        self.clock.advance(end - self.clock.monotonic())

    def run_until(self, condition, limit, step=0.1):
        """Let time pass until a condition holds.

        Returns:
            Seconds passed, or None when the limit was reached.
        """
        for count in range(int(limit / step) + 1):
            if condition():
                return count * step
            self.run(step)
        return None

    def whole(self):
        """Return whether everyone sees exactly the running daemons."""
        names = set(self.daemons)
        return all(
            daemon.alive() == names - {daemon.vm}
            for daemon in self.daemons.values()
        )

    def events(self, name):
        """Return all events of that name, with time and daemon."""
        return [
            (at, daemon.vm, event)
            for daemon in self.daemons.values()
            for at, event in daemon.events
            if event.name == name
        ]

    def carry(self, daemon, produced):
        """Do what the shell would do with effects."""
        sends = []
        for effect in produced:
            match effect:
                case effects.Send():
                    sends.append(effect)
                case effects.RecordEvent():
                    now = self.clock.monotonic()
                    daemon.events.append((now, effect.event))
                case effects.Stop():
                    daemon.stopped = effect.reason
                case effects.ReadContacts():
                    self._read_contacts(daemon)
                case effects.WriteContact():
                    self._write_contact(daemon, effect.slot)
        for batch in batching.batch_sends(sends):
            self._send(daemon, batch)

    def _running(self, daemon):
        return self.daemons.get(daemon.vm) is daemon

    def _at(self, delay, step, *arguments):
        at = self.clock.monotonic() + delay
        heapq.heappush(self._queue, (at, next(self._order), step, arguments))

    def _tick(self, daemon):
        if not self._running(daemon) or daemon.stopped:
            return
        if not daemon.paused:
            self.carry(daemon, daemon.tick())
        self._at(TICK_S, self._tick, daemon)

    def _send(self, daemon, batch):
        envelope = self._envelope(daemon, batch.messages)
        self.sent.append((self.clock.monotonic(), daemon.vm, envelope))
        if self._lost(daemon.vm, self._vm_at(batch.to)):
            self._at(SEND_TIMEOUT_S, self._fail, daemon, batch.to)
            return
        give_up = self.clock.monotonic() + SEND_TIMEOUT_S
        self._at(
            self._one_way(), self._receive, daemon, batch.to, envelope, give_up
        )

    def _receive(self, source, to, envelope, give_up):
        daemon = self.daemons.get(self._vm_at(to))
        left = give_up - self.clock.monotonic()
        if daemon is None or daemon.stopped or left <= 0:
            self._at(max(0.0, left), self._fail, source, to)
            return
        if daemon.paused:
            # The receiver's kernel keeps it until the process runs again.
            self._at(
                PAUSE_CHECK_S, self._receive, source, to, envelope, give_up
            )
            return
        split = batching.split_answer(
            daemon.tick(*self._inputs(envelope)), envelope.address
        )
        self.carry(daemon, split.remaining)
        answer = self._envelope(daemon, split.answer)
        self.sent.append((self.clock.monotonic(), daemon.vm, answer))
        if self._lost(daemon.vm, source.vm):
            self._at(SEND_TIMEOUT_S, self._fail, source, to)
        else:
            self._at(self._one_way(), self._answer, source, answer)

    def _answer(self, daemon, envelope):
        if not self._running(daemon) or not envelope.messages:
            return
        if daemon.paused:
            self._at(PAUSE_CHECK_S, self._answer, daemon, envelope)
        else:
            self.carry(daemon, daemon.tick(*self._inputs(envelope)))

    def _fail(self, daemon, address):
        if not self._running(daemon):
            return
        if daemon.paused:
            self._at(PAUSE_CHECK_S, self._fail, daemon, address)
        else:
            self.carry(daemon, daemon.tick(dispatch.ExchangeFailed(address)))

    def _inputs(self, envelope):
        return [
            dispatch.MessageReceived(
                envelope.address, envelope.incarnation, message
            )
            for message in envelope.messages
        ]

    def _envelope(self, daemon, content):
        who = daemon.tables.identity
        return messages.Envelope(
            who.vm, who.incarnation, who.peer_address, 0, 0, content
        )

    def _one_way(self):
        return self._rng.uniform(0, self._delay)

    def _lost(self, source, target):
        if (source, target) in self.blocked:
            return True
        return self._rng.random() < self.loss

    def _vm_at(self, address):
        daemon = self._by_address.get(address)
        if daemon is None or daemon.vm not in self.daemons:
            return ''
        return daemon.vm

    def _read_contacts(self, daemon):
        self.reads.append(self.clock.monotonic())
        rows = tuple(self.store.get(slot, '') for slot in range(16))
        answer = dispatch.ContactsRead(rows if self.store_up else None)
        self._at(0.005, self._deliver, daemon, answer)

    def _write_contact(self, daemon, slot):
        self.writes.append(self.clock.monotonic())
        if self.store_up:
            self.store[slot] = daemon.address

    def _deliver(self, daemon, item):
        if self._running(daemon):
            self.carry(daemon, daemon.tick(item))
