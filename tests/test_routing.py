"""Tests of the choice of the upstream for a call."""

import collections
import random

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import calls
from jujubefold import candidates
from jujubefold import dispatch
from jujubefold import errors
from jujubefold import gate
from jujubefold import mesh
from jujubefold import messages
from jujubefold import peerview
from jujubefold import routing
from jujubefold import subset
from tests import callbuilders

State = messages.UpstreamState
WALL_TIME = 1_000_000.0
NONE_TRIED = frozenset()


def context(now=100.0, seed=1, wall_time=WALL_TIME):
    return dispatch.Context(now, wall_time, random.Random(seed))


def own(running=0, queued=0, state=State.SERVING, **kwargs):
    member = callbuilders.new_member('own', **kwargs)
    return routing.OwnState(member, gate.Load(running, queued, 6, state))


OTHER_SERVICE = own(service='other')
IDLE = gate.Load(0, 0, 6, State.SERVING)
FULL = gate.Load(6, 32, 6, State.SERVING)


def result(vm, kind='ok', seconds=0.02, load=None):
    return routing.AttemptResult(
        vm, kind == 'ok', kind == 'refused', kind == 'lost', seconds, load
    )


def record_results(table, vm, kind, now=100.0, times=1, load=None):
    for _ in range(times):
        routing.record_sent(table, vm, now)
        routing.record_result(table, result(vm, kind, load=load), now)


def count_choices(
    table,
    members,
    here=OTHER_SERVICE,
    rounds=200,
    call=None,
    tried=NONE_TRIED,
    at=None,
):
    """Count the choices by VM name or reason, without sending the calls."""
    at = at or context()
    call = call or callbuilders.new_call()
    found = collections.Counter()
    for _ in range(rounds):
        choice = routing.choose(table, call, members, here, tried, at)
        match choice:
            case calls.LocalUpstream():
                found['own'] += 1
            case calls.Peer(vm=vm):
                found[vm] += 1
            case calls.NoUpstream():
                found[choice.refusal.reason] += 1
    return found


MEMBERS = tuple(
    callbuilders.new_member(f'{domain}{n}', domain)
    for domain in 'abc'
    for n in (1, 2)
)


class TestPreference(testtools.TestCase):
    def test_order_of_preference(self):
        warming = (callbuilders.new_member('w', upstream_state=State.WARMING),)
        suspect = (
            callbuilders.new_member('s', state=messages.MemberState.SUSPECT),
        )
        far = (callbuilders.new_member('f', 'z', region='elsewhere'),)
        cases = (
            ('own with a free slot', MEMBERS, own(5), {'own'}),
            ('own full', MEMBERS, own(6), {'a1', 'a2'}),
            ('own warming', MEMBERS, own(0, 0, State.WARMING), {'a1', 'a2'}),
            ('own drains', MEMBERS, own(0, 0, State.DRAINING), {'a1', 'a2'}),
            (
                'own drains alone',
                (),
                own(0, 0, State.DRAINING),
                {'no-upstream'},
            ),
            ('own full alone', (), own(6, 9), {'own'}),
            ('same domain', MEMBERS, OTHER_SERVICE, {'a1', 'a2'}),
            (
                'same region',
                far + MEMBERS[2:],
                OTHER_SERVICE,
                {'b1', 'b2', 'c1', 'c2'},
            ),
            ('other region', far, OTHER_SERVICE, {'f'}),
            ('suspect last', suspect + far, OTHER_SERVICE, {'f'}),
            ('only suspect', suspect, OTHER_SERVICE, {'s'}),
            ('warming last', warming + far, OTHER_SERVICE, {'f'}),
            ('only warming', warming, OTHER_SERVICE, {'w'}),
            ('no upstream', (), OTHER_SERVICE, {'no-upstream'}),
        )
        for name, members, here, expected in cases:
            found = count_choices(routing.new_routing(), members, here)
            self.assertEqual(expected, set(found), name)

    def test_leaving_or_absent_upstream_is_never_chosen(self):
        cases = (
            {'upstream_state': State.DRAINING},
            {'upstream_state': State.GONE},
            {'upstream_state': State.ABSENT},
            {'state': messages.MemberState.LEFT},
            {'state': messages.MemberState.DEAD},
            {'service': 'pickups'},
        )
        for fields in cases:
            members = (callbuilders.new_member('m', **fields),)
            found = count_choices(routing.new_routing(), members, rounds=1)
            self.assertEqual({'no-upstream'}, set(found), fields)

    def test_change_of_members_takes_effect_at_once(self):
        table = routing.new_routing()
        self.assertEqual({'a1', 'a2'}, set(count_choices(table, MEMBERS)))
        drained = (MEMBERS[1], *MEMBERS[2:])
        self.assertEqual({'a2'}, set(count_choices(table, drained)))

    def test_update_members_precomputes_candidates_of_used_groups(self):
        table = routing.new_routing()
        count_choices(table, MEMBERS)
        routing.update_members(table, MEMBERS[1:], OTHER_SERVICE.member)
        (before,) = table.candidate_table.tiers.values()
        self.assertEqual(
            {'a2'}, set(count_choices(table, table.candidate_table.members))
        )
        (after,) = table.candidate_table.tiers.values()
        self.assertIs(before, after)
        for change in range(1, candidates.GROUP_RETENTION_CHANGES + 1):
            self.assertEqual(1, len(table.candidate_table.tiers), change)
            routing.update_members(
                table, MEMBERS[change % 2 :], OTHER_SERVICE.member
            )
        self.assertEqual({}, table.candidate_table.tiers)

    def test_tried_upstreams_are_excluded(self):
        table = routing.new_routing()
        tried = frozenset({'a1', 'a2', 'own'})
        found = count_choices(table, MEMBERS, own(), tried=tried)
        self.assertFalse(tried & set(found))
        every = frozenset(member.vm for member in MEMBERS)
        found = count_choices(table, MEMBERS, tried=every)
        self.assertEqual({calls.Reason.NO_SLOT}, set(found))

    def test_refusal_proves_that_the_call_did_not_run(self):
        found = routing.choose(
            routing.new_routing(),
            callbuilders.new_call(),
            (),
            OTHER_SERVICE,
            NONE_TRIED,
            context(),
        )
        self.assertEqual(errors.Outcome.DID_NOT_RUN, found.refusal.ran)
        self.assertGreater(found.refusal.retry_after, 0)

    def test_target_groups_filter_and_weights_split_calls(self):
        group = mesh.EndpointGroup('b', 'routes', ('tw',), ('b',))
        other = mesh.EndpointGroup('c', 'routes', (), ('c',))
        targets = (mesh.Target(group, 9), mesh.Target(other, 1))
        call = callbuilders.new_call(
            route=callbuilders.new_route(targets=targets)
        )
        found = count_choices(
            routing.new_routing(), MEMBERS, call=call, rounds=2000
        )
        self.assertEqual({'b1', 'b2', 'c1', 'c2'}, set(found))
        share = (found['c1'] + found['c2']) / 2000
        self.assertTrue(0.07 < share < 0.13, share)
        found = count_choices(routing.new_routing(), MEMBERS[4:], call=call)
        self.assertEqual({'c1', 'c2'}, set(found))


class TestObservations(testtools.TestCase):
    def test_calls_go_to_the_next_tier_only_without_free_slots(self):
        shares = []
        for in_flight in (0, 5, 6, 12):
            table = routing.new_routing()
            for _ in range(in_flight):
                routing.record_sent(table, 'a1', 100.0)
                routing.record_sent(table, 'a2', 100.0)
            found = count_choices(table, MEMBERS)
            shares.append(200 - found['a1'] - found['a2'])
        self.assertEqual([0, 0, 200, 200], shares)
        table = routing.new_routing()
        for _ in range(6):
            routing.record_sent(table, 'a1', 100.0)
        members = (
            *MEMBERS,
            callbuilders.new_member('a3'),
            callbuilders.new_member('a4'),
        )
        self.assertEqual(
            {'a2', 'a3', 'a4'}, set(count_choices(table, members))
        )

    def test_less_loaded_candidate_is_chosen_and_load_decays(self):
        table = routing.new_routing()
        load = gate.Load(6, 4, 6, State.SERVING)
        record_results(table, 'a1', 'ok', load=load)
        self.assertEqual({'a2'}, set(count_choices(table, MEMBERS)))
        later = context(now=110.0)
        self.assertEqual(
            {'a1', 'a2'}, set(count_choices(table, MEMBERS, at=later))
        )

    def test_candidate_with_lower_latency_is_chosen(self):
        table = routing.new_routing()
        for vm, seconds in (('a1', 0.5), ('a2', 0.01)):
            routing.record_sent(table, vm, 100.0)
            routing.record_result(table, result(vm, seconds=seconds), 100.0)
        self.assertEqual({'a2'}, set(count_choices(table, MEMBERS)))

    def test_draining_state_in_an_answer_takes_effect_at_once(self):
        table = routing.new_routing()
        record_results(
            table, 'a1', 'ok', load=gate.Load(1, 0, 6, State.DRAINING)
        )
        members = MEMBERS[:1]
        self.assertEqual({'no-upstream'}, set(count_choices(table, members)))

    def test_back_off_after_refusal_or_loss_ends(self):
        for kind, pause in (('refused', 1.0), ('lost', 15.0)):
            table = routing.new_routing(random.Random(1))
            record_results(table, 'a1', kind, times=3)
            self.assertEqual({'a2'}, set(count_choices(table, MEMBERS)), kind)
            view = table.candidate_table.peers['a1']
            self.assertTrue(0 < view.paused_until - 100.0 <= pause)
            later = context(now=100.0 + pause)
            found = count_choices(table, MEMBERS, at=later)
            self.assertEqual({'a1', 'a2'}, set(found), kind)

    def test_results_unrelated_to_the_daemon_are_ignored(self):
        free = gate.Load(2, 0, 6, State.SERVING)
        cases = (
            ('refused with a free slot', 'refused', free),
            ('caller stopped waiting', 'cancelled', None),
        )
        for name, kind, load in cases:
            table = routing.new_routing(random.Random(1))
            record_results(table, 'a1', kind, times=10, load=load)
            later = context(now=110.0)
            found = count_choices(table, MEMBERS, at=later)
            self.assertEqual({'a1', 'a2'}, set(found), name)
            self.assertEqual(
                0, table.candidate_table.peers['a1'].paused_until, name
            )

    def test_restart_resets_observations(self):
        ready = int(WALL_TIME * 1000) - 60_000
        cases = ({'incarnation': 2}, {'ready_at_ms': ready})
        for fields in cases:
            table = routing.new_routing(random.Random(1))
            count_choices(table, MEMBERS)
            load = gate.Load(1, 0, 6, State.DRAINING)
            record_results(table, 'a1', 'lost', times=9, load=load)
            routing.record_sent(table, 'a1', 100.0)
            self.assertEqual(
                {'a2'}, set(count_choices(table, MEMBERS)), fields
            )
            members = (callbuilders.new_member('a1', **fields), *MEMBERS[1:])
            found = count_choices(table, members)
            self.assertIn('a2', found, fields)
            self.assertEqual(1, table.candidate_table.peers['a1'].in_flight)
            self.assertEqual(0, table.candidate_table.peers['a1'].losses)
            self.assertEqual(
                0, table.candidate_table.peers['a1'].draining_until
            )

    def test_back_off_has_jitter(self):
        ends = set()
        for seed in range(20):
            table = routing.new_routing(random.Random(seed))
            record_results(table, 'a1', 'lost')
            ends.add(table.candidate_table.peers['a1'].paused_until)
        self.assertEqual(20, len(ends))

    def test_failing_upstream_is_ejected_temporarily(self):
        table = routing.new_routing(random.Random(1))
        record_results(
            table,
            'a1',
            'failed',
            times=peerview.EJECT_AFTER_FAILURES,
            load=IDLE,
        )
        self.assertEqual({'a2'}, set(count_choices(table, MEMBERS)))
        later = context(now=100.0 + peerview.EJECT_S)
        found = count_choices(table, MEMBERS, at=later)
        self.assertEqual({'a1', 'a2'}, set(found))

    def test_ejection_is_limited_to_a_fraction_of_candidates(self):
        table = routing.new_routing(random.Random(1))
        for member in MEMBERS:
            record_results(table, member.vm, 'failed', times=5, load=IDLE)
        at = context()
        tiers = next(iter(_tiers_of(table, MEMBERS)))
        self.assertEqual(3, len(routing._ejected(table, tiers, at.now)))

    def test_observations_never_exclude_all_candidates(self):
        for kind in ('refused', 'lost', 'failed'):
            table = routing.new_routing(random.Random(1))
            for member in MEMBERS:
                record_results(table, member.vm, kind, times=20, load=FULL)
            found = count_choices(table, MEMBERS)
            self.assertFalse({'no-upstream', 'no-slot'} & set(found), kind)

    def test_slow_start_limits_the_share_of_a_started_upstream(self):
        ready = int(WALL_TIME * 1000)
        fresh = callbuilders.new_member('a1', ready_at_ms=ready)
        members = (
            fresh,
            *(callbuilders.new_member(f'a{n}') for n in range(2, 6)),
        )
        shares = []
        for age in (0.0, 5.0, 10.0):
            found = count_choices(
                routing.new_routing(),
                members,
                at=context(wall_time=WALL_TIME + age),
                rounds=2000,
            )
            shares.append(found['a1'] / 2000)
        self.assertTrue(0 < shares[0] < 0.05 < shares[1] < 0.15, shares)
        self.assertTrue(shares[2] > 0.15, shares)

    def test_slow_start_begins_with_one_attempt_at_a_time(self):
        ready = int(WALL_TIME * 1000)
        members = (
            callbuilders.new_member('a1', ready_at_ms=ready),
            MEMBERS[1],
        )
        table = routing.new_routing()
        self.assertEqual({'a1', 'a2'}, set(count_choices(table, members)))
        for vm in ('a1', 'a2', 'a2', 'a2'):
            routing.record_sent(table, vm, 100.0)
        self.assertEqual({'a2'}, set(count_choices(table, members)))

    def test_daemons_with_the_same_view_spread_calls(self):
        """One idle upstream must not attract the calls of all daemons.

        They all receive its load at about the same time and would overload
        it together.
        """
        members = tuple(
            callbuilders.new_member(f'm{n}', 'z') for n in range(7)
        )
        idle = gate.Load(0, 0, 12, State.SERVING)
        busy = gate.Load(11, 0, 12, State.SERVING)
        found = collections.Counter()
        for seed in range(300):
            table = routing.new_routing(random.Random(seed))
            for member in members:
                reported = idle if member.vm == 'm0' else busy
                record_results(table, member.vm, 'ok', load=reported)
            found += count_choices(
                table, members, rounds=1, at=context(seed=seed)
            )
        self.assertLess(found['m0'], 300 * 0.45)
        self.assertEqual(7, len(found))


def _tiers_of(table, members):
    routing.choose(
        table,
        callbuilders.new_call(),
        members,
        OTHER_SERVICE,
        NONE_TRIED,
        context(),
    )
    return table.candidate_table.tiers.values()


class TestConnections(testtools.TestCase):
    """Idle connections per instance at various fleet sizes."""

    def idle_connections(self, fleet, instances, domains, one_domain):
        members = tuple(
            callbuilders.new_member(
                f'vm-{n}',
                'd0' if one_domain and n >= instances else f'd{n % domains}',
                service='routes' if n < instances else 'other',
            )
            for n in range(fleet)
        )
        found = collections.Counter()
        for own_member in members[instances:]:
            others = tuple(item for item in members if item is not own_member)
            table = routing.new_routing()
            here = routing.OwnState(own_member, OTHER_SERVICE.load)
            routing.choose(
                table,
                callbuilders.new_call(),
                others,
                here,
                NONE_TRIED,
                context(),
            )
            (tiers,) = table.candidate_table.tiers.values()
            chosen = [item.member.vm for tier in tiers for item in tier]
            self.assertGreaterEqual(len(chosen), 2)
            found.update(
                vm for vm in chosen if routing.keeps_connection(table, vm)
            )
        return found

    def test_connections_per_instance_are_bounded(self):
        cases = (
            # Fleet size, instances, domains, slots, connections per instance.
            (8, 5, 3, 6, 110),
            (12, 7, 4, 12, 130),
            (120, 5, 3, 6, 110),
            (400, 60, 3, 6, 110),
            (820, 5, 3, 6, 110),
            (820, 7, 4, 12, 130),
            (1500, 3, 3, 6, 110),
        )
        for fleet, instances, domains, slots, bound in cases:
            for one_domain in (False, True):
                found = self.idle_connections(
                    fleet, instances, domains, one_domain
                )
                used = max(found.values()) + slots + gate.DEFAULT_QUEUE_LIMIT
                self.assertLessEqual(used, bound, (fleet, one_domain))
                self.assertEqual(instances, len(found), (fleet, one_domain))

    def test_subset_size(self):
        cases = (
            (8, 5, 5),
            (180, 5, 2),
            (820, 5, 2),
            (820, 1, 1),
            (820, 410, 22),
            (100_000, 50_000, 22),
        )
        for senders, instances, expected in cases:
            found = subset.size(senders, instances)
            self.assertEqual(expected, found, (senders, instances))


class TestRandomHistory(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from([m.vm for m in MEMBERS]),
                strategies.sampled_from(['ok', 'refused', 'lost', 'failed']),
                strategies.floats(0, 5),
            ),
            max_size=60,
        ),
        strategies.integers(0, 6),
    )
    @hypothesis.settings(derandomize=True, deadline=None)
    def test_a_serving_upstream_is_always_chosen(self, history, drained):
        table = routing.new_routing(random.Random(1))
        now = 100.0
        members = tuple(
            callbuilders.new_member(
                m.vm, m.failure_domain, upstream_state=State.DRAINING
            )
            if index < drained
            else m
            for index, m in enumerate(MEMBERS)
        )
        serving = {m.vm for m in members[drained:]} or {'no-upstream'}
        for vm, kind, wait in history:
            now += wait
            record_results(table, vm, kind, now, load=FULL)
            found = count_choices(table, members, rounds=1, at=context(now))
            self.assertTrue(set(found) <= serving, found)
            self.assertTrue(
                all(
                    view.in_flight == 0
                    for view in table.candidate_table.peers.values()
                )
            )
