"""Played loads: callers, gates and upstreams over virtual time."""

import collections
import dataclasses
import heapq
import itertools
import random

from jujubefold import calls
from jujubefold.sidecar import limiter

# As the sidecar's own sweep.
SWEEP_S = 0.1
# Share of what is left of their time after which callers come back at most.
RETURN_SHARE = 1 / 3


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request.

    Args:
        name: Its name, also that of its route.
        service: Who runs it.
        lasts: Mean seconds that it holds a slot, calls left out.
        aim: Seconds until an answer is late.
        deadline: Seconds that its caller waits.
        rank: Lower ranks go first.
        returns: How often a refused caller comes back.
        calls: Names of the kinds that a run calls, one after the other.
    """

    name: str
    service: str
    lasts: float
    aim: float
    deadline: float
    rank: int = 0
    returns: int = 2
    calls: tuple = ()


@dataclasses.dataclass(eq=False, slots=True)
class _Request:
    kind: Kind
    began: float
    deadline: float
    returned: int = 0
    parent: object = None
    calls: list = dataclasses.field(default_factory=list)
    arrived: float = 0.0


class Play:
    """One play.

    Args:
        kinds: Every `Kind`.
        slots_of: Slots by service.
        seed: Of arrivals and durations.
        retry_after: Turns a gate's seconds into those a caller is told.
    """

    def __init__(self, kinds, slots_of, seed=1, retry_after=None):
        self.kinds = {kind.name: kind for kind in kinds}
        self.tables = {
            service: limiter.SlotTable(slots=count)
            for service, count in slots_of.items()
        }
        # How requests ended, by kind: 'on time', 'late', 'refused',
        # 'again' (refused once more), 'failed'.
        self.ends = collections.defaultdict(collections.Counter)
        # Seconds that refused requests had waited for a slot.
        self._in_vain = []
        self._rng = random.Random(seed)
        self._retry_after = retry_after or self._spread
        self._events = []
        self._order = itertools.count()

    def share(self, name, *ends):
        """Return the share of a kind's requests that ended in some ways."""
        found = self.ends[name]
        total = found.total() - found['again']
        return sum(found[end] for end in ends) / max(1, total)

    def served(self, name):
        """Return the share of a kind's requests that were answered."""
        return self.share(name, 'on time', 'late')

    def waited_in_vain(self):
        """Return the seconds for which requests waited and were refused."""
        return sum(self._in_vain)

    def ask(self, name, per_s, seconds, start=0.0):
        """Add requests of a kind that arrive by chance."""
        now = start
        while True:
            now += self._rng.expovariate(per_s)
            if now > start + seconds:
                return
            kind = self.kinds[name]
            request = _Request(kind, now, now + kind.deadline)
            self._at(now, self._arrive, request)

    def run(self):
        """Play until nothing is left to do."""
        last = max(at for at, *_ in self._events) + 10.0
        for number in range(int(last / SWEEP_S)):
            self._at(number * SWEEP_S, self._sweep)
        while self._events:
            now, _, action, args = heapq.heappop(self._events)
            action(now, *args)

    def _at(self, when, action, *args):
        heapq.heappush(self._events, (when, next(self._order), action, args))

    def _spread(self, seconds):
        return seconds * self._rng.uniform(0.8, 1.6)

    def _arrive(self, now, request):
        kind = request.kind
        request.arrived = now
        table = self.tables[kind.service]
        ticket = limiter.Request(
            request,
            kind.name,
            kind.rank,
            now,
            request.began + kind.aim,
            request.deadline,
        )
        match limiter.acquire(table, ticket, now):
            case calls.Admitted():
                self._start(now, request)
            case calls.Refused(refusal=refusal):
                self._refused(now, request, refusal)
            case calls.Queued():
                self._evict(now, table)

    def _start(self, now, request):
        kind = request.kind
        request.calls = list(kind.calls)
        lasts = self._rng.lognormvariate(0.0, 0.5) / 1.133 * kind.lasts
        self._at(now + lasts, self._worked, request)

    def _worked(self, now, request):
        if request.calls:
            kind = self.kinds[request.calls.pop(0)]
            deadline = min(now + kind.deadline, request.deadline)
            call = _Request(kind, now, deadline, parent=request)
            self._arrive(now, call)
            return
        self._end(now, request, True)

    def _end(self, now, request, well):
        kind = request.kind
        late = now > request.began + kind.aim
        if now > request.deadline:
            well = False
        name = ('late' if late else 'on time') if well else 'failed'
        self.ends[kind.name][name] += 1
        table = self.tables[kind.service]
        released = limiter.release(table, request, now, failed=not well)
        for waiting in released:
            self._start(now, waiting)
        self._evict(now, table)
        self._answer(now, request, well)

    def _answer(self, now, request, well):
        parent = request.parent
        if parent is None:
            return
        if well:
            self._worked(now, parent)
        else:
            self._end(now, parent, False)

    def _refused(self, now, request, refusal):
        kind = request.kind
        self._in_vain.append(now - request.arrived)
        left = request.deadline - now
        if request.returned < kind.returns and left > 0.01:
            after = self._retry_after(refusal.retry_after)
            request.returned += 1
            if request.returned > 1:
                self.ends[kind.name]['again'] += 1
            self._at(
                now + min(after, left * RETURN_SHARE), self._arrive, request
            )
            return
        if request.returned:
            self.ends[kind.name]['again'] += 1
        self.ends[kind.name]['refused'] += 1
        self._answer(now, request, False)

    def _evict(self, now, table):
        for request, refusal in limiter.evict_overdue(table, now):
            self._refused(now, request, refusal)

    def _sweep(self, now):
        for table in self.tables.values():
            self._evict(now, table)
