"""Rollout controller: carries out the orders, as the one that owns a record.

Each reader of the versions runs a `Controller` while an order has not ended.
The record of a service is a lease: its owner renews it, and another reader
takes over when it no longer changes. A write is conditional on the record that
was read, so that of two controllers one makes a step.
"""

import asyncio
import dataclasses

import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutevidence
from jujubefold.sidecar import rolloutplan
from jujubefold.sidecar import rowfeed

RECORD_TABLE = 'jujubefold-rollouts'
EVIDENCE_TABLE = 'jujubefold-rollout-evidence'
# Seconds between readings, and after which the owner renews its record, so
# that it does at least once a second.
INTERVAL_S = 0.4
RENEW_S = 0.7
# Seconds without a change after which another controller takes over.
LEASE_S = 2.0
# Age of evidence in seconds above which no step is decided on it.
MAX_EVIDENCE_AGE_S = 1.5
# Seconds in which the configuration with a new service may arrive.
UNKNOWN_SERVICE_S = 1.0
# Longest random wait before the first record of an order is written; all
# readers hear of it at once and all but one write would be refused.
FIRST_DELAY_S = 0.3

_record_decoder = msgspec.json.Decoder(rollout.Record)
_evidence_decoder = msgspec.json.Decoder(rollout.Evidence)


@dataclasses.dataclass(frozen=True, slots=True)
class OrderRow:
    """A row with an order, which may be malformed.

    Args:
        service: Service that its key names.
        id: The `rollout.OrderId`.
        order: The `rollout.Order`; None if the row is malformed.
        detail: What is wrong with it.
    """

    service: str
    id: rollout.OrderId
    order: rollout.Order | None
    detail: str = ''


@dataclasses.dataclass(slots=True)
class _Service:
    """What the controller knows of a service's rollout.

    Attributes:
        record: Its `rollout.Record` as last read; None for none.
        version: Row version of the record; 0 for none.
        seen_at: Boot time in seconds at which that version was first seen.
        ledger: The `rolloutevidence.Ledger` while the record is owned.
        order_seen_at: Boot time at which the order was first seen.
        pending: The record of a write with an unknown outcome, the event to
            log if it took effect, and the event's fields.
        written_at: Boot time at which the last write was sent.
    """

    record: rollout.Record | None = None
    version: int = 0
    seen_at: float = 0.0
    ledger: rolloutevidence.Ledger | None = None
    ledger_order: rollout.OrderId | None = None
    order_seen_at: float = 0.0
    first_delay: float = 0.0
    pending: tuple | None = None
    written_at: float = 0.0


class Controller:
    """Decides and writes the steps of all rollouts that it owns.

    Args:
        feed: The `rowfeed.RowFeed`.
        platform_rollouts: The platform's module for rollouts, with `status`,
            `key` and `STATUS_TABLE`.
        own_name: `vm/incarnation` of this daemon.
        policy: A `rolloutplan.Policy`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
        on_state: Called with each `rollout.State` that is read or written.

    Attributes:
        steps: Number of steps written, by phase.
        conflicts: Number of writes that another controller's write refused.
        takeovers: Number of records taken over.
    """

    def __init__(
        self,
        feed,
        platform_rollouts,
        own_name,
        policy,
        clock,
        rng,
        event_log,
        on_state,
    ):
        self._feed = feed
        self._platform = platform_rollouts
        self._own_name = own_name
        self._policy = policy
        self._clock = clock
        self._rng = rng
        self._event_log = event_log
        self._on_state = on_state
        self._orders = {}
        self._has_orders = False
        self._names = None
        self._services = {}
        self._wake = asyncio.Event()
        self._invalid_logged = set()
        self.steps = dict.fromkeys(rollout.Phase, 0)
        self.conflicts = 0
        self.takeovers = 0

    @property
    def active(self):
        """Whether an order, or a record without one, has yet to end."""
        return any(
            service.record is None
            or not service.record.phase.ended
            or self._is_newer(name, service.record)
            for name, service in self._services.items()
        )

    def set_orders(self, orders):
        """Replace the orders.

        Args:
            orders: The `OrderRow` of each row with an order, of the whole
                table.
        """
        self._has_orders = True
        before, self._orders = self._orders, {o.service: o for o in orders}
        now = self._clock.boottime()
        for name, row in self._orders.items():
            service = self._services.setdefault(name, _Service())
            if name not in before or before[name].id != row.id:
                service.order_seen_at = now
                service.first_delay = self._rng.uniform(0.0, FIRST_DELAY_S)
        # A withdrawn order must be looked up, since its record may still run.
        self._wake.set()

    def set_services(self, names):
        """Replace the known services.

        Args:
            names: Names in the active configuration.
        """
        self._names = frozenset(names)

    async def run(self):
        """Carry out orders until cancelled."""
        while True:
            self._wake.clear()
            await self._act()
            if self._has_orders and not self.active:
                await self._wake.wait()
            else:
                await self._sleep()

    async def _sleep(self):
        try:
            async with asyncio.timeout(INTERVAL_S):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _act(self):
        """Read the records, and write the steps of those that are owned."""
        sent_at = self._clock.boottime()
        answer = await self._feed.read(RECORD_TABLE)
        if answer.is_error():
            return
        rows = answer.ok
        self._take_records(rows.rows)
        store_now = rows.now or self._clock.wall()
        if not self._has_orders:
            return
        owned = [
            name for name in self._services if self._may_act(name, sent_at)
        ]
        evidence, read_at = {}, sent_at
        if any(self._services[name].record for name in owned):
            read_at = self._clock.boottime()
            answer = await self._feed.read(EVIDENCE_TABLE)
            if answer.is_error():
                return
            evidence = self._decode_evidence(answer.ok.rows)
            store_now = answer.ok.now or self._clock.wall()
        for name in owned:
            await self._advance(
                name, evidence.get(name, {}), read_at, store_now
            )

    def _take_records(self, rows):
        """Note the records that were read, and report them."""
        now = self._clock.boottime()
        found = {row.key: row for row in rows}
        for name, row in found.items():
            service = self._services.setdefault(name, _Service())
            if service.version == row.version and service.record:
                continue
            decoded = decoding.decode(_record_decoder, row.value, RECORD_TABLE)
            if decoded.is_error():
                # Nobody else writes this table, so the row is replaced.
                self._log_invalid(RECORD_TABLE, row, decoded.error)
            service.record = decoded.ok if decoded.is_ok() else None
            service.version = row.version
            service.seen_at = now
        for name, service in list(self._services.items()):
            if name not in found:
                service.record, service.version = None, 0
                if name not in self._orders:
                    del self._services[name]
                    continue
            self._settle_pending(service)
            self._report(name, service.record)

    def _settle_pending(self, service):
        """Log a write with an unknown outcome if the record shows it."""
        if service.pending is None:
            return
        record, event, fields = service.pending
        service.pending = None
        if service.record == record and event is not None:
            self._log_step(record, event, fields)

    def _decode_evidence(self, rows):
        """Return `rollout.Evidence` by service and failure domain."""
        found = {}
        for row in rows:
            name, _, domain = row.key.partition('/')
            evidence = decoding.decode(
                _evidence_decoder, row.value, EVIDENCE_TABLE
            )
            if evidence.is_error():
                self._log_invalid(EVIDENCE_TABLE, row, evidence.error)
                continue
            found.setdefault(name, {})[domain] = evidence.ok
        return found

    def _log_invalid(self, table, row, error):
        if (table, row.key, row.version) not in self._invalid_logged:
            self._invalid_logged.add((table, row.key, row.version))
            self._event_log.record(
                'rollout.invalid',
                table=table,
                key=row.key,
                detail=error.reason,
            )

    def _is_newer(self, name, record):
        """Return whether the known order is newer than a record's."""
        row = self._orders.get(name)
        return row is not None and record.order < row.id

    def _may_act(self, name, sent_at):
        """Return whether this controller may write a service's record now."""
        service = self._services[name]
        record = service.record
        if record is None or record.phase.ended:
            row = self._orders.get(name)
            if row is None or (record and not self._is_newer(name, record)):
                return False
            return sent_at - service.order_seen_at >= service.first_delay
        if record.controller == self._own_name:
            return True
        return sent_at - service.seen_at >= LEASE_S

    async def _advance(self, name, evidence, read_at, store_now):
        """Write the next step of a rollout, or renew its record."""
        service = self._services[name]
        before = service.record
        row = self._orders.get(name)
        taken_over = (
            before is not None
            and not before.phase.ended
            and before.controller != self._own_name
        )
        if before is not None and not before.phase.ended:
            # A record of a later order shows that this daemon has yet to
            # hear of that order.
            if row is None or self._is_newer(name, before):
                reason = 'withdrawn' if row is None else 'replaced'
                record = self._rolled_back(before, reason, store_now)
                # The status belongs to the new order from now on.
                await self._write(
                    name, read_at, record, reason, {}, reason == 'withdrawn'
                )
                return
            if before.order > row.id:
                return
        if before is None or before.phase.ended:
            await self._begin(name, row, read_at, store_now)
            return
        if row.order is None:
            return
        view = self._view(service, row, before, evidence, store_now)
        step = rolloutplan.next_step(
            row.order, before, view, store_now, self._policy
        )
        if (
            step is None
            and not taken_over
            and read_at - service.written_at < RENEW_S
        ):
            return
        record = rolloutplan.apply(
            before, step, view, store_now, self._own_name
        )
        fields = {
            'age': round(self._clock.boottime() - read_at, 3),
            'exposed': view.exposed if view else 0,
            'total': view.total if view else 0,
            'rate': round(view.rate, 1) if view else 0.0,
            'answers': sum(r.ended for r in view.overall.new) if view else 0,
            'bad': sum(r.bad for r in view.overall.new) if view else 0,
            'old_running': view.old_running if view else 0,
        }
        if await self._write(
            name,
            read_at,
            record,
            step.reason if step else None,
            fields,
            _shown(record) != _shown(before),
        ):
            if taken_over:
                self.takeovers += 1
                self._event_log.record(
                    'rollout.taken_over',
                    service=name,
                    former=before.controller,
                    step=record.step,
                )

    async def _begin(self, name, row, read_at, store_now):
        """Write the first record of an order, or reject the order."""
        service = self._services[name]
        order = row.order
        reason = ''
        if order is None:
            reason = 'malformed'
        elif self._names is not None and name not in self._names:
            waited = self._clock.boottime() - service.order_seen_at
            if waited < UNKNOWN_SERVICE_S:
                return
            reason = 'unknown-service'
        record = rollout.Record(
            row.id,
            order.to if order else '',
            store_now,
            store_now + (order.duration if order else 0.0),
            stepped_at=store_now,
            controller=self._own_name,
        )
        if not reason:
            await self._write(name, read_at, record, 'ordered', {}, True)
            return
        record = self._rolled_back(record, reason, store_now)
        if await self._write(name, read_at, record, reason, {}, True):
            self._event_log.record(
                'rollout.rejected',
                service=name,
                reason=reason,
                detail=row.detail,
            )

    def _rolled_back(self, record, reason, store_now):
        step = rolloutplan.Step(
            rollout.Phase.ROLLED_BACK,
            0.0,
            record.canaries,
            record.excluded,
            reason,
        )
        return rolloutplan.apply(record, step, None, store_now, self._own_name)

    def _view(self, service, row, record, evidence, store_now):
        """Return the `rolloutevidence.View`; None without evidence."""
        if service.ledger is None or service.ledger_order != row.id:
            service.ledger_order = row.id
            service.ledger = rolloutevidence.Ledger(row.id, row.service)
        if not any(item.order == row.id for item in evidence.values()):
            return None
        service.ledger.add(evidence, record, store_now)
        return service.ledger.view(record)

    async def _write(self, name, read_at, record, reason, fields, with_status):
        """Write a record, and return whether it is known to be written.

        Args:
            name: Name of the service.
            read_at: Boot time at which the read was sent that it follows
                from.
            record: The `rollout.Record`.
            reason: Why it is a step; None for a renewal.
            fields: Fields of the step's log line.
            with_status: Whether the platform's status changes too.
        """
        service = self._services[name]
        puts = [rowfeed.Put(RECORD_TABLE, name, msgspec.json.encode(record))]
        if with_status:
            puts.append(
                rowfeed.Put(
                    self._platform.STATUS_TABLE,
                    self._platform.key(name),
                    self._platform.status(record),
                )
            )
        condition = rowfeed.Condition(RECORD_TABLE, name, service.version)
        now = self._clock.boottime()
        if now - read_at > MAX_EVIDENCE_AGE_S:
            # This process was paused; others may have gone on.
            return False
        service.written_at = now
        answer = await self._feed.transact([condition], puts)
        event = None if reason is None else {'service': name, 'why': reason}
        if answer.is_ok():
            service.record = record
            # Its row version is known after the next read.
            service.version = -1
            if event is not None:
                self._log_step(record, event, fields)
            self._report(name, record)
            return True
        match answer.error:
            case rowfeed.Conflict():
                self.conflicts += 1
                self._event_log.record(
                    'rollout.conflict', service=name, step=record.step
                )
            case errors.StoreOutcomeUnknown():
                # The next read of the records shows whether it took effect.
                service.pending = record, event, fields
        return False

    def _log_step(self, record, event, fields):
        self.steps[record.phase] += 1
        self._event_log.record(
            'rollout.step',
            **event,
            phase=record.phase.value,
            share=round(record.share, 3),
            canaries=len(record.canaries),
            excluded=list(record.excluded),
            step=record.step,
            **fields,
        )

    def _report(self, name, record):
        row = self._orders.get(name)
        self._on_state(rollout.State(name, row.order if row else None, record))


def _shown(record):
    """Return what the status row shows of a record's phase."""
    return record.phase if record.phase.ended else None
