"""Quota exchange: obtains tokens of tenants' buckets from their owners.

The daemon that received a request asks the owner of its tenant for a token,
and serves as owner for the others. Requests of one turn of the event loop for
the same owner share a message.
"""

import asyncio
import collections
import dataclasses
import math

from jujubefold import calls
from jujubefold import eagertask
from jujubefold import errors
from jujubefold.sidecar import frames
from jujubefold.sidecar import quota

# Seconds for which an owner's answer is awaited; then the local bucket
# decides.
ANSWER_TIMEOUT_S = 0.15
# Age in seconds, from the sending of the question, up to which a token is
# used. More than the timeout, because a timer may be late; less than a pause
# of the process.
MAX_TOKEN_AGE_S = 0.5
# Seconds between two messages to a daemon that owns tenants, and between two
# probes of one that did not answer.
CONTACT_INTERVAL_S = 0.4
# Seconds for which a daemon counts as heard: two intervals, and a sweep. An
# owner that is cut off grants for that long, beside its successor.
HEARD_S = 0.9
# Seconds between two sweeps after which this process counts as paused. Others
# may have owned its tenants meanwhile.
PAUSE_S = 1.0
# Seconds after the first start of the whole fleet in which new owners start
# with full buckets, as long as no daemon is lost: no earlier owner exists.
BOOTSTRAP_S = 10.0
# Longest time in seconds for which a tenant is refused without a question.
MAX_DENIAL_S = 0.5
# Timed-out questions whose late answers are still understood, so that their
# tokens can be returned.
MAX_TIMED_OUT = 256
NOT_OWNER = -1

_MS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Whether a request may run, as far as its tenant's quota goes.

    Args:
        granted: Whether it may run.
        source: Who decided: `own` (this daemon owns the tenant), `owner`
            (another one does), `local` (no owner answered), `denied` (an
            owner refused just before) or `unlimited`.
        tenant: Name of the tenant.
        owner: VM of the other daemon that granted a token; '' for this one.
        retry_after: Seconds until a token is expected; 0 if granted.
    """

    granted: bool
    source: str
    tenant: str
    owner: str = ''
    retry_after: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Waiting:
    """A request that waits for an owner's answer."""

    tenant: object
    waiter: eagertask.Waiter
    abandoned: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class _Question:
    """A `frames.QuotaRequest`, before and after it is sent.

    Args:
        owner: VM that is asked.
        sequence: Its number.
        waiting: List of `_Waiting` by tenant's name.
        sent_at: Seconds of `clock.Clock.boottime`.
        timer: Handle of the time-out.
    """

    owner: str
    sequence: int
    waiting: dict = dataclasses.field(default_factory=dict)
    sent_at: float = 0.0
    timer: object = None


class QuotaExchange:
    """Decides whether the quota of a request's tenant lets it run.

    Args:
        vm: Name of this daemon's VM.
        policy: A `quota.Policy`.
        clock: A `clock.Clock`.
        get_view: Returns the `quota.View` of this daemon.
        get_tenants: Returns the mapping from name to `tenants.Tenant` of the
            configuration in force.
        send: Called with a VM name and a `frames.Message`.
        event_log: An `eventlog.EventLog`.
        count: Called with the source of each `Decision` and whether it
            granted the request.
        bootstrap: Whether the whole fleet starts for the first time.

    Attributes:
        stopping: Whether this daemon owns no tenants because it stops.
    """

    def __init__(
        self,
        *,
        vm,
        policy,
        clock,
        get_view,
        get_tenants,
        send,
        event_log,
        count=lambda source, granted: None,
        bootstrap=False,
    ):
        self.stopping = False
        self._policy = policy
        self._vm = vm
        self._clock = clock
        self._get_view = get_view
        self._get_tenants = get_tenants
        self._send = send
        self._event_log = event_log
        self._count = count
        now = clock.boottime()
        self._full_until = now + BOOTSTRAP_S if bootstrap else -math.inf
        self._view = quota.View(frozenset({vm}), 1, math.inf)
        self._swept_at = now
        self._tenants = None
        # Owner of each tenant with a limit, None if nobody can be asked.
        self._owners = {}
        self._buckets = {}
        self._local_buckets = {}
        self._denied_until = {}
        self._heard_at = {}
        self._contacted_at = {}
        self._silent = set()
        self._sequence = 0
        self._outbox = {}
        self._questions = {}
        # Tenants of the latest questions that timed out, by sequence.
        self._timed_out = collections.OrderedDict()
        self._returns = {}
        self._flush_scheduled = False
        self._majority_until = -math.inf
        self._had_majority = None

    @property
    def owned(self):
        """Names of the tenants whose buckets this daemon holds."""
        return tuple(self._buckets)

    # Requests of this daemon

    async def acquire(self, tenant):
        """Obtain a token for a request.

        Args:
            tenant: The request's `tenants.Tenant`.

        Returns:
            A `Decision`.
        """
        if tenant.rate <= 0:
            return Decision(True, 'unlimited', tenant.name)
        now = self._clock.boottime()
        denied_until = self._denied_until.get(tenant.name, 0.0)
        if now < denied_until:
            return self._counted(_denial('denied', tenant, denied_until - now))
        self._check_pause(now)
        owner = self._owners.get(tenant.name)
        if owner is None:
            return self._counted(self._decide_locally(tenant))
        if owner == self._vm:
            taken, retry_after = self._take_owned(tenant.name, 1, now)
            if taken == NOT_OWNER:
                return self._counted(self._decide_locally(tenant))
            if taken:
                return self._counted(Decision(True, 'own', tenant.name))
            return self._counted(_denial('own', tenant, retry_after))
        return self._counted(await self._ask(owner, tenant))

    def put_back(self, decision):
        """Return the token of a request that was not sent to an upstream.

        Args:
            decision: Its `Decision`.
        """
        if not decision.granted:
            return
        now = self._clock.boottime()
        bucket = None
        if decision.source == 'own':
            bucket = self._buckets.get(decision.tenant)
        elif decision.source == 'local':
            bucket = self._local_buckets.get(decision.tenant)
        elif decision.source == 'owner':
            self._return(decision.owner, decision.tenant, 1)
        if bucket is not None:
            quota.put_back(bucket, 1, now)

    def _counted(self, decision):
        self._count(decision.source, decision.granted)
        return decision

    async def _ask(self, owner, tenant):
        question = self._outbox.get(owner)
        if question is None:
            self._sequence += 1
            question = _Question(owner, self._sequence)
            self._outbox[owner] = question
            self._schedule_flush()
        waiting = _Waiting(tenant, eagertask.Waiter())
        question.waiting.setdefault(tenant.name, []).append(waiting)
        try:
            return await waiting.waiter
        except asyncio.CancelledError:
            waiting.abandoned = True
            raise

    def _decide_locally(self, tenant):
        now = self._clock.boottime()
        limits = quota.local_limits(tenant, self._view.daemons)
        bucket = self._local_buckets.get(tenant.name)
        if bucket is None:
            bucket = quota.new_bucket(limits, math.inf, now)
            self._local_buckets[tenant.name] = bucket
        elif bucket.limits != limits:
            quota.set_limits(bucket, limits, now)
        if quota.take(bucket, 1, now):
            return Decision(True, 'local', tenant.name)
        return _denial('local', tenant, quota.retry_after(bucket))

    # Sending

    def _schedule_flush(self):
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self):
        self._flush_scheduled = False
        now = self._clock.boottime()
        returns, self._returns = self._returns, {}
        for vm, tokens in returns.items():
            self._contact(vm, frames.QuotaReturn(tuple(tokens.items())), now)
        outbox, self._outbox = self._outbox, {}
        for question in outbox.values():
            self._send_question(question, now)

    def _send_question(self, question, now):
        question.sent_at = now
        self._questions[question.sequence] = question
        question.timer = asyncio.get_running_loop().call_later(
            ANSWER_TIMEOUT_S, self._time_out, question
        )
        tokens = tuple(
            (name, len(items)) for name, items in question.waiting.items()
        )
        message = frames.QuotaRequest(question.sequence, tokens)
        self._contact(question.owner, message, now)

    def _contact(self, vm, message, now):
        self._contacted_at[vm] = now
        self._send(vm, message)

    def _probe(self, vm, now):
        """Check whether a daemon answers, unless it is being asked."""
        if all(item.owner != vm for item in self._questions.values()):
            self._sequence += 1
            self._send_question(_Question(vm, self._sequence), now)

    def _return(self, vm, tenant, count):
        tokens = self._returns.setdefault(vm, {})
        tokens[tenant] = tokens.get(tenant, 0) + count
        self._schedule_flush()

    # Answers

    def _time_out(self, question):
        self._questions.pop(question.sequence, None)
        if question.waiting:
            self._timed_out[question.sequence] = tuple(question.waiting)
        while len(self._timed_out) > MAX_TIMED_OUT:
            self._timed_out.popitem(last=False)
        if question.owner not in self._silent:
            self._silent.add(question.owner)
            self._full_until = -math.inf
            self._event_log.record('quota.silent', peer=question.owner)
            self._update_owners()
        for items in question.waiting.values():
            for waiting in items:
                if not waiting.abandoned:
                    waiting.waiter.set_result(
                        self._decide_locally(waiting.tenant)
                    )

    def _handle_answer(self, vm, answer):
        question = self._questions.pop(answer.sequence, None)
        if vm in self._silent:
            self._silent.discard(vm)
            self._event_log.record('quota.answered', peer=vm)
            self._update_owners()
        if question is None:
            self._return_late(vm, answer)
            return
        question.timer.cancel()
        now = self._clock.boottime()
        is_late = now - question.sent_at > MAX_TOKEN_AGE_S
        for (name, items), (granted, retry_ms) in zip(
            question.waiting.items(), answer.grants, strict=False
        ):
            self._settle(vm, name, items, granted, retry_ms / _MS, is_late)
        answered = len(answer.grants)
        for items in tuple(question.waiting.values())[answered:]:
            self._settle(vm, '', items, NOT_OWNER, 0.0, False)

    def _return_late(self, vm, answer):
        names = self._timed_out.pop(answer.sequence, ())
        for name, (granted, _) in zip(names, answer.grants, strict=False):
            if granted > 0:
                self._return(vm, name, granted)

    def _settle(self, vm, name, items, granted, retry_after, is_late):
        """Give the tokens of an answer to the requests of one tenant."""
        now = self._clock.boottime()
        waiting = [item for item in items if not item.abandoned]
        if granted != NOT_OWNER:
            used = 0 if is_late else min(granted, len(waiting))
            if granted > used:
                self._return(vm, name, granted - used)
            if not is_late and granted < len(items):
                self._denied_until[name] = now + min(retry_after, MAX_DENIAL_S)
        for number, item in enumerate(waiting):
            if granted == NOT_OWNER or is_late:
                decision = self._decide_locally(item.tenant)
            elif number < granted:
                decision = Decision(True, 'owner', name, vm)
            else:
                decision = _denial('owner', item.tenant, retry_after)
            item.waiter.set_result(decision)

    # Requests of other daemons

    def handle(self, vm, message, reply):
        """Handle a message of another daemon.

        Args:
            vm: Name of its VM.
            message: A `frames.QuotaRequest`, `QuotaAnswer` or `QuotaReturn`.
            reply: Called with a `frames.Message` for the sender.
        """
        now = self._clock.boottime()
        self._check_pause(now)
        self._heard_at[vm] = now
        match message:
            case frames.QuotaRequest():
                reply(self._answer(message, now))
            case frames.QuotaAnswer():
                self._handle_answer(vm, message)
            case frames.QuotaReturn():
                for name, count in message.tokens:
                    bucket = self._buckets.get(name)
                    if bucket is not None and count > 0:
                        quota.put_back(bucket, count, now)

    def _answer(self, request, now):
        grants = []
        for name, count in request.tokens:
            taken, retry_after = self._take_owned(name, max(0, count), now)
            grants.append((taken, math.ceil(retry_after * _MS)))
        return frames.QuotaAnswer(request.sequence, tuple(grants))

    def _take_owned(self, name, count, now):
        """Take tokens of a tenant if this daemon may grant them.

        Returns:
            Tuple of the tokens taken, or `NOT_OWNER`, and the seconds until
            the next one is expected.
        """
        owner = self._owners.get(name)
        if owner != self._vm:
            if owner is not None:
                # The sender may have found the owner silent.
                self._probe(owner, now)
            return NOT_OWNER, 0.0
        if not self._has_majority(now):
            return NOT_OWNER, 0.0
        bucket = self._buckets[name]
        taken = quota.take(bucket, count, now)
        if taken == count:
            return taken, 0.0
        return taken, min(quota.retry_after(bucket), MAX_DENIAL_S)

    # Ownership

    def sweep(self):
        """Follow changes of members, links and tenants; call it often."""
        now = self._clock.boottime()
        self._check_pause(now)
        self._swept_at = now
        view = self._get_view()
        if self.stopping:
            view = dataclasses.replace(view, linked=view.linked - {self._vm})
        tenants = self._get_tenants()
        if view != self._view:
            self._majority_until = -math.inf
        if view.linked != self._view.linked or tenants is not self._tenants:
            if self._view.linked - view.linked:
                self._full_until = -math.inf
            self._view = view
            self._tenants = tenants
            self._silent &= view.linked
            self._update_owners()
        self._view = view
        if not self._owners:
            return
        for vm in self._silent:
            if now - self._contacted_at.get(vm, 0.0) >= CONTACT_INTERVAL_S:
                self._probe(vm, now)
        self._keep_contact(now)
        self._report_majority(now)

    def _keep_contact(self, now):
        """Show the owners of tenants that this daemon reaches them."""
        for vm in set(self._owners.values()) - {self._vm, None}:
            if now - self._contacted_at.get(vm, 0.0) >= CONTACT_INTERVAL_S:
                self._contact(vm, frames.QuotaReturn(), now)

    def _has_majority(self, now):
        if now > self._majority_until:
            heard_at = [
                self._heard_at[vm]
                for vm in self._view.linked
                if vm != self._vm and vm in self._heard_at
            ]
            self._majority_until = quota.majority_until(
                heard_at, self._view.known, HEARD_S
            )
        return now <= self._majority_until

    def _report_majority(self, now):
        has_majority = self._has_majority(now)
        if has_majority != self._had_majority:
            self._had_majority = has_majority
            self._event_log.record('quota.majority', held=has_majority)

    def _update_owners(self):
        now = self._clock.boottime()
        candidates = self._view.linked - self._silent
        tenants = self._tenants or {}
        self._owners = {}
        owned = {}
        for tenant in tenants.values():
            if tenant.rate <= 0:
                continue
            owner = quota.choose_owner(tenant.name, candidates)
            self._owners[tenant.name] = owner
            if owner == self._vm:
                owned[tenant.name] = self._owned_bucket(tenant, now)
        gained = [name for name in owned if name not in self._buckets]
        lost = [name for name in self._buckets if name not in owned]
        self._buckets = owned
        for table in (self._local_buckets, self._denied_until):
            for name in tuple(table):
                if name not in self._owners:
                    del table[name]
        if gained or lost:
            self._event_log.record('quota.owned', gained=gained, lost=lost)

    def _owned_bucket(self, tenant, now):
        limits = quota.owner_limits(tenant, self._policy)
        bucket = self._buckets.get(tenant.name)
        if bucket is None:
            is_first = now < self._full_until
            seconds = math.inf if is_first else quota.NEW_OWNER_S
            return quota.new_bucket(limits, seconds, now)
        if bucket.limits != limits:
            quota.set_limits(bucket, limits, now)
        return bucket

    def _check_pause(self, now):
        """Empty the buckets after a pause, in which others may have owned."""
        if now - self._swept_at <= PAUSE_S:
            return
        self._swept_at = now
        # What the others sent before the pause proves nothing now.
        self._heard_at.clear()
        self._majority_until = -math.inf
        for bucket in self._buckets.values():
            quota.empty(bucket, quota.NEW_OWNER_S, now)


def new_exchange(options, fleet, versions, clock, event_log, count):
    """Return the `QuotaExchange` of a daemon; None without quotas.

    Args:
        options: The `options.Options`.
        fleet: The `fleet.Fleet`.
        versions: The `versions.Versions`.
        clock: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.
        count: As in `QuotaExchange`.
    """
    settings = options.quotas
    if settings is None:
        return None
    return QuotaExchange(
        vm=options.daemon.vm,
        policy=quota.Policy(
            settings.window,
            settings.overage,
            settings.slack,
            len(set(settings.domains)),
        ),
        clock=clock,
        get_view=lambda: _view(fleet, options.daemon.failure_domain),
        get_tenants=lambda: versions.current.tenants,
        send=fleet.send,
        event_log=event_log,
        count=count,
        bootstrap=options.daemon.bootstrap,
    )


def refusal(decision):
    """Return the `calls.Refusal` for a `Decision` that is not granted."""
    return calls.Refusal(
        errors.Outcome.DID_NOT_RUN,
        calls.Reason.QUOTA,
        decision.retry_after,
        'the tenant is above its quota'
        if decision.source != 'local'
        else 'no owner of the quota answered, and the local share is used up',
    )


def _view(fleet, domain):
    members = fleet.roster.members.values()
    return quota.View(
        frozenset(node.vm for node in fleet.nearby_daemons()),
        1 + sum(member.failure_domain == domain for member in members),
        fleet.roster.size,
    )


def _denial(source, tenant, retry_after):
    return Decision(
        False, source, tenant.name, retry_after=min(retry_after, 60.0)
    )
