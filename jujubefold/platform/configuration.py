"""Configuration: decodes the operator's row into a `mesh.Mesh`."""

import expression
import msgspec

from jujubefold import errors
from jujubefold import mesh
from jujubefold.sidecar import versions

TABLE = 'op'
KEY = 'config'

_IDEMPOTENT = {'idempotent': True, 'non_idempotent': False}


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
    weight: int = 1


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


class _Service(msgspec.Struct):
    name: str
    health_path: str = ''


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class _Document(msgspec.Struct):
    version: int
    routes: _Table
    services: _Table
    limits: _Limits


_decoder = msgspec.json.Decoder(_Document)


def decode(body):
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
        routes = msgspec.convert(list(document.routes.records()), list[_Route])
        resolved = mesh.Mesh(
            document.version,
            tuple(_route(item) for item in routes),
            services,
            literal_prefixes=True,
        )
    except (msgspec.DecodeError, UnicodeError, KeyError) as error:
        return expression.Error(errors.Invalid(str(error), KEY))
    limits = document.limits
    return expression.Ok(
        versions.Configuration(
            resolved,
            versions.CallerLimits(
                limits.max_header_bytes,
                limits.max_body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            ),
        )
    )


def _route(item):
    shares = item.traffic_split or [_TrafficShare(item.service or '')]
    return mesh.Route(
        name=item.name,
        host=item.host.lower(),
        path=item.prefix,
        methods=(),
        targets=tuple(
            mesh.Target(
                mesh.EndpointGroup(share.service, share.service), share.weight
            )
            for share in shares
        ),
        retry=mesh.RetryPolicy(max(1, item.max_attempts)),
        limit=mesh.LimitPolicy(),
        timeout=mesh.TimeoutPolicy(item.timeout_s, item.timeout_s),
        headers=mesh.HeaderRule(),
        idempotent=_IDEMPOTENT[item.kind],
        priority=-item.priority,
        latency_objective=item.target_latency_s,
    )
