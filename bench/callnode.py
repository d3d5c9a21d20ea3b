"""Runs the call path of a daemon, without its other parts, as a process."""

import asyncio
import cProfile
import json
import random
import signal
import typing

import typer

from jujubefold import callflow
from jujubefold import clock
from jujubefold import gate
from jujubefold import identity
from jujubefold import mesh
from jujubefold import messages
from jujubefold import routing

ANY = '127.0.0.1:0'
SERVICE = 'example'


def new_mesh():
    """Return a configuration with one route to the example service."""
    route = mesh.Route(
        name='all',
        host='*',
        path='/',
        methods=(),
        targets=(mesh.Target(mesh.EndpointGroup('all', SERVICE)),),
        retry=mesh.RetryPolicy(),
        limit=mesh.LimitPolicy(queue=256),
        timeout=mesh.TimeoutPolicy(),
        headers=mesh.HeaderRule(),
    )
    return mesh.Mesh(1, (route,))


def _member(vm, address, slots):
    serving = messages.UpstreamState.SERVING
    return messages.Member(
        vm=vm,
        incarnation=1,
        region='here',
        failure_domain='a',
        peer_address='',
        call_address=address,
        service=SERVICE if slots else '',
        upstream_state=serving if slots else messages.UpstreamState.ABSENT,
        slots=slots,
    )


async def _run(vm, upstream, slots, peer, peer_slots, profile):
    system = clock.SystemClock()
    rng = random.Random(1)
    table = gate.new_gate(slots, 256)
    configuration = new_mesh()
    others = (_member('other', peer, peer_slots),) if peer else ()
    own_member = _member(vm, '', slots if upstream else 0)
    flow = callflow.CallFlow(
        identity=identity.Identity(vm, 'here', 'a', '', '', '', 1),
        clock=system,
        rng=rng,
        mesh_in_force=lambda: configuration,
        live_members=lambda: others,
        own_member=lambda: own_member,
        gate_table=table,
        routing_table=routing.new_routing(rng),
    )
    callers, peers = await flow.start(ANY, ANY)
    if upstream:
        flow.upstream_address = upstream
        serving = messages.UpstreamState.SERVING
        gate.set_upstream(table, serving, slots, system.monotonic())
    print(json.dumps({'callers': callers, 'peers': peers}), flush=True)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    profiler = cProfile.Profile()
    if profile:
        profiler.enable()
    await stopping.wait()
    if profile:
        profiler.disable()
        profiler.dump_stats(profile)
    await flow.stop(1.0)


def main(
    vm: typing.Annotated[str, typer.Option(help='VM name.')] = 'vm',
    upstream: typing.Annotated[
        str, typer.Option(help='Upstream ip:port; empty for none.')
    ] = '',
    slots: typing.Annotated[
        int, typer.Option(help='Slots of the upstream.')
    ] = 6,
    peer: typing.Annotated[
        str, typer.Option(help='Call address of another daemon.')
    ] = '',
    peer_slots: typing.Annotated[
        int, typer.Option(help='Slots of the peer.')
    ] = 6,
    profile: typing.Annotated[
        str,
        typer.Option(help='File to write a cProfile dump to; empty for none.'),
    ] = '',
):
    """Serve calls until SIGTERM."""
    asyncio.run(_run(vm, upstream, slots, peer, peer_slots, profile))


if __name__ == '__main__':
    typer.run(main)
