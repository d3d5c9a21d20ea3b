"""Shares: which service of a split route gets a request.

The shares of what was sent follow the weights as closely as whole requests
allow, at each daemon and so in sum. A part that is short of room keeps its
share: what doesn't fit there is refused, not moved.
"""

import dataclasses


@dataclasses.dataclass(slots=True)
class SplitTable:
    """Requests given to each part, by route.

    Args:
        given: Weights and counts by route name.
    """

    given: dict[str, tuple[tuple, list[int]]] = dataclasses.field(
        default_factory=dict
    )


def choose(table, route):
    """Return the service for the next request of a route.

    Args:
        table: A `SplitTable`.
        route: A `mesh.Route` with at least one target.
    """
    targets = route.targets
    if len(targets) == 1:
        return targets[0].group.service
    weights = tuple((item.group.service, item.weight) for item in targets)
    known = table.given.get(route.name)
    if known is None or known[0] != weights:
        known = table.given[route.name] = (weights, [0] * len(targets))
    counts = known[1]
    total = sum(weight for _, weight in weights)
    nth = sum(counts) + 1
    index = max(
        range(len(weights)),
        key=lambda item: weights[item][1] * nth / total - counts[item],
    )
    counts[index] += 1
    return weights[index][0]
