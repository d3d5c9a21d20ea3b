"""Rollout plan: which phase, share and canaries come next, and why.

All functions are pure. The schedule fits orders of 8 s and more, and services
of 5 to 2,000 requests a second with up to 40 upstreams of each version.
"""

import dataclasses
import math

import msgspec

from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutevidence

# Shares of the order's duration: end of the canary, its end at the latest if
# canaries opened late, start of the last phase, end of waiting for evidence,
# end of waiting for old gates, and the same while requests run there.
CANARY_END = 0.5
CANARY_LATEST = 0.62
CLOSING_AT = 0.75
EVIDENCE_END = 0.8
COMPLETED_AT = 0.9
COMPLETED_LATEST = 0.95
# Share of the duration for which a canary is watched, because a version may
# go bad some seconds after its upstreams start.
CANARY_DWELL = 0.3
# Share of the duration after which upstreams that warm up become canaries,
# and after which the canaries get the load of the whole service.
COLD_CANARIES_AT = 0.3
LOADED_AT = 0.2
# Shares in the phases, and the least time at one of them.
CANARY_SHARE = 0.05
CANARY_SHARE_LOADED = 0.15
CANARY_SHARE_MAX = 0.2
CANARY_SHARE_FEW = 0.5
# Share of the canaries' slots that are kept busy. Versions that fail when more
# than half of them are show it rarely at the usual load.
CANARY_BUSY = 0.65
# Above this share of busy slots another canary is added.
CANARY_FULL = 0.9
SHARES = (0.2, 0.5, 1.0)
# Relative change of a canary's share below which it stays; the rate of
# requests varies from reading to reading.
SHARE_CHANGE = 0.2
STEP_DURATION = 0.05
MIN_STEP_S = 0.5
MIN_CANARIES = 2
# Seconds from a bad answer until the share is taken back everywhere, and the
# part of the allowed exposure that is planned with.
REACTION_S = 1.5
EXPOSURE_PLANNED = 0.8
# Requests after which a gate with bad answers has closed itself: its window of
# 12 answers, and those that run then.
REQUESTS_TO_TRIP = 16
# Answers of the new version since the order and since the last change for a
# step. Services with few requests need fewer in total.
MIN_ANSWERS = 12
MAX_ANSWERS = 40
ANSWERS_SHARE = 0.02
MIN_ANSWERS_STEP = 10
MIN_ANSWERS_FEW = 3
# Part of the service's load per slot that canaries must have carried before a
# step that the exposure alone does not allow.
LOAD_PROVEN = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Bounds of the platform's settings.

    Args:
        exposure_share: Share of the requests that a bad version may get.
        exposure_slack: Requests that it may get beside these.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A change of the record.

    Args:
        phase: Next `rollout.Phase`.
        share: Next share of the new version.
        canaries: VMs whose gates are open in the phase `CANARY`.
        excluded: VMs of the new version whose upstreams are faulty.
        reason: Why, for the log and, at the end, the record.
    """

    phase: rollout.Phase
    share: float
    canaries: tuple[str, ...]
    excluded: tuple[str, ...]
    reason: str


def allowed_exposure(policy, total, rate, remaining):
    """Return how many requests a bad version may get until the deadline.

    Args:
        policy: The `Policy`.
        total: Requests to the service since the order.
        rate: Requests a second that are expected.
        remaining: Seconds until the deadline.
    """
    expected = total + rate * max(0.0, remaining)
    return policy.exposure_share * expected + policy.exposure_slack


def exposure_left(policy, exposed, total, rate, remaining):
    """Return how many requests more the new version may get if it is bad.

    Args:
        policy: The `Policy`.
        exposed: Requests sent to the new version since the order.
        total: Requests to the service since the order.
        rate: Requests a second that are expected.
        remaining: Seconds until the deadline.
    """
    allowed = EXPOSURE_PLANNED * allowed_exposure(
        policy, total, rate, remaining
    )
    return max(0.0, allowed - exposed)


def affordable_share(left, rate):
    """Return the share that the exposure allows if the version turns bad.

    Args:
        left: What `exposure_left` returned.
        rate: Requests a second that are expected.
    """
    at_risk = rate * REACTION_S
    return 1.0 if at_risk <= left else left / at_risk


def next_step(order, record, evidence, now_s, policy):
    """Return the next `Step`, or None if nothing changes.

    Args:
        order: The `rollout.Order`.
        record: The `rollout.Record` in the store; None if there is none.
        evidence: The `rolloutevidence.View`; None if there is none.
        now_s: Store clock in seconds.
        policy: The `Policy`.
    """
    if record is None:
        return Step(rollout.Phase.CANARY, 0.0, (), (), 'ordered')
    if record.phase.ended:
        return None
    elapsed = (now_s - record.started) / order.duration
    if evidence is None:
        if elapsed >= EVIDENCE_END:
            return _roll_back(record, 'no-evidence')
        return None
    judgements = _judgements(order, record, evidence, now_s)
    for found in judgements:
        if found.verdict in _FAULTS:
            return _roll_back(record, _describe(found))
    faulty = _faulty(record, evidence, judgements)
    if faulty is None:
        return _roll_back(record, 'gates-tripped')
    excluded = (*record.excluded, *faulty)
    usable = _usable(evidence, excluded, elapsed)
    if record.phase is rollout.Phase.CLOSING:
        return _complete(record, evidence, elapsed, excluded)
    decide = _canary if record.phase is rollout.Phase.CANARY else _shift
    step = decide(order, record, evidence, now_s, policy, excluded, judgements)
    ends = step is not None and step.phase is rollout.Phase.CLOSING
    if elapsed >= EVIDENCE_END and not ends:
        return _roll_back(
            record, 'not-enough-evidence' if usable else 'no-upstream'
        )
    return step


def apply(record, step, evidence, now_s, controller):
    """Return the `rollout.Record` to write.

    Args:
        record: The one in the store, or the first one of an order.
        step: The `Step`; None to renew the record.
        evidence: The `rolloutevidence.View`; None if there is none.
        now_s: Store clock in seconds.
        controller: `vm/incarnation` of the daemon that writes it.
    """
    fields = {'step': record.step + 1, 'controller': controller}
    if evidence is not None:
        old = evidence.overall.old
        fields.update(
            exposed=evidence.exposed,
            total=evidence.total,
            bad_share=old.bad / old.ended if old.ended else 0.0,
            loaded=record.loaded or is_loaded(record, evidence),
        )
    if step is not None:
        if (step.phase, step.share) != (record.phase, record.share):
            fields['stepped_at'] = now_s
        if step.share and not record.opened:
            fields['opened'] = now_s
        fields.update(
            phase=step.phase,
            share=step.share,
            canaries=step.canaries,
            excluded=step.excluded,
            changed_step=record.step + 1,
            reason=(
                step.reason if step.phase is rollout.Phase.ROLLED_BACK else ''
            ),
        )
    return msgspec.structs.replace(record, **fields)


def answers_needed(evidence, remaining):
    """Return how many answers make a version sound.

    Args:
        evidence: The `rolloutevidence.View`.
        remaining: Seconds until the deadline.
    """
    expected = evidence.total + evidence.rate * max(0.0, remaining)
    return min(MAX_ANSWERS, max(MIN_ANSWERS, ANSWERS_SHARE * expected))


_FAULTS = (rolloutevidence.Verdict.BAD, rolloutevidence.Verdict.SLOW)


def _judgements(order, record, evidence, now_s):
    """Return the judgement since the order, the last step and lately."""
    rate = evidence.rate * record.share
    dwell = max(MIN_STEP_S, STEP_DURATION * order.duration)
    spans = (
        (
            evidence.overall,
            answers_needed(evidence, record.deadline - now_s),
        ),
        (
            evidence.since_step,
            min(MIN_ANSWERS_STEP, max(MIN_ANSWERS_FEW, rate * dwell / 2)),
        ),
        (
            evidence.recent,
            min(MIN_ANSWERS_STEP, rate * rolloutevidence.RECENT_S / 2),
        ),
    )
    return tuple(
        rolloutevidence.judge(
            span,
            evidence.overall.old,
            record.bad_share,
            record.excluded,
            needed,
        )
        for span, needed in spans
    )


def _describe(found):
    """Return the reason of a rollback, which operators read."""
    place = f' on route {found.route}' if found.route else ''
    return (
        f'{found.verdict.value}{place}: {found.share:.2f} of '
        f'{found.ended} answers, old version {found.old_share:.2f}'
    )


def _faulty(record, evidence, judgements):
    """Return VMs to exclude; None if too many gates closed themselves."""
    found = {vm for item in judgements for vm in item.faulty}
    gates = evidence.overall.new
    found.update(gate.vm for gate in gates if gate.tripped)
    found.difference_update(record.excluded)
    sampled = sum(
        gate.ended >= rolloutevidence.MIN_SAMPLED or gate.tripped
        for gate in gates
    )
    if found and len(found) + len(record.excluded) > (
        rolloutevidence.may_exclude(sampled)
    ):
        # With fewer than three, one that tripped may be a fault of its own;
        # rolling back a sound version costs less than keeping a bad one.
        return None
    return tuple(sorted(found))


def _usable(evidence, excluded, elapsed):
    """Return the `rollout.GateReport` of gates that may be canaries."""
    gates = [
        gate
        for gate in evidence.overall.new
        if gate.slots > 0 and not gate.tripped and gate.vm not in excluded
    ]
    warm = [gate for gate in gates if gate.warm]
    return warm if warm or elapsed < COLD_CANARIES_AT else gates


def _complete(record, evidence, elapsed, excluded):
    """Return the step out of the phase `CLOSING`, or None."""
    if evidence.old_stopped:
        reason = 'completed'
    elif elapsed >= COMPLETED_LATEST or (
        elapsed >= COMPLETED_AT and not evidence.old_running
    ):
        # A gate that is cut off never says that it closed.
        reason = 'old-gates-unknown'
    else:
        if excluded != record.excluded:
            return _step(record, record.phase, 1.0, excluded, 'faulty')
        return None
    return _step(record, rollout.Phase.COMPLETED, 1.0, excluded, reason)


def _canary(order, record, evidence, now_s, policy, excluded, judgements):
    """Return the next step in the phase `CANARY`, or None."""
    elapsed = (now_s - record.started) / order.duration
    remaining = record.deadline - now_s
    idle = _idle_canaries(record, evidence, now_s)
    usable = [
        gate
        for gate in _usable(evidence, excluded, elapsed)
        if gate.vm not in idle
    ]
    left = exposure_left(
        policy, evidence.exposed, evidence.total, evidence.rate, remaining
    )
    affordable = affordable_share(left, evidence.rate)
    opened = record.share > 0 and evidence.overall.new
    dwelt = now_s - record.opened >= CANARY_DWELL * order.duration
    if (
        opened
        and elapsed >= CANARY_END
        and (dwelt or elapsed >= CANARY_LATEST)
        and _all_sound(judgements)
    ):
        share = min(share for share in SHARES if share >= record.share)
        if share <= affordable or _proven(record, evidence, left):
            return _step(
                record, rollout.Phase.SHIFTING, share, excluded, 'canary-sound'
            )
    wanted = max(
        canary_share(evidence, usable, order.duration, elapsed), record.share
    )
    busy = _busy_share(record, evidence, now_s)
    if busy is not None and busy < CANARY_BUSY and elapsed >= LOADED_AT:
        # Fast upstreams are less busy than the load of the service suggests.
        more = record.share * CANARY_BUSY / max(busy, 0.05)
        wanted = max(wanted, min(CANARY_SHARE_MAX, more))
    share = min(wanted, affordable) if usable else 0.0
    if abs(share - record.share) <= SHARE_CHANGE * max(share, record.share):
        share = record.share
    slots = share * evidence.running / CANARY_BUSY
    if record.canaries:
        # More gates would make the present ones less busy.
        full = busy is not None and busy > CANARY_FULL
        slots = math.inf if full else 0.0
    canaries = ()
    if share > 0.0:
        canaries = choose_canaries(
            usable, evidence.domains, slots, record.canaries
        )
    changed = (
        set(canaries) != set(record.canaries)
        or excluded != record.excluded
        or share != record.share
    )
    if not changed:
        return None
    return Step(rollout.Phase.CANARY, share, canaries, excluded, 'canary')


def canary_share(evidence, usable, duration, elapsed):
    """Return the share of the canaries, apart from the exposure.

    It rises so that most slots of the canaries are busy, at least as many as
    with all requests, since some versions are bad only under load. With few
    requests it rises so that there are answers enough.

    Args:
        evidence: The `rolloutevidence.View`.
        usable: `rollout.GateReport` of the gates that may be canaries.
        duration: The order's duration in seconds.
        elapsed: Share of it that has passed.
    """
    share = CANARY_SHARE
    if evidence.rate > 0:
        wanted = 1.5 * answers_needed(evidence, (1 - elapsed) * duration)
        seconds = (CANARY_END - 0.1) * duration
        share = max(
            share, min(CANARY_SHARE_FEW, wanted / evidence.rate / seconds)
        )
    if usable and elapsed >= LOADED_AT:
        few = usable[:MIN_CANARIES]
        slots = sum(gate.slots for gate in few)
        everything = sum(gate.slots for gate in evidence.overall.new)
        busy = CANARY_BUSY * slots / max(evidence.running, 1)
        share = max(
            share,
            min(CANARY_SHARE_LOADED, max(busy, slots / everything)),
        )
    return share


def _idle_canaries(record, evidence, now_s):
    """Return VMs of canaries that get no requests, as lost ones do not."""
    expected = evidence.rate * record.share * rolloutevidence.RECENT_S
    held = now_s - record.stepped_at >= 2 * rolloutevidence.RECENT_S
    if not held or expected < MIN_ANSWERS_STEP * len(record.canaries):
        return set()
    return {
        gate.vm
        for gate in evidence.recent.new
        if gate.vm in record.canaries and gate.slots and not gate.started
    }


def _busy_share(record, evidence, now_s):
    """Return the share of the canaries' slots that are in use; None unknown.

    It is known when they have had the present share for a while.
    """
    canaries = [
        gate for gate in evidence.overall.new if gate.vm in record.canaries
    ]
    slots = sum(gate.slots for gate in canaries)
    held = now_s - record.stepped_at >= rolloutevidence.RECENT_S
    if not record.share or not slots or not held:
        return None
    return sum(evidence.busy[gate.vm] for gate in canaries) / slots


def choose_canaries(usable, domains, slots, before=()):
    """Return the VMs that carry the share of the canaries.

    Canaries stay while they can be used, and new ones are taken from the
    failure domains with the fewest.

    Args:
        usable: `rollout.GateReport` of the gates that may be canaries.
        domains: Failure domain of each VM.
        slots: Slots that they may have together beyond `MIN_CANARIES` gates.
            If infinite, one gate is added.
        before: VMs that are canaries.
    """
    by_vm = {gate.vm: gate for gate in usable}
    chosen = [vm for vm in before if vm in by_vm]
    others = sorted(by_vm.keys() - set(chosen))
    left = slots - sum(by_vm[vm].slots for vm in chosen)
    while others:
        taken = [domains.get(vm, '') for vm in chosen]
        vm = min(others, key=lambda vm: (taken.count(domains.get(vm, '')), vm))
        left -= by_vm[vm].slots
        if len(chosen) >= MIN_CANARIES and left < 0:
            break
        others.remove(vm)
        chosen.append(vm)
        if left == math.inf:
            break
    return tuple(chosen)


def _shift(order, record, evidence, now_s, policy, excluded, judgements):
    """Return the next step in the phase `SHIFTING`, or None."""
    elapsed = (now_s - record.started) / order.duration
    dwell = max(MIN_STEP_S, STEP_DURATION * order.duration)
    advance = now_s - record.stepped_at >= dwell
    overall, since_step, recent = judgements
    late = elapsed >= CLOSING_AT
    # Late, the newest answers count, also those from before the last step.
    half = record.share >= SHARES[1]
    sound = (overall, recent if late and half else since_step)
    if advance and _all_sound(sound):
        remaining = record.deadline - now_s
        left = exposure_left(
            policy, evidence.exposed, evidence.total, evidence.rate, remaining
        )
        affordable = affordable_share(left, evidence.rate)
        larger = [share for share in SHARES if share > record.share]
        share = larger[0] if larger else 1.0
        if (
            not larger
            or share <= affordable
            or _proven(record, evidence, left)
        ):
            if not larger or (late and (half or record.loaded)):
                return _step(
                    record, rollout.Phase.CLOSING, 1.0, excluded, 'sound'
                )
            return _step(record, record.phase, share, excluded, 'sound')
    if excluded != record.excluded:
        return _step(record, record.phase, record.share, excluded, 'faulty')
    return None


def _proven(record, evidence, left):
    """Return whether a step may be taken that the exposure does not allow.

    At 1,100 requests a second, 1.5 s with all of them are more than a tenth
    of those in 12 s. So no step to the whole share fits what is allowed. It
    is taken when the version was sound on gates that were as busy per slot as
    all will be, or when there are so few gates that they close themselves
    before what is allowed is used up. What is allowed is used up after that
    step; to remain at half of the requests would expose as many.
    """
    gates = evidence.overall.new
    if sum(gate.ended for gate in gates) < MAX_ANSWERS:
        return False
    return (
        record.loaded
        or record.share >= SHARES[1]
        or sum(gate.slots > 0 for gate in gates) * REQUESTS_TO_TRIP <= left
    )


def is_loaded(record, evidence):
    """Return whether canaries carry the load per slot of the whole service.

    Args:
        record: The `rollout.Record`.
        evidence: The `rolloutevidence.View`.
    """
    if record.phase is not rollout.Phase.CANARY or not evidence.rate:
        return False
    slots = {
        gate.vm: gate.slots for gate in evidence.overall.new if gate.slots
    }
    canaries = sum(slots.get(vm, 0) for vm in record.canaries)
    everything = sum(slots.values())
    if not canaries:
        return False
    return evidence.new_rate / canaries >= (
        LOAD_PROVEN * evidence.rate / everything
    )


def _all_sound(judgements):
    return all(
        found.verdict is rolloutevidence.Verdict.SOUND for found in judgements
    )


def _step(record, phase, share, excluded, reason):
    return Step(phase, share, record.canaries, excluded, reason)


def _roll_back(record, reason):
    return Step(
        rollout.Phase.ROLLED_BACK,
        0.0,
        record.canaries,
        record.excluded,
        reason,
    )
