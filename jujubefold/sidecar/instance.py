"""Instance: state of this VM's upstream, as far as this daemon knows it.

The upstream announces itself periodically. Announcements can arrive late, out
of order, or from an earlier start. An upstream whose departure has been
acknowledged must not be taken for a running one because of an older
announcement.

Times are readings of `clock.Clock.boottime`: while the VM is suspended, the
drain time of its upstream passes.
"""

import dataclasses
import enum
import math
import re

# Share of the drain time in which requests are still sent to the upstream;
# the rest is left for those that run.
SENDING_SHARE = 0.5
# Departed upstreams that are remembered, to recognise their late
# announcements.
MAX_DEPARTED = 64
# Start recorded for a departed upstream that did not report its start: later
# than any.
UNKNOWN_START_MS = 2**62
# Announcements of one start after which the upstream is taken to run, while
# neither it nor the record of departures tells. Each may arrive late.
MIN_ANNOUNCEMENTS = 2
# Seconds without an announcement after which another upstream with the same
# start replaces the current one. Upstreams that report no start would replace
# each other with every announcement.
REPLACEMENT_SILENCE_S = 4.0
# Factor on the durations of requests while an upstream warms up.
WARMUP_FACTOR = 2.0

# Digits bounded, so that every value is a finite number.
_DECIMAL = re.compile(rb'\d{1,9}(\.\d{1,9})?')


class State(enum.StrEnum):
    """State that an upstream announces."""

    READY = 'ready'
    DRAINING = 'draining'


class Change(enum.StrEnum):
    """Effect of an announcement or a deregistration."""

    NOTHING = 'nothing'
    STALE = 'stale'
    RENEWED = 'renewed'
    STARTED = 'started'
    LEAVING = 'leaving'
    LEFT = 'left'
    LIMITED = 'limited'


class Confirmation(enum.StrEnum):
    """What the current upstream said when it was asked whether it serves.

    PENDING means that it has to be asked. UNKNOWN means that it need not be,
    or that it gave no answer; then its announcements count.
    """

    PENDING = 'pending'
    SERVES = 'serves'
    LEAVES = 'leaves'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """One announcement of an upstream.

    Args:
        id: Id of the upstream; usually another one after a restart.
        address: Where it listens, `ip:port`.
        service: Service that it runs.
        slots: Requests that it runs at once.
        state: A `State`.
        sequence: Increases with each announcement of one start.
        started_ms: Unix milliseconds of its start; 0 if not reported.
        warmup: Seconds until it has warmed up.
        version: Version of its software; empty if not reported.
    """

    id: str
    address: str
    service: str
    slots: int
    state: State
    sequence: int
    started_ms: int = 0
    warmup: float = 0.0
    version: str = ''


@dataclasses.dataclass(slots=True)
class InstanceTable:
    """The current upstream, and those that left.

    Args:
        current: Last `Announcement` of the current upstream, or None.
        draining_since: Boottime seconds at which it announced that it leaves,
            minus infinity if it may have announced it to an earlier start of
            the daemon; None if it has not.
        warm_at: Boottime seconds at which its warm-up ends.
        unreachable: Whether it was found unreachable since its last
            announcement.
        departed: Start in Unix milliseconds of each upstream that left, by
            id.
        departures_known: Whether departures from before this start of the
            daemon are known; False if they could not be read, None before
            the attempt has ended.
        announcements: Announcements received from the current start.
        announced_at: Boottime seconds of the last one.
        asks: Whether an upstream is asked whether it serves, because
            departures could not be read when the daemon started. One that
            could not be written then is lost for good.
        confirmation: The `Confirmation` of the current upstream.
        limit: Requests a second that the current upstream takes, as its
            answers say; None without a limit.
        limit_named_at: Boottime seconds at which an answer last named one.
    """

    current: Announcement | None = None
    draining_since: float | None = None
    warm_at: float = 0.0
    unreachable: bool = False
    departed: dict[str, int] = dataclasses.field(default_factory=dict)
    departures_known: bool | None = None
    announcements: int = 0
    announced_at: float = 0.0
    asks: bool = False
    confirmation: Confirmation = Confirmation.UNKNOWN
    limit: float | None = None
    limit_named_at: float = 0.0


def restore_departures(table, departed):
    """Add the departures that earlier starts of this daemon recorded.

    Args:
        table: An `InstanceTable`.
        departed: Start in Unix milliseconds of each upstream that left, by
            id; None if they could not be read.
    """
    table.departures_known = departed is not None
    table.departed.update(departed or {})
    current = table.current
    if departed is None:
        table.asks = True
        if current is not None:
            table.confirmation = _initial_confirmation(table, current)
    if current is not None and current.started_ms <= table.departed.get(
        current.id, -1
    ):
        table.draining_since = -math.inf


def handle_announcement(table, received, now):
    """Update the state by an announcement.

    Args:
        table: An `InstanceTable`.
        received: An `Announcement`.
        now: Boottime seconds.

    Returns:
        The `Change`.
    """
    if (
        received.id in table.departed
        and received.started_ms <= table.departed[received.id]
    ):
        return Change.STALE
    current = table.current
    if current is not None and not _is_newer(table, received, now):
        return Change.STALE
    is_new_start = current is None or (received.id, received.started_ms) != (
        current.id,
        current.started_ms,
    )
    table.announcements = 1 if is_new_start else table.announcements + 1
    table.announced_at = now
    table.current = received
    table.warm_at = now + received.warmup
    if is_new_start:
        table.draining_since = None
        table.limit = None
        table.confirmation = _initial_confirmation(table, received)
    elif table.confirmation is Confirmation.LEAVES:
        # It may only have failed, and serve again.
        table.confirmation = Confirmation.PENDING
    was_unreachable, table.unreachable = table.unreachable, False
    if received.state is State.DRAINING:
        # If this is the first announcement of a start, an earlier start of
        # this daemon may have acknowledged the departure long ago.
        return _start_draining(table, -math.inf if is_new_start else now)
    if table.draining_since is not None:
        # A draining upstream becomes ready again only by a restart.
        return Change.NOTHING
    if is_new_start:
        return Change.STARTED
    if was_unreachable or current.slots != received.slots:
        return Change.RENEWED
    return Change.NOTHING


def handle_deregistration(table, id_, started_ms, now):
    """Update the state by an upstream's deregistration.

    Args:
        table: An `InstanceTable`.
        id_: Id of the upstream.
        started_ms: Unix milliseconds of its start; None if not reported.
        now: Boottime seconds.

    Returns:
        The `Change`; `LEFT` if it was not the current upstream.
    """
    current = table.current
    is_current = current is not None and current.id == id_
    if started_ms is None:
        started_ms = current.started_ms if is_current else UNKNOWN_START_MS
    if is_current and started_ms < current.started_ms:
        return Change.STALE
    if table.departed.get(id_, -1) >= started_ms:
        return Change.NOTHING
    table.departed[id_] = started_ms
    while len(table.departed) > MAX_DEPARTED:
        del table.departed[next(iter(table.departed))]
    return _start_draining(table, now) if is_current else Change.LEFT


def parse_limit(value):
    """Return the requests a second in a header field, or None if invalid.

    Args:
        value: Bytes of a decimal number.
    """
    return float(value) if _DECIMAL.fullmatch(value.strip()) else None


def handle_limit(table, sent_to, limit, sent_at, now):
    """Update the limit by an answer of an upstream.

    Args:
        table: An `InstanceTable`.
        sent_to: The `Announcement` of the upstream that gave the answer.
        limit: Requests a second that the answer names; None if it names
            none.
        sent_at: Boottime seconds at which the request was sent.
        now: Boottime seconds.

    Returns:
        The `Change`; `STALE` if another upstream or start has replaced it.
    """
    if not _is_current(table, sent_to):
        return Change.STALE
    if limit is not None:
        table.limit_named_at = now
    elif sent_at < table.limit_named_at:
        # The answer may be older than the one that named the limit.
        return Change.NOTHING
    if limit == table.limit:
        return Change.NOTHING
    table.limit = limit
    return Change.LIMITED


def handle_leaving(table, sent_to, now):
    """Update the state by an answer which says that the upstream leaves.

    Args:
        table: An `InstanceTable`.
        sent_to: As in `handle_limit`.
        now: Boottime seconds.

    Returns:
        The `Change`; `STALE` if another upstream or start has replaced it.
    """
    if not _is_current(table, sent_to):
        return Change.STALE
    return _start_draining(table, now)


def confirm(table, asked, confirmation):
    """Note what an upstream said when it was asked whether it serves.

    Args:
        table: An `InstanceTable`.
        asked: Its `Announcement`.
        confirmation: A `Confirmation`.

    Returns:
        Whether it is still the current one.
    """
    if not _is_current(table, asked):
        return False
    table.confirmation = confirmation
    return True


def mark_unreachable(table):
    """Send nothing to the current upstream until its next announcement.

    Call this when its address refuses connections or serves another process.
    """
    table.unreachable = True


def sending_deadline(table, drain):
    """Return the boottime seconds after which nothing is sent, or None.

    Args:
        table: An `InstanceTable`.
        drain: Seconds for which a leaving upstream still serves requests.
    """
    if table.draining_since is None:
        return None
    return table.draining_since + drain * SENDING_SHARE


def usable_slots(table, now, drain):
    """Return how many requests may be sent to the upstream at once.

    Args:
        table: An `InstanceTable`.
        now: Boottime seconds.
        drain: As in `sending_deadline`.
    """
    if (
        table.current is None
        or table.unreachable
        or table.departures_known is None
    ):
        return 0
    if table.confirmation in (Confirmation.PENDING, Confirmation.LEAVES):
        return 0
    if (
        not table.departures_known
        and table.confirmation is not Confirmation.SERVES
        and table.announcements < MIN_ANNOUNCEMENTS
    ):
        return 0
    deadline = sending_deadline(table, drain)
    if deadline is not None and now >= deadline:
        return 0
    return table.current.slots


def warmup_factor(table, now):
    """Return the factor on durations, above 1 during the warm-up."""
    return WARMUP_FACTOR if now < table.warm_at else 1.0


def _initial_confirmation(table, announcement):
    """Return the `Confirmation` after an upstream's first announcement."""
    if table.asks and announcement.state is State.READY:
        return Confirmation.PENDING
    return Confirmation.UNKNOWN


def _start_draining(table, now):
    if table.draining_since is not None:
        return Change.NOTHING
    table.draining_since = now
    return Change.LEAVING


def _is_current(table, sent_to):
    current = table.current
    return (sent_to.id, sent_to.started_ms) == (current.id, current.started_ms)


def _is_newer(table, received, now):
    current = table.current
    if received.id == current.id:
        return (received.started_ms, received.sequence) > (
            current.started_ms,
            current.sequence,
        )
    if received.started_ms == current.started_ms:
        return now - table.announced_at > REPLACEMENT_SILENCE_S
    return received.started_ms > current.started_ms
