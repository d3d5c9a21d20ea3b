"""Declarations: schema, validation and TOML form of a configuration."""

import json
import re
import tomllib
import typing

import expression
import msgspec
import pydantic

from jujubefold import decoding
from jujubefold import errors
from jujubefold import mesh
from jujubefold import settings
from jujubefold import versions

SCHEMA = 1
MINOR = 0
MAX_WEIGHT = 1000

Method = typing.Annotated[str, pydantic.Field(pattern=r'^[A-Z]{1,20}$')]
Seconds = typing.Annotated[
    float, pydantic.Field(gt=0, le=3600, allow_inf_nan=False)
]
Host = typing.Annotated[
    str, pydantic.Field(pattern=r'^(\*|[a-z0-9.-]{1,253})$')
]
Path = typing.Annotated[
    str, pydantic.Field(pattern=r'^/[^?#\s]*$', max_length=1024)
]
Header = typing.Annotated[
    str, pydantic.Field(pattern=r"^[A-Za-z0-9!#$%&'*+.^_`|~-]{1,128}$")
]
HeaderValue = typing.Annotated[
    str, pydantic.Field(pattern=r'^[\x20-\x7e]{0,4096}$')
]

_BARE_KEY = re.compile(r'^[A-Za-z0-9_-]+$')


class Model(pydantic.BaseModel):
    """Base of the declared models.

    Whether unknown fields are refused is chosen at each validation.
    """

    model_config = pydantic.ConfigDict(frozen=True, strict=True)


class Retry(Model):
    """A named retry policy."""

    attempts: int = pydantic.Field(default=3, ge=1, le=10)
    budget_percent: int = pydantic.Field(default=20, ge=0, le=100)


class Limit(Model):
    """A named limit policy."""

    queue: int = pydantic.Field(default=32, ge=0, le=100_000)
    body_bytes: int = pydantic.Field(default=16 * 1024 * 1024, ge=0)


class Timeout(Model):
    """A named timeout policy; values in seconds."""

    request: Seconds = 10.0
    attempt: Seconds = 5.0


class Headers(Model):
    """A named header rule."""

    set: dict[Header, HeaderValue] = pydantic.Field(default_factory=dict)
    remove: list[Header] = pydantic.Field(default_factory=list)


class Tls(Model):
    """A named reference to key material that daemons find locally."""

    secret: settings.Name
    server_name: str = pydantic.Field(default='', max_length=253)


class Service(Model):
    """A service that upstreams announce."""

    health_path: Path = '/health'
    warmup: float = pydantic.Field(
        default=0.0, ge=0, le=3600, allow_inf_nan=False
    )
    tls: str = ''


class Group(Model):
    """An endpoint group of a service."""

    service: str
    regions: list[settings.Name] = pydantic.Field(default_factory=list)
    failure_domains: list[settings.Name] = pydantic.Field(default_factory=list)


class Target(Model):
    """An endpoint group that gets a weighted share of a route's requests."""

    group: str
    weight: int = pydantic.Field(default=1, ge=1, le=MAX_WEIGHT)


class Route(Model):
    """A route; it names its policies, '' for the default policy."""

    host: Host = '*'
    path: Path = '/'
    methods: list[Method] = pydantic.Field(default_factory=list)
    targets: list[Target] = pydantic.Field(min_length=1, max_length=64)
    retry: str = ''
    limit: str = ''
    timeout: str = ''
    headers: str = ''
    idempotent: bool | None = None
    keyed: bool = False
    priority: int = pydantic.Field(default=5, ge=0, le=9)


_DEFAULT_RETRY = Retry()
_DEFAULT_LIMIT = Limit()
_DEFAULT_TIMEOUT = Timeout()
_DEFAULT_HEADERS = Headers()


class Document(Model):
    """A complete configuration."""

    schema_: int = pydantic.Field(alias='schema', ge=1)
    minor: int = pydantic.Field(default=0, ge=0)
    services: dict[settings.Name, Service] = pydantic.Field(
        default_factory=dict
    )
    groups: dict[settings.Name, Group] = pydantic.Field(default_factory=dict)
    retries: dict[settings.Name, Retry] = pydantic.Field(default_factory=dict)
    limits: dict[settings.Name, Limit] = pydantic.Field(default_factory=dict)
    timeouts: dict[settings.Name, Timeout] = pydantic.Field(
        default_factory=dict
    )
    headers: dict[settings.Name, Headers] = pydantic.Field(
        default_factory=dict
    )
    tls: dict[settings.Name, Tls] = pydantic.Field(default_factory=dict)
    routes: dict[settings.Name, Route] = pydantic.Field(default_factory=dict)


def parse(text, source):
    """Parse and validate declarations.

    Args:
        text: TOML text.
        source: File name for error messages.

    Returns:
        `Ok(dict)`, the document with every section present, or
        `Error(tuple[errors.Invalid, ...])`.
    """
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return _error(errors.Invalid(str(error), source))
    sections = {name: {} for name in versions.SECTIONS}
    document = _to_json_types({'schema': SCHEMA, **sections, **raw})
    found = compile_mesh(document, 0)
    if found.is_error():
        return expression.Error(
            tuple(
                errors.Invalid(item.reason, f'{source}: {item.where}')
                for item in found.error
            )
        )
    return expression.Ok(document)


def render(document):
    """Return the TOML text of a document.

    Args:
        document: JSON-compatible dict without null values.
    """
    top_level = [
        f'{_toml_key(name)} = {_toml_value(value)}\n'
        for name, value in document.items()
        if not _is_section(value)
    ]
    tables = [
        _toml_table(f'{_toml_key(section)}.{_toml_key(name)}', entry)
        for section, entries in document.items()
        if _is_section(entries)
        for name, entry in entries.items()
    ]
    return '\n'.join([''.join(top_level), *tables])


def compile_document(document, number):
    """Decode a document, then validate and compile it.

    Args:
        document: Canonical JSON bytes.
        number: Version number of the document.

    Returns:
        As `compile_mesh`.
    """
    try:
        raw = msgspec.json.decode(document)
    except decoding.FAULTS as error:
        return _error(errors.Invalid(str(error), ''))
    return compile_mesh(raw, number)


def compile_mesh(document, number):
    """Validate a document and resolve its references.

    Args:
        document: JSON-compatible dict. Fields that this release does not
            know are ignored if `minor` is newer than `MINOR`, and refused
            otherwise.
        number: Version number of the document.

    Returns:
        `Ok(mesh.Mesh)` or `Error(tuple[errors.Invalid, ...])`.
    """
    schema = document.get('schema') if isinstance(document, dict) else None
    if isinstance(schema, int) and schema > SCHEMA:
        reason = (
            f'schema {schema} is newer than {SCHEMA}, the newest supported'
        )
        return _error(errors.Invalid(reason, '/schema'))
    try:
        checked = Document.model_validate(
            document, extra=_unknown_field_policy(document)
        )
    except (pydantic.ValidationError, RecursionError) as error:
        return expression.Error(_model_errors(error))
    problems = (*_dangling_references(checked), *_ambiguous_routes(checked))
    if problems:
        return expression.Error(problems)
    return expression.Ok(_build_mesh(checked, number))


def _to_json_types(raw):
    return msgspec.json.decode(versions.canonical(raw))


def _error(invalid):
    return expression.Error((invalid,))


def _model_errors(error):
    if isinstance(error, RecursionError):
        return (errors.Invalid('nested too deeply', ''),)
    return tuple(
        errors.Invalid(item['msg'], _json_pointer(*item['loc']))
        for item in error.errors()
    )


def _json_pointer(*parts):
    names = (str(part).replace('~', '~0') for part in parts)
    return ''.join('/' + name.replace('/', '~1') for name in names)


def _unknown_field_policy(document):
    minor = document.get('minor') if isinstance(document, dict) else None
    is_newer = isinstance(minor, int) and minor > MINOR
    return 'ignore' if is_newer else 'forbid'


def _dangling_references(checked):
    for name, service in checked.services.items():
        yield from _check_reference(
            service.tls, checked.tls, 'services', name, 'tls'
        )
    for name, group in checked.groups.items():
        if group.service not in checked.services:
            yield _missing_reference(group.service, 'groups', name, 'service')
    for name, route in checked.routes.items():
        yield from _dangling_route_references(checked, name, route)


def _dangling_route_references(checked, name, route):
    for index, target in enumerate(route.targets):
        if target.group not in checked.groups:
            where = ('routes', name, 'targets', index, 'group')
            yield _missing_reference(target.group, *where)
    kinds = (
        ('retry', checked.retries),
        ('limit', checked.limits),
        ('timeout', checked.timeouts),
        ('headers', checked.headers),
    )
    for field, known in kinds:
        target = getattr(route, field)
        yield from _check_reference(target, known, 'routes', name, field)


def _check_reference(target, known, *where):
    if target and target not in known:
        yield _missing_reference(target, *where)


def _missing_reference(target, *where):
    return errors.Invalid(f'{target!r} does not exist', _json_pointer(*where))


def _ambiguous_routes(checked):
    seen = {}
    for name, route in checked.routes.items():
        for method in route.methods or ('',):
            key = (route.host, route.path.rstrip('/'), method)
            other = seen.setdefault(key, name)
            if other != name:
                reason = f'matches the same requests as route {other!r}'
                yield errors.Invalid(reason, _json_pointer('routes', name))


def _build_mesh(checked, number):
    services = {
        name: _build_service(checked, name, item)
        for name, item in checked.services.items()
    }
    groups = {
        name: mesh.EndpointGroup(
            name,
            item.service,
            tuple(item.regions),
            tuple(item.failure_domains),
        )
        for name, item in checked.groups.items()
    }
    routes = (
        _build_route(checked, groups, name, item)
        for name, item in checked.routes.items()
    )
    ordered = tuple(sorted(routes, key=_specificity_key))
    return mesh.Mesh(number, ordered, services)


def _build_service(checked, name, item):
    tls = None
    if item.tls:
        reference = checked.tls[item.tls]
        tls = mesh.TlsReference(
            item.tls, reference.secret, reference.server_name
        )
    return mesh.Service(name, item.health_path, item.warmup, tls)


def _build_route(checked, groups, name, item):
    retry = checked.retries.get(item.retry, _DEFAULT_RETRY)
    limit = checked.limits.get(item.limit, _DEFAULT_LIMIT)
    timeout = checked.timeouts.get(item.timeout, _DEFAULT_TIMEOUT)
    headers = checked.headers.get(item.headers, _DEFAULT_HEADERS)
    return mesh.Route(
        name=name,
        host=item.host,
        path=item.path,
        methods=tuple(item.methods),
        targets=tuple(
            mesh.Target(groups[target.group], target.weight)
            for target in item.targets
        ),
        retry=mesh.RetryPolicy(retry.attempts, retry.budget_percent),
        limit=mesh.LimitPolicy(limit.queue, limit.body_bytes),
        timeout=mesh.TimeoutPolicy(timeout.request, timeout.attempt),
        headers=mesh.HeaderRule(
            tuple(headers.set.items()), tuple(headers.remove)
        ),
        idempotent=item.idempotent,
        requires_key=item.keyed,
        priority=item.priority,
    )


def _specificity_key(route):
    length = len(route.path.rstrip('/'))
    return (route.host == '*', -length, not route.methods, route.name)


def _is_section(value):
    return isinstance(value, dict) and all(
        isinstance(entry, dict) for entry in value.values()
    )


def _toml_table(title, entry):
    lines = [
        f'{_toml_key(name)} = {_toml_value(value)}\n'
        for name, value in entry.items()
    ]
    return f'[{title}]\n{"".join(lines)}'


def _toml_key(name):
    return name if _BARE_KEY.match(name) else _toml_value(name)


def _toml_value(value):
    match value:
        case dict():
            items = (
                f'{_toml_key(k)} = {_toml_value(v)}' for k, v in value.items()
            )
            return '{' + ', '.join(items) + '}'
        case list():
            return '[' + ', '.join(map(_toml_value, value)) + ']'
        case _:
            # JSON scalars are valid TOML, except that TOML requires DEL to
            # be escaped.
            text = json.dumps(value, ensure_ascii=False)
            return text.replace('\x7f', '\\u007f')
