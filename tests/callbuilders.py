"""Builders of routes, calls and members for tests of the call path."""

from jujubefold import calls
from jujubefold import gate
from jujubefold import mesh
from jujubefold import messages

SERVING = messages.UpstreamState.SERVING


def new_route(
    name='r',
    priority=5,
    percent=20,
    attempts=3,
    targets=None,
    queue=32,
):
    """Return a route to every instance of the service `routes`."""
    group = mesh.EndpointGroup('all', 'routes')
    return mesh.Route(
        name=name,
        host='*',
        path='/',
        methods=(),
        targets=targets or (mesh.Target(group),),
        retry=mesh.RetryPolicy(attempts, percent),
        limit=mesh.LimitPolicy(queue),
        timeout=mesh.TimeoutPolicy(),
        headers=mesh.HeaderRule(),
        priority=priority,
    )


def new_call(
    deadline=100.0,
    caller='c',
    depth=0,
    fingerprint='f',
    route=None,
    idempotent=True,
):
    """Return a call of a route, idempotent if not said otherwise."""
    return calls.Call(
        request='q',
        caller=caller,
        method='GET',
        host='h',
        path='/',
        route=route or new_route(),
        version=1,
        deadline=deadline,
        depth=depth,
        key='',
        idempotent=idempotent,
        fingerprint=fingerprint,
    )


def new_attempt(sequence, vm='vm-1', incarnation=1, **kwargs):
    """Return a numbered attempt of a call."""
    attempt_id = calls.AttemptId(vm, incarnation, sequence)
    return calls.Attempt(attempt_id, new_call(**kwargs))


def new_serving_gate(slots=2, queue_limit=4, now=0.0, warmup=0.0):
    """Return a gate whose upstream serves."""
    table = gate.new_gate(slots, queue_limit)
    gate.set_upstream(table, SERVING, slots, now, warmup)
    return table


def new_member(vm, domain='a', region='tw', service='routes', **kwargs):
    """Return the record of a daemon whose upstream serves."""
    fields = {'upstream_state': SERVING, 'slots': 6, 'incarnation': 1}
    return messages.Member(
        vm=vm,
        region=region,
        failure_domain=domain,
        peer_address=f'{vm}:1',
        call_address=f'{vm}:2',
        service=service,
        **(fields | kwargs),
    )
