"""Rollouts: this daemon's part in moving services to new versions.

Learns the orders and records from the store or from other daemons, passes
them on, closes or opens the gate, reports what the gate counts, and runs the
controller while it is a reader and an order has not ended.
"""

import asyncio
import dataclasses

import msgspec

from jujubefold import backgroundtasks
from jujubefold.sidecar import distribution
from jujubefold.sidecar import frames
from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutaggregator
from jujubefold.sidecar import rolloutgate
from jujubefold.sidecar import rolloutmessages
from jujubefold.sidecar import rolloutstates

# Seconds between two reports of a gate if something changed, and at most.
REPORT_INTERVAL_S = 0.25
REPORT_MAX_INTERVAL_S = 1.0
# Seconds between two rows with the sums of a failure domain.
EVIDENCE_INTERVAL_S = 0.5
# Seconds for which a daemon must be the first reader before it writes a row:
# each gate reports to it once in that time, so that no sum lacks a gate.
AGGREGATOR_DELAY_S = 1.2
# Seconds for which a daemon must follow the store before it runs a controller.
# A daemon that starts follows it only until it hears of the readers; if it
# owned a record then, the next step would wait for the end of its lease.
CONTROLLER_DELAY_S = 1.5
# Seconds after which a controller that failed is started again.
CONTROLLER_RESTART_S = 1.0

_MS = 1000
_json = msgspec.json.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Parts:
    """What the rollouts of a daemon work with.

    Args:
        member: This daemon's `roster.Member`.
        fleet: The `fleet.Fleet`.
        egress: The `egress.Egress`.
        feed: The `rowfeed.RowFeed`.
        platform: The platform's module with `service_of` and `read_orders`.
        new_controller: Called with the callback for each `rollout.State`
            that is read or written; returns the controller, with
            `set_orders`, `set_services` and `run`.
        seal: Name of the header that proves an upstream's answer.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
    """

    member: object
    fleet: object
    egress: object
    feed: object
    platform: object
    new_controller: object
    seal: bytes
    clock: object
    rng: object
    event_log: object


class Rollouts:
    """Holds the state of rollouts and exchanges it with others.

    Args:
        parts: The `Parts`.

    Attributes:
        states: The `rolloutstates.StateTable`.
        gate: The `rolloutgate.RolloutGate`.
    """

    def __init__(self, parts):
        self._parts = parts
        self._member = parts.member
        self._fleet = parts.fleet
        self._clock = parts.clock
        self._event_log = parts.event_log
        self.states = rolloutstates.StateTable()
        self.gate = rolloutgate.RolloutGate(
            parts.member,
            self.states,
            parts.seal,
            parts.clock,
            parts.event_log,
        )
        self.gate.on_tripped = self._gate_tripped
        # Rows of the orders' table by key, and the `OrderRow` of each order.
        self._rows = {}
        self._orders = ()
        self._reports = rolloutaggregator.ReportTable()
        self._controller = parts.new_controller(self._handle_state)
        self._control_task = None
        self._control_allowed_at = 0.0
        self._follows_since = None
        self._evidence_task = None
        self._evidence_failing = False
        self._first_reader_since = None
        self._evidence_at = 0.0
        self._reported = None
        self._reported_at = 0.0
        self._closed = False

    # Orders of the platform

    def replace_orders(self, rows, era):
        """Take over all orders.

        Args:
            rows: Each `rowfeed.Row` of the orders' table; others are skipped.
            era: Era of the store in which they were read.
        """
        self._rows.clear()
        self.states.orders_read = True
        self.update_orders(rows, era)
        self._note_completeness()

    def update_orders(self, rows, era):
        """Take over changes of orders.

        Args:
            rows: As in `replace_orders`, those that changed.
            era: As in `replace_orders`.
        """
        for row in rows:
            self._rows.pop(row.key, None)
            if self._parts.platform.service_of(row.key) and row.value:
                self._rows[row.key] = row
        self._orders = self._parts.platform.read_orders(
            self._rows.values(), era
        )
        self._controller.set_orders(self._orders)
        for item in self._orders:
            if item.order is not None:
                self._record_order(item.order)
        self._record_withdrawals()

    def _record_order(self, order):
        """Close the gates of an ordered version until its record is known."""
        if rolloutstates.newest_order(self.states, order.service) < order.id:
            entry = self.states.entries.get(order.service)
            record = None if entry is None else entry.state.record
            self._record(
                rollout.State(order.service, order, record),
                confirmed=False,
            )

    def _record_withdrawals(self):
        """Close the gates of versions whose order was deleted."""
        named = {item.service for item in self._orders}
        for service, entry in tuple(self.states.entries.items()):
            if service not in named and entry.state.order is not None:
                self._record(rolloutstates.withdrawn(entry.state))

    def set_services(self, names):
        """Tell the controller which services the configuration has."""
        self._controller.set_services(names)

    # States

    def _handle_state(self, state):
        """Take over a `rollout.State` that the controller read or wrote."""
        self._record(state)

    def _record(self, state, age=0.0, entry=None, confirmed=True):
        """Take over a state; return whether it was new."""
        before = self._summary(state.service)
        is_new = rolloutstates.record_state(
            self.states,
            state,
            age,
            self._clock.boottime(),
            self._parts.rng,
            entry.settled if entry else '',
            entry.barred if entry else (),
        )
        if confirmed:
            rolloutstates.confirm(self.states, state)
            self._note_completeness()
        if not is_new:
            return False
        changed = self._summary(state.service) != before
        if changed:
            self._event_log.record(
                'rollout.state', **self._summary(state.service)
            )
            self._parts.egress.update_slots()
        if not rolloutstates.is_running(state):
            rolloutaggregator.forget(self._reports, state.service)
        self._pass_on(state.service, changed)
        return True

    def _summary(self, service):
        entry = self.states.entries.get(service)
        if entry is None:
            return {}
        state = entry.state
        record = rolloutstates.current_record(state)
        return {
            'service': service,
            'to': rolloutstates.ordered_version(state),
            'phase': '' if record is None else record.phase,
            'share': 0.0 if record is None else record.share,
            'canaries': [] if record is None else list(record.canaries),
            'excluded': [] if record is None else list(record.excluded),
            'reason': '' if record is None else record.reason,
            'withdrawn': state.order is None,
        }

    def _pass_on(self, service, changed):
        """Send a new state to others.

        Readers send each renewal to their share of the failure domain and to
        a few others. The rest pass on changes only.
        """
        fleet = self._fleet
        targets = set(
            distribution.recipients(fleet.own_vm, fleet.nearby_daemons())
        )
        if fleet.is_reader or changed:
            targets.update(fleet.announcement_targets())
        message = self._message([service], False)
        for vm in sorted(targets):
            fleet.send(vm, message)

    def send_all(self, channel):
        """Send all that is known to a daemon whose link came up.

        Args:
            channel: Its `link.OutgoingLink`.
        """
        if self.states.entries or self.states.orders_read:
            channel.send(self._message(self.states.entries, True))

    def _message(self, services, is_whole):
        now = self._clock.boottime()
        entries = [
            (self.states.entries[name], self.states.entries[name].state)
            for name in services
        ]
        return frames.RolloutState(
            rolloutmessages.encode(
                rolloutmessages.States(
                    tuple(
                        rolloutmessages.StateEntry(
                            state,
                            max(0, round((now - entry.renewed_at) * _MS)),
                            entry.settled,
                            tuple(sorted(entry.barred)),
                            entry.confirmed,
                        )
                        for entry, state in entries
                    ),
                    is_whole and self.states.orders_read,
                )
            )
        )

    def _note_completeness(self):
        if rolloutstates.note_completeness(self.states, self._member.service):
            self._event_log.record(
                'rollout.orders_known', orders=sorted(self.states.entries)
            )
            self._parts.egress.update_slots()
            message = self._message(self.states.entries, True)
            for vm in self._fleet.announcement_targets():
                self._fleet.send(vm, message)

    # Messages

    def handle(self, message, channel):
        """Handle a `frames.RolloutReport` or `frames.RolloutState`.

        Args:
            message: The message; a malformed one is logged and skipped.
            channel: `link.OutgoingLink` or `link.Connection` that it came on.
        """
        if isinstance(message, frames.RolloutReport):
            decoded = rolloutmessages.decode_report(message.body)
        else:
            decoded = rolloutmessages.decode_states(message.body)
        if decoded.is_error():
            self._event_log.record(
                'rollout.malformed',
                peer=channel.vm,
                kind=type(message).__name__,
                detail=decoded.error.reason,
            )
        elif isinstance(message, frames.RolloutReport):
            self._handle_report(decoded.ok, message)
        else:
            self._handle_states(decoded.ok)

    def _handle_report(self, report, message):
        rolloutaggregator.record_report(
            self._reports, report, self._clock.boottime()
        )
        if self._first_reader_since is None:
            # The sender has no link to the first reader.
            self._fleet.send(self._first_reader(), message)

    def _handle_states(self, states):
        for entry in states.entries:
            age = max(0, entry.age_ms) / _MS
            self._record(entry.state, age, entry, entry.confirmed)
        if states.orders_read and not self.states.orders_read:
            self.states.orders_read = True
        self._note_completeness()

    # Requests

    def choose_track(self, service):
        """Return the `rolloutstates.Preference` of a new request."""
        return rolloutstates.choose_track(
            self.states, service, self._clock.boottime()
        )

    def redirect(self, service):
        """Return the `rolloutstates.Preference` after a failed offer."""
        return rolloutstates.redirect(self.states, service)

    def _gate_tripped(self):
        self._parts.egress.update_slots()
        self._send_report(self._clock.boottime())

    # Periodic work

    def sweep(self, follows_store):
        """Send reports and sums that are due, and run the controller.

        Args:
            follows_store: Whether this daemon reads the orders itself.
        """
        now = self._clock.boottime()
        if now - self._reported_at >= REPORT_INTERVAL_S:
            self._send_report(now)
        self._update_controller(follows_store, now)
        self._write_evidence(now)

    def _first_reader(self):
        names = distribution.readers(self._fleet.nearby_daemons())
        return names[0] if names else ''

    def _send_report(self, now):
        entry = self.states.entries.get(self._member.service)
        if entry is None or not rolloutstates.is_running(entry.state):
            return
        report = self.gate.report(self._parts.egress)
        if report is None or (
            report == self._reported
            and now - self._reported_at < REPORT_MAX_INTERVAL_S
        ):
            return
        self._reported = report
        self._reported_at = now
        reader = self._first_reader()
        if reader == self._member.vm:
            rolloutaggregator.record_report(self._reports, report, now)
        else:
            body = rolloutmessages.encode(report)
            self._fleet.send(reader, frames.RolloutReport(body))

    def _update_controller(self, follows_store, now):
        task = self._control_task
        if task is not None and task.done():
            task = self._control_task = None
            self._control_allowed_at = now + CONTROLLER_RESTART_S
        if not follows_store:
            self._follows_since = None
        elif self._follows_since is None:
            self._follows_since = now
        should_run = (
            follows_store
            and now - self._follows_since >= CONTROLLER_DELAY_S
            and not self._closed
            and self._has_open_order()
        )
        if not should_run and task is not None:
            task.cancel()
            self._control_task = None
        elif should_run and task is None and now >= self._control_allowed_at:
            self._control_task = backgroundtasks.spawn(self._controller.run())

    def _has_open_order(self):
        """Whether an order or a record may still change."""
        return any(
            rolloutstates.newest_order(self.states, item.service) < item.id
            for item in self._orders
        ) or any(
            rolloutstates.is_running(entry.state)
            for entry in self.states.entries.values()
        )

    def _write_evidence(self, now):
        if now - self._evidence_at < EVIDENCE_INTERVAL_S:
            return
        self._evidence_at = now
        if self._first_reader() != self._member.vm:
            self._first_reader_since = None
            return
        if self._first_reader_since is None:
            self._first_reader_since = now
        if (
            self._closed
            or now - self._first_reader_since < AGGREGATOR_DELAY_S
            or (self._evidence_task and not self._evidence_task.done())
        ):
            return
        reachable = {node.vm for node in self._fleet.nearby_daemons()}
        aggregator = f'{self._member.vm}/{self._member.incarnation}'
        rows = []
        for service, entry in self.states.entries.items():
            if not rolloutstates.is_running(entry.state):
                continue
            found = rolloutaggregator.evidence(
                self._reports,
                entry.state,
                reachable,
                self._fleet.roster.members,
                aggregator,
                now,
            )
            if found is not None:
                key = f'{service}/{self._member.failure_domain}'
                rows.append((key, _json.encode(found)))
        if rows:
            self._evidence_task = backgroundtasks.spawn(self._put(rows))

    async def _put(self, rows):
        results = await asyncio.gather(
            *(
                self._parts.feed.put(rolloutaggregator.TABLE, key, value)
                for key, value in rows
            )
        )
        failed = [item.error.reason for item in results if item.is_error()]
        if failed and not self._evidence_failing:
            self._event_log.record(
                'rollout.evidence_unwritten', detail=failed[0]
            )
        self._evidence_failing = bool(failed)

    def set_metrics(self, metrics):
        """Set the gauges of `metrics.SidecarMetrics`."""
        now = self._clock.boottime()
        for service in self.states.entries:
            metrics.rollout_share.set(
                {'service': service},
                rolloutstates.share(self.states, service, now),
            )
        for counts in self.gate.current_counts():
            labels = {
                'service': self._member.service,
                'track': 'new' if counts.is_new else 'stable',
            }
            metrics.rollout_answers.set(labels, counts.ended)
            metrics.rollout_bad.set(labels, counts.bad)
        controller = self._controller
        metrics.set_rollout_control(
            controller.steps, controller.conflicts, controller.takeovers
        )

    def close(self):
        """Stop the controller and the writing of sums."""
        self._closed = True
        for task in (self._control_task, self._evidence_task):
            if task is not None:
                task.cancel()
