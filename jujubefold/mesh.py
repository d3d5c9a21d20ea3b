"""The mesh model inside: routes, services and the resources they use."""

import dataclasses

_ENDS = ('', '/')


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often a request may be tried.

    Args:
        attempts: Total tries, the first included.
        budget_percent: Retries allowed in 100 first tries.
    """

    attempts: int = 3
    budget_percent: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPolicy:
    """Bounds on what may wait or be carried.

    Args:
        queue: Requests that may wait for a slot at one instance.
        body_bytes: Largest request or answer body.
    """

    queue: int = 32
    body_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutPolicy:
    """Time bounds in seconds.

    Args:
        request: Whole request, all tries.
        attempt: One try without progress.
    """

    request: float = 10.0
    attempt: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderRule:
    """Headers set on and removed from what reaches the upstream."""

    set: tuple[tuple[str, str], ...] = ()
    remove: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TlsReference:
    """Key material that every daemon finds locally by name.

    Args:
        secret: Name of the key material; never the material itself.
        server_name: Name expected in the certificate, '' for any.
    """

    name: str
    secret: str
    server_name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that announce the same service name.

    Args:
        health_path: Path of the health endpoint, a hint only.
        warmup: Seconds over which a new instance is ramped up.
        tls: How the upstream is spoken to, None for plain text.
    """

    name: str
    health_path: str = '/health'
    warmup: float = 0.0
    tls: TlsReference | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGroup:
    """Some of a service's announced upstreams, by place.

    Args:
        regions: Regions allowed; empty for all.
        failure_domains: Failure domains allowed; empty for all.
    """

    name: str
    service: str
    regions: tuple[str, ...] = ()
    failure_domains: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Where a share of a route's requests goes."""

    group: EndpointGroup
    weight: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """A matched request's whole treatment, references resolved.

    Args:
        host: Host name, or `*` for all.
        path: Path prefix; matches at `/` boundaries.
        methods: Methods allowed; empty for all.
        idempotent: Whether requests may run twice; None leaves it to the
            method (RFC 9110 section 9.2.2).
        requires_key: Whether a non-idempotent request must name a key.
        priority: 0 to 9; higher survives overload longer.
        latency_objective: Target response time in seconds; 0 if the route
            states none.
    """

    name: str
    host: str
    path: str
    methods: tuple[str, ...]
    targets: tuple[Target, ...]
    retry: RetryPolicy
    limit: LimitPolicy
    timeout: TimeoutPolicy
    headers: HeaderRule
    idempotent: bool | None = None
    requires_key: bool = False
    priority: int = 5
    latency_objective: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Mesh:
    """A whole validated configuration, ready to route with.

    Args:
        number: Version number it came from; 0 for the empty mesh.
        routes: Most specific first.
        services: By name.
        literal_prefixes: Whether a path prefix is compared byte by byte,
            trailing slash included, instead of at `/` boundaries.
    """

    number: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    literal_prefixes: bool = False
    _places: dict[str, '_Places'] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self):
        places = {}
        for route in self.routes:
            places.setdefault(route.host, _Places(self.literal_prefixes)).add(
                route
            )
        object.__setattr__(self, '_places', places)

    def match(self, host, path, method):
        """Return the most specific route for a request, or None.

        An exact host goes before `*`, a longer path before a shorter one,
        and a route that names the method before one that does not.

        Args:
            host: Host header without port, lower case.
            path: Request path without query.
            method: Method, upper case.
        """
        for name in (host, '*'):
            places = self._places.get(name)
            route = places.find(path, method) if places else None
            if route is not None:
                return route
        return None


@dataclasses.dataclass(slots=True)
class _Places:
    """Routes of one host by path prefix.

    Args:
        literal_prefixes: As in `Mesh`.
        prefixes: Routes by path, without a slash at its end if not literal.
        lengths: Lengths of the prefixes, longest first.
    """

    literal_prefixes: bool = False
    prefixes: dict[str, list[Route]] = dataclasses.field(default_factory=dict)
    lengths: list[int] = dataclasses.field(default_factory=list)

    def add(self, route):
        prefix = (
            route.path if self.literal_prefixes else route.path.rstrip('/')
        )
        self.prefixes.setdefault(prefix, []).append(route)
        if len(prefix) not in self.lengths:
            self.lengths.append(len(prefix))
            self.lengths.sort(reverse=True)

    def find(self, path, method):
        for length in self.lengths:
            if (
                not self.literal_prefixes
                and path[length : length + 1] not in _ENDS
            ):
                continue
            for route in self.prefixes.get(path[:length], ()):
                if not route.methods or method in route.methods:
                    return route
        return None
