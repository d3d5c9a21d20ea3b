"""Rollout gate: the rollout's part in the gate of this VM's upstream."""

import asyncio
import functools

from jujubefold.sidecar import instance
from jujubefold.sidecar import rolloutcounts
from jujubefold.sidecar import rolloutstates

TRIPPED = 'too many of its last answers were bad'


class RolloutGate:
    """Closes the gate as the rollout demands, and counts answers.

    Args:
        member: This daemon's `roster.Member`.
        states: The `rolloutstates.StateTable`.
        seal: Name of the header that proves an upstream's answer.
        clock: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.

    Attributes:
        on_tripped: Called without arguments when the gate closes itself.
    """

    def __init__(self, member, states, seal, clock, event_log):
        self._member = member
        self._states = states
        self._seal = seal
        self._clock = clock
        self._event_log = event_log
        # `rolloutcounts.Counts` of the current order by whether they are of
        # the new version.
        self._counts = {}
        self.on_tripped = lambda: None

    def admission(self, upstream):
        """Return the `rolloutstates.Admission` of the gate now.

        Args:
            upstream: `instance.Announcement` of its upstream, or None.
        """
        found = rolloutstates.admission(
            self._states,
            self._member.service,
            '' if upstream is None else upstream.version,
            self._member.vm,
            self._clock.boottime(),
        )
        if found.is_open and found.track == rolloutstates.NEW:
            counts = self.counts(upstream)
            if counts is not None and counts.tripped:
                return rolloutstates.Admission(found.track, TRIPPED)
        return found

    def counts(self, upstream):
        """Return the `rolloutcounts.Counts` for an upstream, or None.

        Args:
            upstream: Its `instance.Announcement`, or None.
        """
        entry = self._states.entries.get(self._member.service)
        if entry is None or entry.state.order is None or upstream is None:
            return None
        order = entry.state.order
        is_new = upstream.version == order.to
        counts = self._counts.get(is_new)
        if counts is None or counts.order != order.id:
            counts = rolloutcounts.Counts(order.id, is_new)
            self._counts[is_new] = counts
        return counts

    def current_counts(self):
        """Return the `rolloutcounts.Counts` of the last order."""
        return tuple(self._counts.values())

    async def observe(self, upstream, attempt, is_warm, exchange):
        """Count a request that is sent to the upstream and how it ends.

        Args:
            upstream: `instance.Announcement` of the upstream.
            attempt: The `attempt.Attempt`.
            is_warm: Whether the upstream's warm-up has ended.
            exchange: Awaitable that sends it; its result is returned.

        Returns:
            An `attempt.Outcome`.
        """
        counts = self.counts(upstream)
        if counts is None:
            return await exchange
        run = rolloutcounts.start(counts, attempt.route, is_warm)
        started_at = self._clock.monotonic()
        finish = functools.partial(self._finish, run, attempt, started_at)
        try:
            outcome = await exchange
        except BaseException:
            finish(None)
            raise
        finish(outcome)
        return outcome

    def _finish(self, run, attempt, started_at, outcome):
        now = self._clock.monotonic()
        answer = None if outcome is None else outcome.answer
        fields = {} if answer is None else dict(answer.headers)
        verdict = rolloutcounts.verdict_of(
            outcome,
            self._seal in fields,
            0 if answer is None else answer.status,
            attempt.deadline - now,
        )
        entry = self._states.entries[self._member.service]
        record = entry.state.record
        bad_share = 0.0 if record is None else record.bad_share
        if rolloutcounts.end(run, verdict, now - started_at, bad_share):
            self._event_log.record(
                'rollout.tripped',
                service=self._member.service,
                to=entry.state.order.to if entry.state.order else '',
                bad=run.counts.bad,
                ended=run.counts.ended,
            )
            # The outcome of this request is handled before others are refused.
            asyncio.get_running_loop().call_soon(self.on_tripped)

    def report(self, egress):
        """Return the `rollout.GateReport` of the gate; None without an order.

        Args:
            egress: The `egress.Egress`.
        """
        upstream = egress.instance_table.current
        counts = self.counts(upstream)
        if counts is None:
            return None
        now = self._clock.monotonic()
        status = rolloutcounts.GateStatus(
            self._member.service,
            self._member.vm,
            self._member.incarnation,
            egress.offered_slots,
            not self.admission(upstream).is_open,
            instance.warmup_factor(egress.instance_table, now) == 1.0,
            len(egress.slot_table.running),
        )
        return rolloutcounts.report(counts, status)
