"""Header names that the platform prescribes."""

from jujubefold.sidecar import attempt

NAMES = attempt.HeaderNames(
    request=b'x-request-id',
    deadline=b'x-deadline-ms',
    seal=b'x-server-seal',
    expected_upstream=b'x-expect-instance',
    not_run=b'x-not-executed',
    caller=b'x-caller-service',
    retry_after=b'retry-after',
    limit=b'server-limit',
    leaving=b'server-leaving',
    tenant=b'x-tenant',
    upstream=b'x-instance-id',
)
