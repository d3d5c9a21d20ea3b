"""MemberRows: applies the rows of the members table to the fleet."""

from jujubefold.sidecar import frames
from jujubefold.sidecar import roster

# Seconds after the store has returned from an older copy in which members may
# write the rows that it lost; those still missing then have left.
MISSING_GRACE_S = 2.5


class MemberRows:
    """Derives joined and left members from rows, and passes them on.

    Args:
        fleet: The `fleet.Fleet`.
        clock: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, fleet, clock, event_log):
        self._fleet = fleet
        self._clock = clock
        self._event_log = event_log
        # Era in which the members were last read in full; if that was a copy,
        # the VMs missing from it, and until when they may write their rows.
        self._era = 0
        self._missing = set()
        self._missing_until = 0.0

    def replace(self, rows, cursor):
        """Apply all rows of the table.

        Args:
            rows: Each `rowfeed.Row`.
            cursor: The `rowfeed.Cursor` at which they were read.
        """
        listed = {row.key for row in rows}
        missing = [
            vm
            for vm in self._fleet.roster.members
            if vm not in listed and not self._fleet.is_linked(vm)
        ]
        self._fleet.roster.complete = True
        self._missing.clear()
        if self._era and cursor.era != self._era:
            # The copy may be older than their rows.
            self._missing.update(missing)
            self._missing_until = self._clock.monotonic() + MISSING_GRACE_S
            missing = ()
        self._era = cursor.era
        self._apply(rows, missing, cursor)

    def update(self, rows, cursor):
        """Apply the rows that changed.

        Args:
            rows: Each `rowfeed.Row`; without a value if it was removed.
            cursor: The `rowfeed.Cursor` up to which changes were read.
        """
        self._missing.difference_update(row.key for row in rows)
        left = [row.key for row in rows if row.value is None]
        self._apply(rows, left, cursor)

    def forget_missing(self, now, cursor):
        """Forget members whose lost rows were not written again in time.

        Args:
            now: Monotonic seconds.
            cursor: As in `update`.
        """
        if not self._missing or now < self._missing_until:
            return
        left = [vm for vm in self._missing if not self._fleet.is_linked(vm)]
        self._missing.clear()
        self._apply((), left, cursor)

    def _apply(self, rows, left, cursor):
        known = self._fleet.roster.members
        base = self._fleet.readers.members_version
        changes = frames.MembersChanged(
            base.version,
            cursor.version,
            max((row.version for row in rows), default=0),
            tuple(
                member
                for member in self._decode(rows)
                if known.get(member.vm) != member
            ),
            tuple(left),
            base.era,
            cursor.era,
        )
        self._fleet.apply_members(changes)
        self._fleet.forward_members(changes)

    def _decode(self, rows):
        """Yield the `roster.Member` in each valid row."""
        for row in rows:
            if row.value is None:
                continue
            member = roster.decode(row.value)
            if member.is_error():
                self._log_invalid(row, member.error.reason)
            elif member.ok.vm != row.key:
                self._log_invalid(row, f'it names {member.ok.vm!r}')
            else:
                yield member.ok

    def _log_invalid(self, row, reason):
        self._event_log.record('member.invalid', peer=row.key, detail=reason)
