"""Call nodes: daemons' call paths and upstreams in one test process."""

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

ANY_PORT = '127.0.0.1:0'
SERVICE = 'example'


def new_route(name, path, **extra):
    """Return a `mesh.Route` to all instances of the example service.

    Args:
        extra: Fields of the route to set instead of their defaults.
    """
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
    """One daemon's call path and, if it has one, its upstream.

    Args:
        upstream: The `example.Upstream`, or None.
        caller_address: Address of the port for callers, `ip:port`.
        events: Each `events.Event` that the call path recorded.
        completed: Each `callflow.CompletedCall`.
        configuration: The `mesh.Mesh` in force here instead of the fleet's,
            or None.
    """

    flow: callflow.CallFlow
    member: messages.Member
    gate_table: gate.GateTable
    upstream: example.Upstream | None = None
    caller_address: str = ''
    events: list = dataclasses.field(default_factory=list)
    completed: list = dataclasses.field(default_factory=list)
    configuration: mesh.Mesh | None = None


class Fleet:
    """Nodes that are members of one fleet.

    Args:
        configuration: The `mesh.Mesh` in force.
        claims: Returns the `claims.Claims` for a node's identity, or None.
        limits: A `callflow.Limits`, or None.
        budgets: Returns a new `budget.Budgets` for a node, or None.
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
        """Start a node and return it.

        Args:
            slots: Requests that its upstream runs at once.
            upstream: Whether it has an upstream.
            behaviour: The upstream's `example.Behaviour`, or None.
        """
        number = len(self.nodes) + 1
        gate_table = gate.new_gate(slots)
        rng = random.Random(number)
        node_identity = identity.Identity(
            f'vm{number}', 'here', 'a', '', '', '', number
        )
        node = Node(None, None, gate_table)
        node.flow = callflow.CallFlow(
            identity=node_identity,
            clock=self.clock,
            rng=rng,
            mesh_in_force=lambda: node.configuration or self.mesh,
            live_members=lambda: self.other_members(node),
            own_member=lambda: node.member,
            gate_table=gate_table,
            routing_table=routing.new_routing(rng),
            claims=self._claims(node_identity) if self._claims else None,
            observe=node.completed.append,
            record=node.events.append,
            limits=self._limits,
            budgets=self._budgets() if self._budgets else None,
        )
        node.caller_address, peer = await node.flow.start(ANY_PORT, ANY_PORT)
        node.member = messages.Member(
            vm=node_identity.vm,
            incarnation=node_identity.incarnation,
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
            node.flow.upstream_address = await node.upstream.start(ANY_PORT)
            self.set_upstream_state(node, messages.UpstreamState.SERVING)
        self._members.clear()
        return node

    def set_upstream_state(self, node, state):
        """Set the state of a node's upstream at its gate and in its member."""
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

    def other_members(self, node):
        """Return the members of all other nodes."""
        cached = self._members.get(node)
        if cached is None:
            cached = self._members[node] = tuple(
                other.member for other in self.nodes if other is not node
            )
        return cached

    def refresh_members(self):
        """Make all nodes read the members again after a change."""
        self._members.clear()

    async def stop(self, grace=0.0):
        """Stop all nodes and kill their upstreams.

        Args:
            grace: Seconds to wait for running requests.
        """
        for node in self.nodes:
            await node.flow.stop(grace)
            if node.upstream is not None:
                await node.upstream.kill()


class FaultyLink:
    """A TCP proxy that injects connection faults.

    Args:
        target: `ip:port` that connections are forwarded to.

    Attributes:
        lose_answers: Number of further answers with status 200 at which the
            connection is closed instead of forwarding them.
    """

    def __init__(self, target):
        self.target = target
        self.lose_answers = 0
        self._tasks = set()
        self._writers = set()
        self._stalled = set()

    async def start(self):
        """Listen on a free port and return its `ip:port`."""
        self._server = await asyncio.start_server(self._relay, '127.0.0.1', 0)
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def stall(self):
        """Stop forwarding on the current connections, but keep them open."""
        self._stalled |= self._writers

    def abort_all(self):
        """Abort the current connections."""
        for writer in self._writers:
            writer.transport.abort()

    async def stop(self):
        """Stop listening and abort all connections."""
        self._server.close()
        self.abort_all()
        for task in self._tasks:
            task.cancel()

    async def _relay(self, reader, writer):
        host, _, port = self.target.rpartition(':')
        try:
            upstream_side = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        pair = (writer, upstream_side[1])
        self._writers.update(pair)
        for source, sink, is_answer in (
            (reader, upstream_side[1], False),
            (upstream_side[0], writer, True),
        ):
            task = asyncio.ensure_future(
                self._pump(source, sink, pair, is_answer)
            )
            self._tasks.add(task)

    async def _pump(self, source, sink, pair, is_answer):
        try:
            while data := await source.read(65536):
                if sink in self._stalled:
                    continue
                if is_answer and self.lose_answers and b' 200 ' in data:
                    self.lose_answers -= 1
                    break
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            pass
        if not self._stalled.intersection(pair):
            for writer in pair:
                writer.transport.abort()
        self._writers.difference_update(pair)


class Caller:
    """A caller with keep-alive connections to one node.

    Args:
        address: `ip:port` of the node.
        clock_: A `clock.Clock`, or None for the system clock.
    """

    def __init__(self, address, clock_=None):
        self.pool = callclient.Pool(
            address,
            1000,
            clock_ or clock.SystemClock(),
            bodymemory.Budget(1 << 30),
            1 << 28,
        )

    async def send(self, method='GET', path='/x', pieces=(), **headers):
        """Send a request and return its answer or a `callclient.Failure`.

        Args:
            pieces: Body in order.
            headers: Header values by name, with `_` for `-`.
        """
        connection = await self.pool.acquire(5)
        if isinstance(connection, callclient.Failure):
            return connection
        pairs = [(b'host', headers.pop('host', 'example').encode())]
        for name, value in headers.items():
            pairs.append(
                (name.replace('_', '-').encode(), str(value).encode())
            )
        size = sum(len(piece) for piece in pieces)
        message = callclient.ClientRequest(
            method, path.encode(), pairs, list(pieces), size
        )
        head = callclient.encode_head(message)
        bounds = callclient.ExchangeLimits(float('inf'), float('inf'))
        done = connection.start(message, head, bounds)
        try:
            answer = await done
        except asyncio.CancelledError:
            connection.abort()
            raise
        return answer


def outcome(answer):
    """Return the outcome and the reason in an answer's headers."""
    fields = dict(answer.headers)
    return (
        fields.get(b'jujubefold-outcome', b'').decode(),
        fields.get(b'jujubefold-reason', b'none').decode(),
    )
