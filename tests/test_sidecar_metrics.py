"""Tests of the sidecar's metrics: names and labels are an interface."""

import pathlib
import re

import testtools

from jujubefold import calls
from jujubefold.sidecar import metrics

PAGE = pathlib.Path(__file__).parents[1] / 'docs/OPERATIONS.md'
# Labels by name; those of histograms besides `le`.
NAMES = {
    'jujubefold_requests_total': {'service', 'route', 'status'},
    'jujubefold_requests_unrouted_total': {'reason'},
    'jujubefold_request_seconds': {'service'},
    'jujubefold_store_calls_total': {'operation', 'outcome'},
    'jujubefold_store_seconds': {'operation'},
    'jujubefold_version_in_force': set(),
    'jujubefold_links': set(),
    'jujubefold_gate_running': set(),
    'jujubefold_gate_waiting': set(),
    'jujubefold_gate_slots': set(),
}
_PART = re.compile(r'_(bucket|sum|count)$')
_LABEL = re.compile(r'(\w+)="')


def rendered():
    """Return metrics that have all been observed, as text."""
    found = metrics.SidecarMetrics()
    found.count_response('s', 'r', 200, 0.1)
    found.count_unrouted(calls.Reason.NO_ROUTE)
    found.count_store_call('read', 'ok', 0.01)
    for gauge in (
        found.version,
        found.links,
        found.running,
        found.waiting,
        found.slots,
    ):
        gauge.set({}, 1)
    return found.render().decode()


class TestNames(testtools.TestCase):
    def test_names_and_labels_are_stable(self):
        seen = {}
        for line in rendered().splitlines():
            if not line or line.startswith('#'):
                continue
            name = _PART.sub('', re.split(r'[{ ]', line)[0])
            labels = set(_LABEL.findall(line)) - {'le'}
            seen.setdefault(name, set()).update(labels)
        self.assertEqual(NAMES, seen)

    def test_operators_find_each_on_their_page(self):
        page = PAGE.read_text()
        for name, labels in NAMES.items():
            (row,) = [
                line
                for line in page.splitlines()
                if line.startswith(f'| `{name}`')
            ]
            _, _, listed, watch, _ = row.split('|')
            self.assertEqual(labels, set(re.findall(r'`(\w+)`', listed)))
            self.assertTrue(watch.strip(), name)
