"""Mesh: routes, services and their policies, resolved and ready for use."""

import dataclasses

_BOUNDARIES = ('', '/')


@dataclasses.dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How often a request may be attempted.

    Args:
        attempts: Maximum number of attempts, the first included.
        budget_percent: Retries allowed per 100 first attempts.
    """

    attempts: int = 3
    budget_percent: int = 20


@dataclasses.dataclass(frozen=True, slots=True)
class LimitPolicy:
    """Limits on queued requests and on body sizes.

    Args:
        queue: Maximum number of requests that wait for a slot at one
            instance.
        body_bytes: Maximum size of a request or answer body.
    """

    queue: int = 32
    body_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class TimeoutPolicy:
    """Timeouts in seconds.

    Args:
        request: For the request, all attempts together.
        attempt: For one attempt to make progress.
    """

    request: float = 10.0
    attempt: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderRule:
    """Headers set on and removed from requests to the upstream.

    Args:
        set: Pairs of name and value.
        remove: Names.
    """

    set: tuple[tuple[str, str], ...] = ()
    remove: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class TlsReference:
    """Reference to key material that each daemon has stored locally.

    Args:
        name: Name that services refer to it by.
        secret: Name of the key material; never the material itself.
        server_name: Name expected in the certificate; '' accepts any.
    """

    name: str
    secret: str
    server_name: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """A group of upstreams that announce the same service name.

    Args:
        health_path: Path of the health endpoint; only a hint.
        warmup: Seconds over which the load of a new instance is ramped up.
        tls: TLS settings for connections to the upstream; None for plain
            text.
    """

    name: str
    health_path: str = '/health'
    warmup: float = 0.0
    tls: TlsReference | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointGroup:
    """A service's upstreams in some regions and failure domains.

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
    """An endpoint group and its share of a route's requests.

    Args:
        weight: Share, relative to the weights of the other targets.
    """

    group: EndpointGroup
    weight: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Which requests a route matches and how they are handled.

    Args:
        host: Host name, or `*` for all.
        path: Path prefix; see `Mesh.literal_prefixes`.
        methods: Methods allowed; empty for all.
        idempotent: Whether requests may run twice; None if the method
            decides (RFC 9110 section 9.2.2).
        requires_key: Whether a non-idempotent request must carry an
            idempotency key.
        priority: Requests of lower priority are shed first under overload;
            0 to 9 in declarations.
        latency_objective: Target response time in seconds; 0 if the route
            states none.
        public: Whether requests need no tenant's key; without meaning in a
            configuration without tenants.
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
    public: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Mesh:
    """A validated configuration with an index of its routes.

    Args:
        number: Configuration version; 0 for the empty mesh.
        routes: Most specific first.
        services: By name.
        literal_prefixes: Whether a path prefix is compared byte by byte,
            trailing slash included, instead of at `/` boundaries.
    """

    number: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = dataclasses.field(default_factory=dict)
    literal_prefixes: bool = False
    _indexes: dict[str, '_PrefixIndex'] = dataclasses.field(
        init=False, repr=False, compare=False
    )

    def __post_init__(self):
        indexes = {}
        for route in self.routes:
            index = indexes.get(route.host)
            if index is None:
                index = indexes[route.host] = _PrefixIndex(
                    self.literal_prefixes
                )
            index.add(route)
        object.__setattr__(self, '_indexes', indexes)

    def match(self, host, path, method):
        """Return the most specific route for a request, or None.

        An exact host takes precedence over `*`, a longer path prefix over a
        shorter one, and a route that names the method over one that allows
        all.

        Args:
            host: Host header without port, in lower case.
            path: Request path without query.
            method: Method in upper case.
        """
        for name in (host, '*'):
            index = self._indexes.get(name)
            route = index.find(path, method) if index else None
            if route is not None:
                return route
        return None


@dataclasses.dataclass(slots=True)
class _PrefixIndex:
    """Routes of one host, indexed by path prefix.

    Args:
        literal_prefixes: As in `Mesh`.
        routes_by_prefix: Routes by path prefix; trailing slashes are removed
            unless `literal_prefixes`.
        lengths: Lengths of the prefixes, longest first.
    """

    literal_prefixes: bool = False
    routes_by_prefix: dict[str, list[Route]] = dataclasses.field(
        default_factory=dict
    )
    lengths: list[int] = dataclasses.field(default_factory=list)

    def add(self, route):
        prefix = (
            route.path if self.literal_prefixes else route.path.rstrip('/')
        )
        self.routes_by_prefix.setdefault(prefix, []).append(route)
        if len(prefix) not in self.lengths:
            self.lengths.append(len(prefix))
            self.lengths.sort(reverse=True)

    def find(self, path, method):
        for length in self.lengths:
            if (
                not self.literal_prefixes
                and path[length : length + 1] not in _BOUNDARIES
            ):
                continue
            for route in self.routes_by_prefix.get(path[:length], ()):
                if not route.methods or method in route.methods:
                    return route
        return None
