"""Metrics of a daemon, exposed in the Prometheus text format."""

import math

import aioprometheus
from aioprometheus import renderer

CALL_ADDED_BUCKETS_S = (
    0.0001,
    0.0002,
    0.00033,
    0.0005,
    0.001,
    0.002,
    0.005,
    0.01,
    0.05,
    0.25,
    1.0,
    math.inf,
)
CONVERGENCE_BUCKETS_S = (0.1, 0.25, 0.5, 1, 2, 5, 10, 18, 60, 600, math.inf)
STORE_BUCKETS_S = (0.002, 0.005, 0.01, 0.05, 0.1, 0.5, 1, 2, 5, math.inf)


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    def __init__(self):
        self._registry = aioprometheus.Registry()
        self.calls = self._counter(
            'jujubefold_calls_total', 'Calls by outcome and reason.'
        )
        self.call_added = self._histogram(
            'jujubefold_call_added_seconds',
            'Time of a call to the own upstream, without the upstream itself.',
            CALL_ADDED_BUCKETS_S,
        )
        self.control_bytes = self._counter(
            'jujubefold_control_bytes_total',
            'Bytes of envelopes sent and received, by direction.',
        )
        self.control_messages = self._counter(
            'jujubefold_control_messages_total',
            'Messages sent and received, by direction and type.',
        )
        self.skipped = self._counter(
            'jujubefold_control_skipped_total',
            'Messages received of types that this release does not know.',
        )
        self.store_calls = self._counter(
            'jujubefold_store_calls_total',
            'Calls to the platform by operation and outcome.',
        )
        self.store_seconds = self._histogram(
            'jujubefold_store_seconds',
            'Time of a call to the platform.',
            STORE_BUCKETS_S,
        )
        self.convergence = self._histogram(
            'jujubefold_convergence_seconds',
            'Time from acceptance of a version to its being in force here.',
            CONVERGENCE_BUCKETS_S,
        )
        self.version_in_force = self._gauge(
            'jujubefold_version_in_force', 'Configuration version in force.'
        )
        self.held_back = self._gauge(
            'jujubefold_versions_held_back',
            'Versions that this daemon could not apply.',
        )
        self.members = self._gauge(
            'jujubefold_members', 'Members known, by state.'
        )
        self.running = self._gauge(
            'jujubefold_gate_running', 'Requests in slots of the upstream.'
        )
        self.queued = self._gauge(
            'jujubefold_gate_queued', 'Requests waiting for a slot.'
        )
        self.loop_lag = self._gauge(
            'jujubefold_loop_lag_seconds', 'Lateness of the last timer tick.'
        )

    def render(self):
        """Return the metrics in the Prometheus text format, as bytes."""
        body, _ = renderer.render(self._registry, ['text/plain'])
        return body

    def _counter(self, name, help_text):
        return aioprometheus.Counter(name, help_text, registry=self._registry)

    def _gauge(self, name, help_text):
        return aioprometheus.Gauge(name, help_text, registry=self._registry)

    def _histogram(self, name, help_text, buckets):
        return aioprometheus.Histogram(
            name, help_text, registry=self._registry, buckets=buckets
        )
