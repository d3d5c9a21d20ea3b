"""Tests of admission."""

import testtools

from jujubefold import calls
from jujubefold import gate
from jujubefold import mesh
from jujubefold import messages

SERVING = messages.UpstreamState.SERVING


def route(name='r', priority=5):
    return mesh.Route(
        name=name,
        host='*',
        path='/',
        methods=(),
        targets=(mesh.Target(mesh.EndpointGroup('g', 'routes')),),
        retry=mesh.RetryPolicy(),
        limit=mesh.LimitPolicy(),
        timeout=mesh.TimeoutPolicy(),
        headers=mesh.HeaderRule(),
        priority=priority,
    )


def attempt(
    sequence,
    deadline=100.0,
    caller='c',
    vm='vm-1',
    incarnation=1,
    route=route(),
):
    call = calls.Call(
        request=f'q{sequence}',
        caller=caller,
        method='GET',
        host='h',
        path='/',
        route=route,
        version=1,
        deadline=deadline,
        depth=0,
        key='',
        idempotent=True,
        fingerprint=f'f{sequence}',
    )
    return calls.Attempt(calls.AttemptId(vm, incarnation, sequence), call)


def serving(slots=2, queue_limit=4, **kwargs):
    table = gate.new_gate(slots, queue_limit)
    gate.set_upstream(table, SERVING, slots, 0.0, **kwargs)
    return table


class TestSlots(testtools.TestCase):
    def test_slots_are_exact_and_the_queue_is_by_deadline(self):
        table = serving()
        deadlines = {1: 50.0, 2: 50.0, 3: 90.0, 4: 70.0}
        found = [
            gate.offer(table, attempt(n, deadline), 0.0)
            for n, deadline in deadlines.items()
        ]
        run, queued = calls.Run(), calls.Queued()
        self.assertEqual([run, run, queued, queued], found)
        first = attempt(1).id
        admitted = gate.finish(table, first, calls.Ending.ANSWERED, 1.0)
        self.assertEqual((attempt(4).id,), admitted)
        self.assertEqual('2/1/2/serving', str(gate.load(table)))
