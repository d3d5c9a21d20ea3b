"""Configuration: decodes the operator's row into a `mesh.Mesh`.

A value that this release does not know is read in the safest way, so that a
newer platform does not stop the fleet. A value that is wrong makes the whole
version invalid, and the version before it stays in force.
"""

import dataclasses
import math

import expression
import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold import mesh
from jujubefold.platform import tenantrows
from jujubefold.sidecar import versions

TABLE = 'op'
KEY = 'config'

# Timeouts are sent to other daemons as milliseconds.
MAX_ATTEMPTS = 2**31 - 1
MAX_SECONDS = 86_400.0
MAX_BYTES = 2**40

_DOWNLOAD = 'download'
_IDEMPOTENT = {
    'idempotent': True,
    'download': True,
    'non_idempotent': False,
    'upload': False,
}
# Requests of a kind that this release does not know run at most once.
_UNKNOWN_KIND_IDEMPOTENT = False


class _Table(msgspec.Struct):
    """A table whose rows list their values in the order of `columns`."""

    columns: list[str]
    rows: list[list[object]]

    def records(self):
        """Yield each row as a dict by column name, without null values."""
        for row in self.rows:
            yield {
                name: value
                for name, value in zip(self.columns, row, strict=False)
                if value is not None
            }


class _TrafficShare(msgspec.Struct):
    service: str
    weight: float = 1


class _Route(msgspec.Struct):
    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    # Seconds within which an answer is of full value to the caller. Later
    # answers are still allowed.
    target_latency_s: float = 0.0
    # 0 is the most urgent; `mesh.Route.priority` is its negative.
    priority: int = 0
    service: str | None = None
    # Maximum number of upstreams that a request is sent to, the first one
    # included.
    max_attempts: int = 1
    traffic_split: list[_TrafficShare] = []
    # Whether requests need no key where the configuration has tenants.
    public: bool = False


class _Service(msgspec.Struct):
    name: str
    health_path: str = ''


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _RoutesTable(msgspec.Struct):
    """A `_Table` whose rows are decoded one by one, when they are new."""

    columns: list[str]
    rows: list[msgspec.Raw]


class _Document(msgspec.Struct):
    version: int
    routes: _RoutesTable
    services: _Table
    limits: _Limits
    # Absent where requests need no key. Decoded only when its bytes change.
    tenants: msgspec.Raw = msgspec.Raw()


_decoder = msgspec.json.Decoder(_Document)
_row_decoder = msgspec.json.Decoder(list[object])


@dataclasses.dataclass(frozen=True, slots=True)
class _DecodedRoute:
    """A valid route.

    Args:
        route: The `mesh.Route`.
        unknown_values: Each `versions.UnknownValue` in it.
        is_download: Whether its answers are large.
    """

    route: mesh.Route
    unknown_values: tuple[versions.UnknownValue, ...]
    is_download: bool


class Decoder:
    """Decodes configurations, and reuses the routes of the one before.

    A change touches few routes, and decoding all of a large configuration
    occupies a small VM for about a tenth of a second.
    """

    def __init__(self):
        self._columns = []
        self._services = {}
        # Routes of the last valid configuration, by the bytes of their rows.
        self._routes = {}
        self._tenants = tenantrows.Decoder()

    def decode(self, body):
        """Decode the configuration in the operator's row.

        Args:
            body: Value of the row, as bytes.

        Returns:
            `Ok(versions.Configuration)` or `Error(errors.Invalid)`.
        """
        try:
            document = _decoder.decode(body)
            services = {
                item.name: mesh.Service(item.name, item.health_path)
                for item in msgspec.convert(
                    list(document.services.records()), list[_Service]
                )
            }
            rows = [bytes(row) for row in document.routes.rows]
            known = self._known_routes(document.routes.columns, services)
            new = {
                row: _decode_row(document.routes.columns, row)
                for row in rows
                if row not in known
            }
            tenants = self._tenants.decode(bytes(document.tenants))
        except decoding.FAULTS as error:
            return expression.Error(errors.Invalid(str(error), KEY))
        if tenants.is_error():
            return tenants
        fault = next(_faults(document, new.values(), services), None)
        if fault is not None:
            return expression.Error(fault)
        self._columns = document.routes.columns
        self._services = services
        self._routes = {
            row: known[row] if row in known else _decoded(new[row])
            for row in rows
        }
        return expression.Ok(
            _configuration(
                document,
                [self._routes[row] for row in rows],
                services,
                tenants.ok,
            )
        )

    def _known_routes(self, columns, services):
        """Return the routes that are valid with these columns and services."""
        if columns == self._columns and services == self._services:
            return self._routes
        return {}


def _decode_row(columns, row):
    values = zip(columns, _row_decoder.decode(row), strict=False)
    return msgspec.convert(
        {name: value for name, value in values if value is not None}, _Route
    )


def _decoded(item):
    return _DecodedRoute(
        _route(item), tuple(_unknown_values(item)), item.kind == _DOWNLOAD
    )


def _configuration(document, routes, services, keys):
    limits = document.limits
    return versions.Configuration(
        mesh.Mesh(
            document.version,
            tuple(item.route for item in routes),
            services,
            literal_prefixes=True,
        ),
        versions.CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_s,
            limits.idle_timeout_s,
        ),
        tuple(value for item in routes for value in item.unknown_values),
        {} if keys is None else keys.tenants,
        keys,
        any(item.is_download for item in routes),
    )


def _faults(document, routes, services):
    """Yield an `errors.Invalid` for each wrong value of a document."""
    if not 1 <= document.version <= decoding.MAX_COUNT:
        yield errors.Invalid(
            'the version must be a positive number of 63 bits', 'version'
        )
    limits = document.limits
    for name in limits.__struct_fields__:
        most = MAX_SECONDS if name.endswith('_s') else MAX_BYTES
        if not 0 < getattr(limits, name) <= most:
            yield errors.Invalid(
                f'a limit must be positive and at most {most}',
                f'limits.{name}',
            )
    for route in routes:
        for column, reason in _route_faults(route, services):
            yield errors.Invalid(reason, f'routes.{route.name}.{column}')


def _route_faults(route, services):
    """Yield the column and the reason for each wrong value of a route."""
    if not route.host:
        yield 'host', 'a route needs a host'
    if not (route.prefix.startswith('/') and route.prefix.endswith('/')):
        yield 'prefix', 'a prefix must begin and end with a slash'
    if not 0 < route.timeout_s <= MAX_SECONDS:
        yield 'timeout_s', f'a timeout is at most {MAX_SECONDS} s, above 0'
    if abs(route.priority) > tenantrows.MAX_PRIORITY:
        yield 'priority', f'a priority is at most {tenantrows.MAX_PRIORITY}'
    if not -MAX_ATTEMPTS <= route.max_attempts <= MAX_ATTEMPTS:
        yield 'max_attempts', f'at most {MAX_ATTEMPTS} attempts are made'
    if not 0 <= route.target_latency_s < math.inf:
        yield 'target_latency_s', 'an objective must not be negative'
    for share in _shares(route):
        if share.service not in services:
            yield 'service', f'there is no service {share.service!r}'
        if not 0 <= share.weight < math.inf:
            yield 'traffic_split', 'a weight must not be negative'
    if not sum(share.weight for share in _shares(route)):
        yield 'traffic_split', 'no service has a weight above 0'


def _unknown_values(route):
    """Yield a `versions.UnknownValue` for each value not known here."""
    if route.kind not in _IDEMPOTENT:
        yield versions.UnknownValue(
            f'routes.{route.name}.kind', route.kind, 'runs at most once'
        )


def _shares(route):
    return route.traffic_split or [_TrafficShare(route.service or '')]


def _route(item):
    return mesh.Route(
        name=item.name,
        host=item.host.lower(),
        path=item.prefix,
        methods=(),
        targets=tuple(
            mesh.Target(
                mesh.EndpointGroup(share.service, share.service), share.weight
            )
            for share in _shares(item)
            if share.weight
        ),
        retry=mesh.RetryPolicy(max(1, item.max_attempts)),
        limit=mesh.LimitPolicy(),
        timeout=mesh.TimeoutPolicy(item.timeout_s, item.timeout_s),
        headers=mesh.HeaderRule(),
        idempotent=_IDEMPOTENT.get(item.kind, _UNKNOWN_KIND_IDEMPOTENT),
        priority=-item.priority,
        latency_objective=item.target_latency_s,
        public=item.public,
    )
