"""Tests of the sidecar's metrics: names and labels are a public interface."""

import pathlib
import re

import testtools

from jujubefold import calls
from jujubefold.sidecar import metrics
from jujubefold.sidecar import rollout

PAGE = pathlib.Path(__file__).parents[1] / 'docs/OPERATIONS.md'
# Labels by metric name; for histograms without `le`.
LABELS_BY_NAME = {
    'jujubefold_requests_total': {'service', 'route', 'status'},
    'jujubefold_tenant_requests_total': {'tenant', 'status'},
    'jujubefold_requests_unrouted_total': {'reason'},
    'jujubefold_request_seconds': {'service'},
    'jujubefold_quota_decisions_total': {'source', 'decision'},
    'jujubefold_store_calls_total': {'operation', 'outcome'},
    'jujubefold_store_seconds': {'operation'},
    'jujubefold_link_sent_bytes_total': {'kind', 'scope'},
    'jujubefold_version_faults_total': {'effect'},
    'jujubefold_version_in_force': set(),
    'jujubefold_version_known': set(),
    'jujubefold_store_era_changes_total': set(),
    'jujubefold_rollout_steps_total': {'phase'},
    'jujubefold_rollout_conflicts_total': set(),
    'jujubefold_rollout_takeovers_total': set(),
    'jujubefold_links': set(),
    'jujubefold_gate_running': set(),
    'jujubefold_gate_waiting': set(),
    'jujubefold_gate_slots': set(),
    'jujubefold_gate_limit': set(),
    'jujubefold_rollout_share': {'service'},
    'jujubefold_rollout_answers': {'service', 'track'},
    'jujubefold_rollout_bad_answers': {'service', 'track'},
}
_HISTOGRAM_SUFFIX = re.compile(r'_(bucket|sum|count)$')
_LABEL = re.compile(r'(\w+)="')


def render_all():
    """Return the text of metrics that each have a sample."""
    sidecar_metrics = metrics.SidecarMetrics()
    sidecar_metrics.count_response('s', 'r', 200, 0.1)
    sidecar_metrics.count_tenant_response('t', 200)
    sidecar_metrics.count_unrouted(calls.Reason.NO_ROUTE)
    sidecar_metrics.count_quota_decision('owner', granted=True)
    sidecar_metrics.count_store_call('read', 'ok', 0.01)
    sidecar_metrics.set_link_bytes('far', {'offer': 100})
    sidecar_metrics.count_version_fault('invalid')
    sidecar_metrics.count_era_change()
    sidecar_metrics.set_rollout_control({rollout.Phase.CANARY: 1}, 1, 1)
    for gauge in (
        sidecar_metrics.version,
        sidecar_metrics.known_version,
        sidecar_metrics.links,
        sidecar_metrics.running,
        sidecar_metrics.waiting,
        sidecar_metrics.slots,
        sidecar_metrics.limit,
    ):
        gauge.set({}, 1)
    sidecar_metrics.rollout_share.set({'service': 's'}, 0.1)
    labels = {'service': 's', 'track': 'new'}
    sidecar_metrics.rollout_answers.set(labels, 1)
    sidecar_metrics.rollout_bad.set(labels, 1)
    return sidecar_metrics.render().decode()


class TestNames(testtools.TestCase):
    def test_names_and_labels_are_stable(self):
        seen = {}
        for line in render_all().splitlines():
            if not line or line.startswith('#'):
                continue
            name = _HISTOGRAM_SUFFIX.sub('', re.split(r'[{ ]', line)[0])
            labels = set(_LABEL.findall(line)) - {'le'}
            seen.setdefault(name, set()).update(labels)
        self.assertEqual(LABELS_BY_NAME, seen)

    def test_tenants_beyond_the_limit_are_counted_together(self):
        # Each label value costs memory for as long as the daemon runs.
        sidecar_metrics = metrics.SidecarMetrics()
        for number in range(300):
            sidecar_metrics.count_tenant_response(f't-{number}', 200)
        text = sidecar_metrics.render().decode()
        found = re.findall(r'tenant_requests_total\{.*tenant="(.*?)"', text)
        self.assertEqual(100, len(found))
        self.assertIn(metrics.OTHER_TENANTS, found)

    def test_each_metric_is_documented_for_operators(self):
        page = PAGE.read_text()
        for name, labels in LABELS_BY_NAME.items():
            (row,) = [
                line
                for line in page.splitlines()
                if line.startswith(f'| `{name}`')
            ]
            _, _, listed, advice, _ = row.split('|')
            self.assertEqual(labels, set(re.findall(r'`(\w+)`', listed)))
            self.assertTrue(advice.strip(), name)
