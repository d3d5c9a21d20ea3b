"""Simulated fleet: daemon cores on a paused clock and a lossy network."""

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
    """A daemon's core, and the state that its runtime would keep.

    Args:
        fleet: The `Fleet` that it belongs to.
        own_identity: An `identity.Identity`.
        contacts: Peer addresses to join through.
    """

    def __init__(self, fleet, own_identity, contacts=()):
        self.tables = core.Tables(
            own_identity,
            membership.new_table(own_identity, contacts),
            dissemination.DisseminationTable(),
        )
        self.events = []
        self.paused = False
        self.stopped = ''
        self._fleet = fleet
        self._rng = random.Random(own_identity.vm)

    @property
    def vm(self):
        return self.tables.identity.vm

    @property
    def address(self):
        return self.tables.identity.peer_address

    @property
    def table(self):
        return self.tables.membership

    def state_of(self, vm):
        """Return the member state that it has recorded of a VM, or None."""
        member = self.table.members.get(vm)
        return None if member is None else member.state

    def live_vms(self):
        """Return the names of the VMs that it considers live."""
        return {member.vm for member in membership.live_members(self.table)}

    def tick(self, *inputs):
        """Run one tick with the given inputs and return its effects."""
        now = self._fleet.clock.monotonic()
        wall = self._fleet.clock.wall()
        context = dispatch.Context(now, wall, self._rng)
        return list(core.tick(self.tables, context, inputs))


class Fleet:
    """Simulated daemons on a paused clock and a network with faults.

    Args:
        seed: Seed of losses and delays.
        loss: Probability that a message is lost, in each direction.
        delay: Maximum one-way delay in seconds.
    """

    def __init__(self, seed=1, loss=0.0, delay=0.003):
        self.clock = clock.PausedClock()
        self.daemons = {}
        self.blocked = set()
        self.sent = []
        self.contact_reads = []
        self.contact_writes = []
        self.contact_rows = {}
        self.store_up = True
        self.daemon_class = Daemon
        self.loss = loss
        self._delay = delay
        self._rng = random.Random(seed)
        self._by_address = {}
        self._queue = []
        self._order = itertools.count()

    def add(self, vm, domain='d1', region='r1', contacts=(), address=None):
        """Start a daemon; without `address` it gets a generated one."""
        number = len(self.daemons) + 1
        peer = address or f'10.0.{number // 250}.{number % 250}:1'
        incarnation = int(self.clock.wall() * 1000) << 16 | number
        own_identity = identity.Identity(
            vm, region, domain, peer, peer, peer, incarnation
        )
        daemon = self.daemon_class(self, own_identity, contacts)
        self.daemons[daemon.vm] = daemon
        self._by_address[peer] = daemon
        self._schedule(self._rng.uniform(0, TICK_S), self._tick, daemon)
        return daemon

    def add_daemons(self, count, domains=3, regions=1):
        """Start `count` daemons that join through the first three."""
        contacts = tuple(f'10.0.0.{index}:1' for index in (1, 2, 3))
        for index in range(count):
            domain = f'd{index % domains}'
            region = f'r{index % domains % regions}'
            self.add(f'vm-{index:04}', domain, region, contacts)

    def kill(self, *vms):
        """Stop daemons abruptly, without a message to the others."""
        for vm in vms:
            del self.daemons[vm]

    def pause(self, vm, seconds):
        """Pause one daemon's process for a number of seconds."""
        daemon = self.daemons[vm]
        daemon.paused = True
        self._schedule(seconds, setattr, daemon, 'paused', False)

    def block(self, sources, targets):
        """Lose every message from one group of VMs to another."""
        self.blocked |= set(itertools.product(sources, targets))

    def unblock_all(self):
        self.blocked.clear()

    def run(self, seconds):
        """Advance the simulated time."""
        end = self.clock.monotonic() + seconds
        while self._queue and self._queue[0][0] <= end:
            at, _, callback, arguments = heapq.heappop(self._queue)
            self.clock.advance(max(0.0, at - self.clock.monotonic()))
            callback(*arguments)
        self.clock.advance(end - self.clock.monotonic())

    def run_until(self, condition, limit, interval=0.1):
        """Advance the simulated time until a condition holds.

        Args:
            condition: Function without arguments.
            limit: Most seconds to simulate.
            interval: Seconds between checks of the condition.

        Returns:
            Simulated seconds until it held, or None when `limit` was
            reached.
        """
        for count in range(int(limit / interval) + 1):
            if condition():
                return count * interval
            self.run(interval)
        return None

    def is_converged(self):
        """Return whether all daemons see exactly the running ones live."""
        names = set(self.daemons)
        return all(
            daemon.live_vms() == names - {daemon.vm}
            for daemon in self.daemons.values()
        )

    def events(self, name):
        """Return all events of a name as tuples `(time, vm, event)`."""
        return [
            (at, daemon.vm, event)
            for daemon in self.daemons.values()
            for at, event in daemon.events
            if event.name == name
        ]

    def apply_effects(self, daemon, produced_effects):
        """Carry out effects as the runtime of a daemon does."""
        sends = []
        for effect in produced_effects:
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

    def _schedule(self, delay, callback, *arguments):
        at = self.clock.monotonic() + delay
        heapq.heappush(
            self._queue, (at, next(self._order), callback, arguments)
        )

    def _tick(self, daemon):
        if not self._running(daemon) or daemon.stopped:
            return
        if not daemon.paused:
            self.apply_effects(daemon, daemon.tick())
        self._schedule(TICK_S, self._tick, daemon)

    def _send(self, daemon, batch):
        envelope = self._envelope(daemon, batch.messages)
        self.sent.append((self.clock.monotonic(), daemon.vm, envelope))
        if self._lost(daemon.vm, self._vm_at(batch.to)):
            self._schedule(
                SEND_TIMEOUT_S, self._report_failure, daemon, batch.to
            )
            return
        deadline = self.clock.monotonic() + SEND_TIMEOUT_S
        self._schedule(
            self._random_delay(),
            self._receive,
            daemon,
            batch.to,
            envelope,
            deadline,
        )

    def _receive(self, source, to, envelope, deadline):
        daemon = self.daemons.get(self._vm_at(to))
        left = deadline - self.clock.monotonic()
        if daemon is None or daemon.stopped or left <= 0:
            self._schedule(max(0.0, left), self._report_failure, source, to)
            return
        if daemon.paused:
            # The kernel of a paused process keeps a message until the
            # process runs again.
            self._schedule(
                PAUSE_CHECK_S, self._receive, source, to, envelope, deadline
            )
            return
        split = batching.split_answer(
            daemon.tick(*self._inputs(envelope)), envelope.address
        )
        self.apply_effects(daemon, split.remaining)
        answer = self._envelope(daemon, split.answer)
        self.sent.append((self.clock.monotonic(), daemon.vm, answer))
        if self._lost(daemon.vm, source.vm):
            self._schedule(SEND_TIMEOUT_S, self._report_failure, source, to)
        else:
            self._schedule(
                self._random_delay(), self._receive_answer, source, answer
            )

    def _receive_answer(self, daemon, envelope):
        if not self._running(daemon) or not envelope.messages:
            return
        if daemon.paused:
            self._schedule(
                PAUSE_CHECK_S, self._receive_answer, daemon, envelope
            )
        else:
            self.apply_effects(daemon, daemon.tick(*self._inputs(envelope)))

    def _report_failure(self, daemon, address):
        if not self._running(daemon):
            return
        if daemon.paused:
            self._schedule(
                PAUSE_CHECK_S, self._report_failure, daemon, address
            )
        else:
            self.apply_effects(
                daemon, daemon.tick(dispatch.ExchangeFailed(address))
            )

    def _inputs(self, envelope):
        return [
            dispatch.MessageReceived(
                envelope.address, envelope.incarnation, message
            )
            for message in envelope.messages
        ]

    def _envelope(self, daemon, content):
        own = daemon.tables.identity
        return messages.Envelope(
            own.vm, own.incarnation, own.peer_address, 0, 0, content
        )

    def _random_delay(self):
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
        self.contact_reads.append(self.clock.monotonic())
        rows = tuple(self.contact_rows.get(slot, '') for slot in range(16))
        answer = dispatch.ContactsRead(rows if self.store_up else None)
        self._schedule(0.005, self._deliver, daemon, answer)

    def _write_contact(self, daemon, slot):
        self.contact_writes.append(self.clock.monotonic())
        if self.store_up:
            self.contact_rows[slot] = daemon.address

    def _deliver(self, daemon, item):
        if self._running(daemon):
            self.apply_effects(daemon, daemon.tick(item))
