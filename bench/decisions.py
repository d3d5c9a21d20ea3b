"""Benchmark of the CPU time of each decision on the call path."""

import collections.abc
import dataclasses
import random
import statistics
import time
import tracemalloc

from bench import report
from jujubefold import attempts
from jujubefold import budget
from jujubefold import calls
from jujubefold import crashes
from jujubefold import dispatch
from jujubefold import gate
from jujubefold import mesh
from jujubefold import messages
from jujubefold import routing

BATCH = 1_000
BATCHES = 60
QUICK_BATCHES = 3
RESEND_PROBABILITY = 0.1
ATTEMPTS = 20_000

_MICROSECONDS = 1_000_000
_MEGABYTE = 1_000_000
_SERVING = messages.UpstreamState.SERVING
_ANSWERED = calls.Ending.ANSWERED
_GROUP = mesh.EndpointGroup('all', 'routes')
_ROUTE = mesh.Route(
    name='r',
    host='*',
    path='/',
    methods=(),
    targets=(mesh.Target(_GROUP),),
    retry=mesh.RetryPolicy(),
    limit=mesh.LimitPolicy(),
    timeout=mesh.TimeoutPolicy(),
    headers=mesh.HeaderRule(),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """A decision to time.

    Args:
        name: Label of the decision and the state it is made in.
        prepare: Function that takes a `random.Random` and returns the
            function to time, which is called `BATCH` times with the index
            of the call.
    """

    name: str
    prepare: collections.abc.Callable


def measure(quick, seed):
    """Measure the CPU time of each decision.

    Args:
        quick: Whether to run few batches.
        seed: Seed of all random choices.

    Returns:
        A `report.Report`.
    """
    batches = QUICK_BATCHES if quick else BATCHES
    rows = tuple(_row(case, batches, seed) for case in CASES)
    numbered = _count_executions(seed, numbered=True)
    plain = _count_executions(seed, numbered=False)
    return report.Report(
        name='decisions',
        command=f'python -m bench decisions --seed {seed}',
        columns=(
            'decision',
            'median us',
            'worst batch us',
        ),
        rows=rows,
        notes=(
            f'Process time in {batches} batches of {BATCH} calls, seed'
            f' {seed}. The loop around them is not taken off.',
            f'Executions of {ATTEMPTS} attempts, each resent with'
            f' probability {RESEND_PROBABILITY}: {numbered} numbered by the'
            f' sender, {plain} not numbered.',
            f'{_attempt_table_mb():.1f} MB hold {attempts.MAX_OUTCOMES}'
            ' ended attempts.',
        ),
    )


def _row(case, batches, seed):
    times = []
    for batch in range(batches):
        decide = case.prepare(random.Random(f'{seed}/{batch}'))
        start = time.process_time()
        for number in range(BATCH):
            decide(number)
        spent = time.process_time() - start
        times.append(spent / BATCH * _MICROSECONDS)
    return (case.name, statistics.median(times), max(times))


def _count_executions(seed, numbered):
    rng = random.Random(seed)
    table = _gate(6)
    sequence = runs = 0
    for _ in range(ATTEMPTS):
        sequence += 1
        while True:
            item = _attempt(sequence)
            if isinstance(gate.offer(table, item, 0.0), calls.Admitted):
                runs += 1
                gate.finish(table, item.id, _ANSWERED, 0.0)
            if rng.random() >= RESEND_PROBABILITY:
                break
            sequence += not numbered
    return runs


def _attempt_table_mb():
    """Return the size of a full table of ended attempts, in megabytes."""
    tracemalloc.start()
    table = attempts.AttemptTable()
    for number in range(attempts.MAX_OUTCOMES):
        attempt_id = calls.AttemptId(f'vm-{number % 8}', 1, number // 8 + 1)
        attempts.register_sender(table, attempt_id)
        attempts.record(table, attempt_id, _ANSWERED, 0.0)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / _MEGABYTE


def _gate(slots):
    table = gate.new_gate(slots)
    gate.set_upstream(table, _SERVING, slots, 0.0)
    return table


def _attempt(sequence, caller='c', deadline=1e9):
    call = calls.Call(
        request='q',
        caller=caller,
        method='GET',
        host='h',
        path='/',
        route=_ROUTE,
        version=1,
        deadline=deadline,
        depth=0,
        key='',
        idempotent=True,
        fingerprint=str(sequence % 500),
    )
    return calls.Attempt(calls.AttemptId('vm-1', 1, sequence), call)


def _member(number, services):
    serves = number < services
    return messages.Member(
        vm=f'vm-{number}',
        incarnation=1,
        region='tw',
        failure_domain=f'd{number % 3}',
        peer_address=f'10.0.0.1:{number}',
        call_address=f'10.0.0.2:{number}',
        service='routes' if serves else 'other',
        upstream_state=_SERVING,
        slots=6,
    )


def _offer_and_finish(rng):
    table = _gate(6)
    items = [_attempt(number) for number in range(BATCH)]

    def decide(number):
        item = items[number]
        gate.offer(table, item, number * 0.001)
        gate.finish(table, item.id, _ANSWERED, number * 0.001 + 0.02)

    return decide


def _queue_and_admit(rng):
    table = _gate(6)
    items = [_attempt(number) for number in range(BATCH + 22)]
    for item in items[:22]:
        gate.offer(table, item, 0.0)

    def decide(number):
        gate.offer(table, items[number + 22], 0.0)
        gate.finish(table, items[number].id, _ANSWERED, 0.0)

    return decide


def _refuse_when_full(rng):
    table = _gate(6)
    items = [
        _attempt(number, f'caller-{rng.randrange(20)}', rng.uniform(90, 99))
        for number in range(BATCH + 38)
    ]
    for item in items[:38]:
        gate.offer(table, item, 0.0)

    def decide(number):
        gate.offer(table, items[number + 38], 0.0)
        gate.expire(table, 0.0)

    return decide


def _rejoin(rng):
    table = _gate(6)
    item = _attempt(1)
    gate.offer(table, item, 0.0)
    return lambda number: gate.offer(table, item, 0.0)


def _format_and_parse_load(rng):
    table = _gate(6)
    return lambda number: gate.Load.parse(str(gate.current_load(table)))


def _choose_free_own_slot(rng):
    return _chooser(rng, 12, 7, own_free=True)


def _choose_small(rng):
    return _chooser(rng, 12, 7)


def _choose_large(rng):
    return _chooser(rng, 820, 5)


def _choose_many(rng):
    return _chooser(rng, 820, 400)


def _choose_after_change(rng):
    return _chooser(rng, 820, 5, changes=True)


def _choose_many_after_change(rng):
    return _chooser(rng, 820, 400, changes=True)


def _chooser(rng, fleet, services, own_free=False, changes=False):
    members = [_member(number, services) for number in range(fleet)]
    me = members.pop(0 if own_free else -1)
    own = routing.OwnState(me, gate.Load(0, 0, 6, _SERVING))
    table = routing.new_routing(rng)
    same = tuple(members)
    call = _attempt(1).call
    tried = frozenset()
    context = dispatch.Context(100.0, 1e9, rng)

    def decide(number):
        found = tuple(members) if changes else same
        choice = routing.choose(table, call, found, own, tried, context)
        if isinstance(choice, calls.Peer):
            routing.record_sent(table, choice.vm, 100.0)
            routing.record_result(
                table,
                routing.AttemptResult(
                    choice.vm, True, False, False, 0.02, own.load
                ),
                100.0,
            )

    return decide


def _budgets(rng):
    budgets = budget.new_budgets()
    call = _attempt(1).call

    def decide(number):
        left = budget.incoming_allowance('', call.route.retry, 0)
        budget.record_first_attempt(budgets, call.route, number * 0.001)
        left.split_off()
        budget.allow(budgets, left, call, number * 0.001)

    return decide


def _check_and_record_answer(rng):
    table = crashes.new_table()
    names = [str(number) for number in range(BATCH)]

    def decide(number):
        crashes.refusal_for(table, names[number], 0.0)
        crashes.is_suspect(table, names[number])
        crashes.record_answer(table, names[number], 0.0)

    return decide


CASES = (
    Case('gate: run and finish', _offer_and_finish),
    Case('gate: queue one, admit one, 16 waiting', _queue_and_admit),
    Case('gate: refuse one of 33', _refuse_when_full),
    Case('gate: join a resend', _rejoin),
    Case('gate: load as header and back', _format_and_parse_load),
    Case('routing: own slot free', _choose_free_own_slot),
    Case('routing: 7 of 12, sent and observed', _choose_small),
    Case('routing: 5 of 820, sent and observed', _choose_large),
    Case('routing: 400 of 820, sent and observed', _choose_many),
    Case('routing: 5 of 820, members just changed', _choose_after_change),
    Case(
        'routing: 400 of 820, members just changed',
        _choose_many_after_change,
    ),
    Case('budget: first try and a retry', _budgets),
    Case('crashes: check and clear', _check_and_record_answer),
)
