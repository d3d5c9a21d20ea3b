"""Rollout: an order to move a service to a new version, and its progress.

The types here are stored in the platform's store as JSON and sent between
daemons as MessagePack. New fields have defaults and come last.
"""

import enum

import msgspec

# Upper bounds of the buckets of durations in seconds; the last one is open.
BUCKET_BOUNDS_S = tuple(0.005 * 1.5**index for index in range(15))
BUCKETS = len(BUCKET_BOUNDS_S) + 1
MAX_ROUTES = 32


class Phase(enum.StrEnum):
    """Progress of a rollout."""

    CANARY = 'canary'
    SHIFTING = 'shifting'
    CLOSING = 'closing'
    COMPLETED = 'completed'
    ROLLED_BACK = 'rolled_back'

    @property
    def ended(self):
        """Whether nothing changes any more."""
        return self in (Phase.COMPLETED, Phase.ROLLED_BACK)


class OrderId(msgspec.Struct, frozen=True, order=True):
    """Identifies an order; a replaced one has another identity.

    Args:
        era: Era of the store in which its row was read.
        row_version: Store version of the last change of its row.
    """

    era: int = 0
    row_version: int = 0


class Order(msgspec.Struct, frozen=True):
    """An operator's order to move a service to a version.

    Args:
        id: The `OrderId`.
        service: Name of the service.
        to: Version of the upstreams' software.
        duration: Seconds within which it must be completed.
    """

    id: OrderId
    service: str
    to: str
    duration: float


class Record(msgspec.Struct, frozen=True):
    """Progress of a rollout, as agreed in the store.

    Args:
        order: The `OrderId` that it belongs to.
        to: Version of the upstreams' software.
        started: Store clock in seconds when the order was first seen.
        deadline: Store clock in seconds until which it must end.
        phase: The `Phase`.
        share: Share of the service's requests that the new version gets.
        canaries: VMs whose gates are open in the phase `CANARY`.
        excluded: VMs of the new version whose upstreams are faulty.
        step: Number of the last step; renewals count too.
        stepped_at: Store clock in seconds when the phase or share changed.
        controller: `vm/incarnation` of the daemon that wrote it.
        reason: Why it was rolled back; empty otherwise.
        bad_share: Share of bad answers of the old version, when last known.
        changed_step: Value of `step` when anything but a renewal was written.
        exposed: Requests sent to the new version, when last known.
        total: Requests sent to the service since the order, when last known.
        opened: Store clock in seconds when the first canaries opened; 0
            before.
        loaded: Whether canaries have carried the load per slot that all new
            gates get with all requests.
    """

    order: OrderId
    to: str
    started: float
    deadline: float
    phase: Phase = Phase.CANARY
    share: float = 0.0
    canaries: tuple[str, ...] = ()
    excluded: tuple[str, ...] = ()
    step: int = 0
    stepped_at: float = 0.0
    controller: str = ''
    reason: str = ''
    bad_share: float = 0.0
    changed_step: int = 0
    exposed: int = 0
    total: int = 0
    opened: float = 0.0
    loaded: bool = False


class RouteCounts(msgspec.Struct, frozen=True):
    """Answers on one route, counted since the order was first seen.

    Args:
        route: Name of the route.
        ended: Answers, bad ones included.
        bad: Bad answers.
        durations: Count of answers in each of the `BUCKETS`.
    """

    route: str
    ended: int = 0
    bad: int = 0
    durations: tuple[int, ...] = (0,) * BUCKETS


class GateReport(msgspec.Struct, frozen=True):
    """Cumulative counts of one gate during a rollout.

    Args:
        order: The `OrderId`.
        service: Name of the service.
        vm: VM of the gate; empty in a sum over gates.
        incarnation: Start of its daemon; the counts begin with it.
        is_new: Whether its upstream has the version that was ordered.
        slots: Slots that its upstream offers now.
        started: Requests sent to the upstream.
        ended: Requests that ended there.
        bad: Bad answers.
        running: Requests that run there now.
        closed: Whether the gate admits nothing because of the rollout.
        tripped: Whether it closed itself because of bad answers.
        warm: Whether the upstream's warm-up has ended.
        routes: `RouteCounts` of at most `MAX_ROUTES` routes.
    """

    order: OrderId
    service: str
    vm: str
    incarnation: int
    is_new: bool
    slots: int = 0
    started: int = 0
    ended: int = 0
    bad: int = 0
    running: int = 0
    closed: bool = False
    tripped: bool = False
    warm: bool = True
    routes: tuple[RouteCounts, ...] = ()


class Evidence(msgspec.Struct, frozen=True):
    """What the gates of a failure domain reported; a row in the store.

    Args:
        order: The `OrderId`.
        new: `GateReport` of each gate of the new version.
        old: Sum of the reports of the gates of the old version.
        old_gates: Number of gates that `old` sums.
        old_open: Number of them that are open or run a request.
        aggregator: `vm/incarnation` of the daemon that wrote it.
        step: `Record.step` that the aggregator knew.
        written: Counter that rises with each write of one aggregator.
    """

    order: OrderId
    new: tuple[GateReport, ...]
    old: GateReport
    old_gates: int
    old_open: int
    aggregator: str
    step: int = 0
    written: int = 0


class State(msgspec.Struct, frozen=True):
    """An order with its record, if one was written.

    Args:
        order: The `Order`; None after it was withdrawn.
        record: The `Record` or None.
        service: Name of the service.
    """

    service: str
    order: Order | None = None
    record: Record | None = None


def bucket(seconds):
    """Return the index of the bucket that counts a duration."""
    for index, bound in enumerate(BUCKET_BOUNDS_S):
        if seconds <= bound:
            return index
    return BUCKETS - 1
