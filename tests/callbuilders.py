"""Call builders: routes, calls, members and gates with test defaults."""

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
    """Return a `mesh.Route` to all instances of the service `routes`.

    Args:
        percent: Retry budget, as a percentage of first attempts.
        attempts: Most attempts for a call.
        targets: Tuple of `mesh.Target`, or None for the whole service.
        queue: Most attempts that may wait for a slot.
    """
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
    """Return a `calls.Call`, idempotent by default."""
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
    """Return a `calls.Attempt` with this sequence number."""
    attempt_id = calls.AttemptId(vm, incarnation, sequence)
    return calls.Attempt(attempt_id, new_call(**kwargs))


def new_serving_gate(slots=2, queue_limit=4, now=0.0, warmup=0.0):
    """Return a `gate.GateTable` whose upstream is serving."""
    table = gate.new_gate(slots, queue_limit)
    gate.set_upstream(table, SERVING, slots, now, warmup)
    return table


def new_member(vm, domain='a', region='tw', service='routes', **kwargs):
    """Return the `messages.Member` of a daemon with a serving upstream."""
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
