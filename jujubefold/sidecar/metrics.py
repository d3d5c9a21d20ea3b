"""Metrics: a sidecar's counters and gauges, in the Prometheus text format."""

import math

import aioprometheus
from aioprometheus import renderer

from jujubefold import metrics

REQUEST_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.2,
    0.4,
    0.8,
    1.6,
    3.2,
    math.inf,
)
# Tenants that are counted by name; the others are counted together.
MAX_TENANT_LABELS = 99
OTHER_TENANTS = 'other'


class SidecarMetrics:
    """All metrics of one sidecar, in their own registry.

    Attributes:
        version: Gauge of the configuration version in force.
        known_version: Gauge of the newest version that this daemon knows of.
        links: Gauge of the daemons that can be offered requests.
        running: Gauge of the requests that hold a slot.
        waiting: Gauge of the requests that wait for a slot.
        slots: Gauge of the slots that may be used now.
        limit: Gauge of the requests a second that the upstream takes; 0
            without a limit.
        rollout_share: Gauge of the share of a service's requests that goes
            to a new version.
        rollout_answers: Gauge of the ended requests of the own upstream
            since the last order.
        rollout_bad: Gauge of the bad answers among them.
        capacity: Gauge of the requests that the upstream handles well at once,
            as the gate learned; 0 if it learns nothing.
    """

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self._requests = aioprometheus.Counter(
            'jujubefold_requests_total',
            'Requests answered, by service, route and status.',
            registry=self._registry,
        )
        self._tenant_requests = aioprometheus.Counter(
            'jujubefold_tenant_requests_total',
            'Requests answered that carried a known key, by tenant.',
            registry=self._registry,
        )
        self._tenant_labels = set()
        self._unrouted = aioprometheus.Counter(
            'jujubefold_requests_unrouted_total',
            'Requests refused before they were offered to a gate, by reason.',
            registry=self._registry,
        )
        self._request_seconds = aioprometheus.Histogram(
            'jujubefold_request_seconds',
            'Time from a whole request to its answer, by service.',
            registry=self._registry,
            buckets=REQUEST_BUCKETS_S,
        )
        self._quota_decisions = aioprometheus.Counter(
            'jujubefold_quota_decisions_total',
            'Requests of tenants with a quota, by who decided and decision.',
            registry=self._registry,
        )
        self._store_calls = aioprometheus.Counter(
            'jujubefold_store_calls_total',
            'Calls to the platform by operation and outcome.',
            registry=self._registry,
        )
        self._store_seconds = aioprometheus.Histogram(
            'jujubefold_store_seconds',
            'Time of a call to the platform.',
            registry=self._registry,
            buckets=metrics.STORE_BUCKETS_S,
        )
        self._version_faults = aioprometheus.Counter(
            'jujubefold_version_faults_total',
            'Unknown values and rejected configurations, by effect.',
            registry=self._registry,
        )
        self._era_changes = aioprometheus.Counter(
            'jujubefold_store_era_changes_total',
            'Returns of the store from an older copy.',
            registry=self._registry,
        )
        self._link_bytes = aioprometheus.Counter(
            'jujubefold_link_sent_bytes_total',
            'Bytes sent to other daemons, by kind of message and scope.',
            registry=self._registry,
        )
        self._rollout_steps = aioprometheus.Counter(
            'jujubefold_rollout_steps_total',
            'Steps of rollouts that this daemon wrote, by phase.',
            registry=self._registry,
        )
        self._rollout_conflicts = aioprometheus.Counter(
            'jujubefold_rollout_conflicts_total',
            'Steps of rollouts refused because another daemon wrote first.',
            registry=self._registry,
        )
        self._rollout_takeovers = aioprometheus.Counter(
            'jujubefold_rollout_takeovers_total',
            'Rollouts that this daemon took over from another one.',
            registry=self._registry,
        )
        self.version = self._gauge(
            'jujubefold_version_in_force', 'Configuration version in force.'
        )
        self.known_version = self._gauge(
            'jujubefold_version_known',
            'Newest configuration version that the daemon was told of.',
        )
        self.links = self._gauge(
            'jujubefold_links', 'Other daemons that can be offered requests.'
        )
        self.running = self._gauge(
            'jujubefold_gate_running', 'Requests in slots of the upstream.'
        )
        self.waiting = self._gauge(
            'jujubefold_gate_waiting', 'Requests waiting for a slot.'
        )
        self.slots = self._gauge(
            'jujubefold_gate_slots', 'Slots of the upstream usable now.'
        )
        self.limit = self._gauge(
            'jujubefold_gate_limit',
            'Requests a second that the upstream takes; 0 without a limit.',
        )
        self.rollout_share = self._gauge(
            'jujubefold_rollout_share',
            "Share of a service's requests for the new version.",
        )
        self.rollout_answers = self._gauge(
            'jujubefold_rollout_answers',
            'Ended requests of the upstream since the order, by version.',
        )
        self.rollout_bad = self._gauge(
            'jujubefold_rollout_bad_answers',
            'Bad answers among them, by version.',
        )
        self.capacity = self._gauge(
            'jujubefold_gate_capacity',
            'Learned limit of requests in slots at once; 0 if none.',
        )

    def count_response(self, service, route, status, seconds):
        """Count an answer to a routed request.

        Args:
            service: Service that the request was for.
            route: Route name.
            status: HTTP status of the answer.
            seconds: From the complete request to its answer.
        """
        self._requests.inc(
            {'service': service, 'route': route, 'status': str(status)}
        )
        self._request_seconds.observe({'service': service}, seconds)

    def count_tenant_response(self, tenant, status):
        """Count an answer to a tenant's request.

        Args:
            tenant: Name of the tenant.
            status: HTTP status of the answer.
        """
        if tenant not in self._tenant_labels:
            if len(self._tenant_labels) >= MAX_TENANT_LABELS:
                tenant = OTHER_TENANTS
            else:
                self._tenant_labels.add(tenant)
        self._tenant_requests.inc({'tenant': tenant, 'status': str(status)})

    def count_unrouted(self, reason):
        """Count a request that was refused before it was offered to a gate.

        Args:
            reason: A `calls.Reason`.
        """
        self._unrouted.inc({'reason': reason.value})

    def count_quota_decision(self, source, granted):
        """Count a decision on a request of a tenant with a quota.

        Args:
            source: As in `quotaexchange.Decision`.
            granted: Whether the request may run.
        """
        decision = 'granted' if granted else 'denied'
        self._quota_decisions.inc({'source': source, 'decision': decision})

    def count_store_call(self, operation, outcome, seconds):
        """Count a call to the platform's store.

        Args:
            operation: `read`, `get`, `feed` or `write`.
            outcome: HTTP status, or how the call failed.
            seconds: Duration.
        """
        self._store_calls.inc({'operation': operation, 'outcome': outcome})
        self._store_seconds.observe({'operation': operation}, seconds)

    def count_version_fault(self, effect):
        """Count a fault of a configuration document.

        Args:
            effect: `unknown`, `invalid` or `damaged`; see
                `versions.Versions`.
        """
        self._version_faults.inc({'effect': effect})

    def count_era_change(self):
        """Count a return of the store from an older copy."""
        self._era_changes.inc({})

    def set_link_bytes(self, scope, sent_bytes):
        """Set how many bytes were sent over links.

        Args:
            scope: `near` for the own failure domain, else `far`.
            sent_bytes: Counter of bytes by kind of message.
        """
        for kind, size in sent_bytes.items():
            self._link_bytes.set({'kind': kind, 'scope': scope}, size)

    def set_rollout_control(self, steps, conflicts, takeovers):
        """Set what the `rolloutcontroller.Controller` counted.

        Args:
            steps: Number of steps written by phase; phases without one are
                left out.
            conflicts: Number of writes refused by their condition.
            takeovers: Number of rollouts taken over.
        """
        for phase, count in steps.items():
            if count:
                self._rollout_steps.set({'phase': phase.value}, count)
        if conflicts:
            self._rollout_conflicts.set({}, conflicts)
        if takeovers:
            self._rollout_takeovers.set({}, takeovers)

    def render(self):
        """Return all metrics in the text exposition format, as bytes."""
        body, _ = renderer.render(self._registry, ['text/plain'])
        return body

    def _gauge(self, name, help_text):
        return aioprometheus.Gauge(name, help_text, registry=self._registry)
