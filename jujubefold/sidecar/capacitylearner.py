"""Capacity learner: applies the learned limit to the slots of a gate."""

from jujubefold.sidecar import capacity


class CapacityLearner:
    """Learns how many requests the upstream of one gate handles well at once.

    Args:
        enabled: Whether anything is learned.
        slot_table: The `limiter.SlotTable` whose limit is set.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, enabled, slot_table, event_log):
        self._enabled = enabled
        self._slot_table = slot_table
        self._event_log = event_log
        self._table = None
        self._logged = 0

    def reset(self):
        """Forget what was learned, because another upstream has started."""
        self._table = None
        self._slot_table.learned_limit = None

    def set_slots(self, slots):
        """Apply the number of slots that may be used.

        Args:
            slots: As in `limiter.SlotTable`; with 0, what was learned stays.
        """
        if not self._enabled or not slots:
            return
        if self._table is None:
            self._table = capacity.new_table(slots)
            self._logged = slots
        capacity.set_slots(self._table, slots)
        self._slot_table.learned_limit = capacity.limit(self._table)

    def record(self, key, waited, now):
        """Learn from a run that the upstream answered; call before `release`.

        Args:
            key: Its key in the slot table.
            waited: Seconds for which it waited for calls; None if unknown.
            now: Monotonic seconds.
        """
        run = self._slot_table.running.get(key)
        if self._table is None or run is None or waited is None:
            return
        if run.warmup_factor != 1.0 or self._slot_table.warmup_factor != 1.0:
            return
        if not capacity.record(
            self._table,
            run.request.route,
            now - run.started_at - waited,
            len(self._slot_table.running),
            now,
        ):
            return
        self._slot_table.learned_limit = capacity.limit(self._table)
        # Trials are not logged, only limits that are kept.
        settled = self._table.settled
        if settled != self._logged:
            before, self._logged = self._logged, settled
            self._event_log.record(
                'upstream.capacity',
                limit=settled,
                before=before,
                slots=self._table.slots,
            )
