"""Daemons' call paths and upstreams in one process, for tests."""

import asyncio
import dataclasses
import random

from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import callflow
from jujubefold import clock
from jujubefold import example
from jujubefold import gate
from jujubefold import identity
from jujubefold import mesh
from jujubefold import messages
from jujubefold import routing

ANY = '127.0.0.1:0'
SERVICE = 'example'


def new_route(name, path, **extra):
    """Return a route to the example service."""
    group = mesh.EndpointGroup('all', SERVICE)
    values = {
        'host': '*',
        'methods': (),
        'targets': (mesh.Target(group),),
        'retry': mesh.RetryPolicy(),
        'limit': mesh.LimitPolicy(),
        'timeout': mesh.TimeoutPolicy(),
        'headers': mesh.HeaderRule(),
    }
    return mesh.Route(name=name, path=path, **(values | extra))


MESH = mesh.Mesh(
    number=7,
    routes=(
        new_route('keyed', '/orders', requires_key=True),
        new_route(
            'quick',
            '/quick',
            timeout=mesh.TimeoutPolicy(request=1.0, attempt=0.3),
        ),
        new_route('small', '/small', limit=mesh.LimitPolicy(body_bytes=1000)),
        new_route('all', '/'),
    ),
)


@dataclasses.dataclass(eq=False)
class Node:
    """One daemon's call path, with an upstream when it has one.

    Args:
        configuration: What it has in force instead of the fleet's, or None.
    """

    flow: callflow.CallFlow
    member: messages.Member
    gate_table: gate.GateTable
    upstream: example.Upstream | None = None
    caller_address: str = ''
    events: list = dataclasses.field(default_factory=list)
    seen: list = dataclasses.field(default_factory=list)
    configuration: mesh.Mesh | None = None


class Fleet:
    """Nodes that know each other.

    Args:
        claims: Called with a node's identity, returns its claims, or None.
        limits: A `callflow.Limits`, or None.
        budgets: Returns a node's `budget.Budgets`, or None.
    """

    def __init__(
        self, configuration=MESH, claims=None, limits=None, budgets=None
    ):
        self.nodes = []
        self.mesh = configuration
        self.clock = clock.SystemClock()
        self._claims = claims
        self._limits = limits
        self._budgets = budgets
        self._members = {}

    async def add(self, slots=6, upstream=True, behaviour=None):
        """Start a node and return it."""
        number = len(self.nodes) + 1
        gate_table = gate.new_gate(slots)
        rng = random.Random(number)
        who = identity.Identity(f'vm{number}', 'here', 'a', '', '', '', number)
        node = Node(None, None, gate_table)
        node.flow = callflow.CallFlow(
            identity=who,
            clock=self.clock,
            rng=rng,
            mesh_in_force=lambda: node.configuration or self.mesh,
            live_members=lambda: self.others(node),
            own_member=lambda: node.member,
            gate_table=gate_table,
            routing_table=routing.new_routing(rng),
            claims=self._claims(who) if self._claims else None,
            observe=node.seen.append,
            record=node.events.append,
            limits=self._limits,
            budgets=self._budgets() if self._budgets else None,
        )
        node.caller_address, peer = await node.flow.start(ANY, ANY)
        node.member = messages.Member(
            vm=who.vm,
            incarnation=who.incarnation,
            region='here',
            failure_domain='a',
            peer_address='',
            call_address=peer,
        )
        self.nodes.append(node)
        if upstream:
            node.upstream = example.Upstream(
                behaviour or example.Behaviour(slots=slots),
                crash=lambda: asyncio.ensure_future(node.upstream.kill()),
            )
            node.flow.upstream_address = await node.upstream.start(ANY)
            self.announce(node, messages.UpstreamState.SERVING)
        self._members.clear()
        return node

    def announce(self, node, state):
        """Tell the node and the others what its upstream is."""
        now = self.clock.monotonic()
        slots = node.gate_table.slots
        admitted = gate.set_upstream(node.gate_table, state, slots, now)
        node.flow.upstream_changed(admitted)
        node.member = messages.Member(
            **{
                name: getattr(node.member, name)
                for name in node.member.__struct_fields__
            }
            | {'service': SERVICE, 'upstream_state': state, 'slots': slots}
        )
        self._members.clear()

    def others(self, node):
        """Return the members that a node sees."""
        found = self._members.get(node)
        if found is None:
            found = self._members[node] = tuple(
                other.member for other in self.nodes if other is not node
            )
        return found

    def forget_members(self):
        """Show nodes what changed about the others."""
        self._members.clear()

    async def stop(self, grace=0.0):
        """Stop all nodes and upstreams."""
        for node in self.nodes:
            await node.flow.stop(grace)
            if node.upstream is not None:
                await node.upstream.kill()


class Link:
    """A path between two ends that tests damage.

    Args:
        target: `ip:port` that it leads to.
    """

    def __init__(self, target):
        self.target = target
        self.lose_answers = 0
        self._tasks = set()
        self._writers = set()
        self._silent = set()

    async def start(self):
        """Return the address of this end."""
        self._server = await asyncio.start_server(self._relay, '127.0.0.1', 0)
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def go_silent(self):
        """Carry nothing more on the connections of now."""
        self._silent |= self._writers

    def cut(self):
        """Close the connections of now."""
        for writer in self._writers:
            writer.transport.abort()

    async def stop(self):
        """Close all."""
        self._server.close()
        self.cut()
        for task in self._tasks:
            task.cancel()

    async def _relay(self, reader, writer):
        host, _, port = self.target.rpartition(':')
        try:
            far = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, far[1])
        self._writers.update(pair)
        for source, sink, back in (
            (reader, far[1], False),
            (far[0], writer, True),
        ):
            task = asyncio.ensure_future(self._pump(source, sink, pair, back))
            self._tasks.add(task)

    async def _pump(self, source, sink, pair, back):
        try:
            while data := await source.read(65536):
                if sink in self._silent:
                    continue
                if back and self.lose_answers and b' 200 ' in data:
                    self.lose_answers -= 1
                    break
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            pass
        if not self._silent.intersection(pair):
            for writer in pair:
                writer.transport.abort()
        self._writers.difference_update(pair)


class Caller:
    """A caller with keep-alive connections to one node."""

    def __init__(self, address, clock_=None):
        self.pool = callclient.Pool(
            address,
            1000,
            clock_ or clock.SystemClock(),
            bodymemory.Budget(1 << 30),
            1 << 28,
        )

    async def send(self, method='GET', path='/x', pieces=(), **headers):
        """Return the answer, or how it failed.

        Args:
            headers: Names with `_` for `-`.
        """
        found = await self.pool.acquire(5)
        if isinstance(found, callclient.Failure):
            return found
        pairs = [(b'host', headers.pop('host', 'example').encode())]
        for name, value in headers.items():
            pairs.append(
                (name.replace('_', '-').encode(), str(value).encode())
            )
        size = sum(len(piece) for piece in pieces)
        message = callclient.OutboundRequest(
            method, path.encode(), pairs, list(pieces), size
        )
        head = callclient.encode_head(message)
        bounds = callclient.ExchangeLimits(float('inf'), float('inf'))
        done = found.start(message, head, bounds)
        try:
            answer = await done
        except asyncio.CancelledError:
            found.abort()
            raise
        return answer


def outcome(answer):
    """Return outcome and reason that an answer states."""
    fields = dict(answer.headers)
    return (
        fields.get(b'jujubefold-outcome', b'').decode(),
        fields.get(b'jujubefold-reason', b'none').decode(),
    )
