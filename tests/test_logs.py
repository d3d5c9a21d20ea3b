"""Tests of log lines, and of the documentation of logs and metrics."""

import ast
import io
import json
import pathlib
import re

import testtools

from jujubefold import events
from jujubefold import hlc
from jujubefold import logs
from jujubefold import metrics

ROOT = pathlib.Path(__file__).parents[1]
DOCS_DIR = ROOT / 'docs/operations'
REQUIRED_FIELDS = {'time', 'level', 'message', 'vm', 'incarnation'}
EVENT_FIELDS = REQUIRED_FIELDS | {'event', 'hlc'}
NOT_SET = 'not filled yet'


class TestLines(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.stream = io.StringIO()
        logs.configure('INFO', 'vm-1', 7, self.stream)
        self.addCleanup(logs.logger.remove)

    def lines(self):
        return [
            json.loads(line)
            for line in self.stream.getvalue().split('\n')
            if line
        ]

    def log(self, *args, **fields):
        at = hlc.Timestamp(1_700_000_000_000_000_000, 3)
        logs.log_event(
            events.RecordedEvent(at, 'vm-1', 7, events.Event(*args, **fields))
        )

    def test_fields_of_log_lines(self):
        self.log('a.b')
        self.log(
            'a.b', version=0, request='r', patch='p', detail='x\ny {} "z"'
        )
        logs.logger.debug('left out')
        logs.logger.bind(event='daemon.plain').warning('plain')
        try:
            raise ValueError('lost')
        except ValueError:
            logs.logger.exception('failed')
        first, second, plain, failed = self.lines()
        self.assertEqual(EVENT_FIELDS, set(first))
        self.assertEqual(
            EVENT_FIELDS | {'version', 'request', 'patch'}, set(second)
        )
        self.assertEqual('x\ny {} "z"', second['message'])
        self.assertEqual(('a.b', 0), (second['event'], second['version']))
        self.assertEqual('1700000000000000000.3', second['hlc'])
        self.assertEqual('WARNING', plain['level'])
        self.assertEqual(REQUIRED_FIELDS | {'exception'}, set(failed))
        self.assertIn('lost', failed['exception'])
        for line in (first, second, plain, failed):
            self.assertEqual(('vm-1', 7), (line['vm'], line['incarnation']))

    def test_page_lists_all_fields(self):
        page = (DOCS_DIR / 'logs.md').read_text()
        fields = re.findall(r'^\| `(\w+)` \| (\w+)', page, re.M)
        required = {name for name, when in fields if when == 'yes'}
        self.assertEqual(REQUIRED_FIELDS, required)
        optional = {'version', 'request', 'patch', 'exception'}
        self.assertEqual(EVENT_FIELDS | optional, {name for name, _ in fields})


class TestMetricsPage(testtools.TestCase):
    def rows(self):
        page = (DOCS_DIR / 'metrics.md').read_text()
        row_pattern = (
            r'`(jujubefold_\w+)` \| (\w+) \| ([^|]+) \| ([^|]+) \| ([^|]+) '
        )
        return re.findall(rf'^\| {row_pattern}\|$', page, re.M)

    def test_page_matches_the_registry(self):
        declared = sorted(
            (item.name, item.kind.name, item.doc)
            for item in metrics.Metrics().__dict__.values()
            if hasattr(item, 'doc')
        )
        listed = sorted((row[0], row[1], row[4]) for row in self.rows())
        self.assertEqual(declared, listed)

    def test_page_matches_the_labels_set_by_the_runtime(self):
        source = (ROOT / 'jujubefold/runtime.py').read_text()
        labels_by_metric = dict(labels_used(ast.parse(source)))
        for attribute, item in vars(metrics.Metrics()).items():
            if not hasattr(item, 'doc'):
                continue
            (documented,) = (
                row[2] for row in self.rows() if row[0] == item.name
            )
            labels = labels_by_metric.get(attribute)
            expected = (
                NOT_SET if labels is None else ', '.join(labels) or 'none'
            )
            self.assertEqual(expected, documented, item.name)

    def test_alerts_use_metrics_and_labels_that_are_set(self):
        rows = {row[0]: row for row in self.rows()}
        page = (DOCS_DIR / 'alerts.md').read_text()
        expressions = re.findall(r'(jujubefold_\w+)(\{[^}]*\})?', page)
        self.assertGreater(len(expressions), 9)
        for name, labels in expressions:
            self.assertIn(name, rows)
            self.assertNotEqual(NOT_SET, rows[name][2], name)
            for label in re.findall(r'(\w+)=', labels):
                self.assertIn(label, rows[name][2].split(', '), name)


def labels_used(tree):
    """Yield the attribute and the sorted labels of each metric that is set."""
    for function in ast.walk(tree):
        if not isinstance(function, ast.FunctionDef):
            continue
        assigned = {
            node.targets[0].id: node.value
            for node in ast.walk(function)
            if isinstance(node, ast.Assign)
            and isinstance(node.targets[0], ast.Name)
        }
        for node in ast.walk(function):
            if (
                isinstance(node, ast.Call)
                and node.args
                and is_metric_update(node)
            ):
                labels = node.args[0]
                labels = assigned.get(getattr(labels, 'id', ''), labels)
                keys = sorted(key.value for key in labels.keys)
                yield node.func.value.attr, keys


def is_metric_update(node):
    """Return whether a call is `self._metrics.NAME.method(...)`."""
    owner = getattr(node.func, 'value', None)
    inner = getattr(owner, 'value', None)
    return getattr(inner, 'attr', '') == '_metrics'
