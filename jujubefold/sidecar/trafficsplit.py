"""Traffic split: selects the service for each request of a weighted route.

Each daemon keeps the requests of a service as close to its weight as whole
numbers allow. Each starts at a random point of that sequence: if all began
with the service of the largest weight, the first requests after a change of
weights would all go there. A service that is short of slots keeps its share:
requests beyond its capacity are refused, not moved to another service.
"""

import dataclasses
import random

# Requests that are skipped at most to start at a random point.
MAX_SKIPPED = 100


@dataclasses.dataclass(slots=True)
class SplitTable:
    """Requests assigned to each service, by route.

    Args:
        rng: Chooses where to start; None to start at the beginning.
        assigned: By route name, its services with their weights, and the
            count of requests assigned to each service.
    """

    rng: random.Random | None = None
    assigned: dict[str, tuple[tuple, list[int]]] = dataclasses.field(
        default_factory=dict
    )


def choose(table, route):
    """Return the service for the next request of a route, and count it.

    Args:
        table: A `SplitTable`.
        route: A `mesh.Route` with at least one target.
    """
    targets = route.targets
    if len(targets) == 1:
        return targets[0].group.service
    weights = tuple((item.group.service, item.weight) for item in targets)
    entry = table.assigned.get(route.name)
    if entry is None or entry[0] != weights:
        entry = table.assigned[route.name] = (weights, [0] * len(targets))
        if table.rng is not None:
            for _ in range(table.rng.randrange(MAX_SKIPPED)):
                _next(*entry)
    return weights[_next(*entry)][0]


def _next(weights, counts):
    """Return the index of the service for the next request, and count it."""
    total_weight = sum(weight for _, weight in weights)
    total = sum(counts) + 1
    most_behind = max(
        range(len(weights)),
        key=lambda index: (
            weights[index][1] * total / total_weight - counts[index]
        ),
    )
    counts[most_behind] += 1
    return most_behind
