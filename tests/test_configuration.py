"""Tests of the operator's configuration, as the platform encodes it."""

import json
import math

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold.platform import configuration
from tests import sidecars

JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats(allow_nan=True)
    | strategies.text(max_size=8)
    | strategies.sampled_from(['idempotent', 'pickups', '/a/', 0, 1, -1]),
    lambda items: (
        strategies.lists(items, max_size=3)
        | strategies.dictionaries(strategies.text(max_size=8), items)
    ),
    max_leaves=4,
)


def places(value, path=()):
    """Yield the path of each value within a JSON document."""
    yield path
    if isinstance(value, dict):
        for key, item in value.items():
            yield from places(item, (*path, key))
    elif isinstance(value, list):
        for index, item in enumerate(value):
            yield from places(item, (*path, index))


def replaced(document, path, value):
    """Return a JSON document with the value at a path replaced."""
    if not path:
        return value
    copied = dict if isinstance(document, dict) else list
    copy = copied(document)
    copy[path[0]] = replaced(document[path[0]], path[1:], value)
    return copy


class TestDecode(testtools.TestCase):
    def test_each_column_of_a_route_is_decoded(self):
        row = sidecars.route(
            'r-1',
            '/a/',
            'non_idempotent',
            priority=2,
            timeout_s=0.8,
            target_latency_s=0.25,
            max_attempts=3,
        )
        found = configuration.Decoder().decode(sidecars.document(7, [row])).ok
        route = found.mesh.match(sidecars.HOST, '/a/x', 'GET')
        self.assertEqual(7, found.mesh.number)
        self.assertIs(False, route.idempotent)
        self.assertEqual(-2, route.priority)
        self.assertEqual(0.8, route.timeout.request)
        self.assertEqual(0.25, route.latency_objective)
        self.assertEqual(3, route.retry.attempts)
        self.assertEqual(15, found.limits.idle_timeout)

    def test_the_longest_prefix_matches(self):
        rows = [
            sidecars.route('short', '/a/'),
            sidecars.route('long', '/a/b/'),
        ]
        mesh = (
            configuration.Decoder().decode(sidecars.document(1, rows)).ok.mesh
        )
        for path, name in (
            ('/a/x', 'short'),
            ('/a/b', 'short'),
            ('/a/b/', 'long'),
            ('/a/bc/', 'short'),
            ('/a', None),
        ):
            route = mesh.match(sidecars.HOST, path, 'GET')
            self.assertEqual(name, route and route.name, path)

    def test_columns_may_be_reordered_and_unknown_ones_are_ignored(self):
        body = json.loads(sidecars.document(1))
        table = body['routes']
        table['columns'] = [*table['columns'][::-1], 'tomorrow']
        table['rows'] = [[*row[::-1], 1] for row in table['rows']]
        found = configuration.Decoder().decode(json.dumps(body).encode()).ok
        self.assertEqual(2, len(found.mesh.routes))

    def test_invalid_configurations_are_rejected(self):
        valid = json.loads(sidecars.document(1))
        for change in (
            {'version': 'x'},
            {'routes': {'columns': ['name'], 'rows': [['r']]}},
            {'routes': []},
            {'limits': {}},
            {'version': 0},
            {'limits': {**valid['limits'], 'idle_timeout_s': -1}},
        ):
            body = json.dumps({**valid, **change}).encode()
            self.assertTrue(
                configuration.Decoder().decode(body).is_error(), change
            )
        self.assertTrue(configuration.Decoder().decode(b'\xff').is_error())

    def test_a_wrong_value_of_a_route_is_rejected_by_its_path(self):
        part = {'service': 'pickups', 'weight': 1}
        for column, value, named in (
            ('kind', 1, 'kind'),
            ('host', '', 'host'),
            ('prefix', '/a', 'prefix'),
            ('prefix', 'a/', 'prefix'),
            ('timeout_s', 0, 'timeout_s'),
            ('timeout_s', -1, 'timeout_s'),
            ('timeout_s', None, 'timeout_s'),
            ('target_latency_s', -1, 'target_latency_s'),
            ('service', 'nowhere', 'service'),
            ('service', None, 'service'),
            ('traffic_split', [{**part, 'weight': -1}], 'traffic_split'),
            ('traffic_split', [{**part, 'weight': 0}], 'traffic_split'),
            ('traffic_split', [{**part, 'service': 'nowhere'}], 'service'),
        ):
            values = {'name': 'r', 'prefix': '/a/', column: value}
            body = sidecars.document(1, [sidecars.route(**values)])
            found = configuration.Decoder().decode(body)
            self.assertTrue(found.is_error(), values)
            text = f'{found.error.where} {found.error.reason}'
            self.assertIn(named, text, values)

    def test_uploads_and_unknown_kinds_run_at_most_once(self):
        rows = [
            sidecars.route('scan', '/a/', 'upload'),
            sidecars.route('odd', '/b/', 'sometimes'),
            sidecars.route('read', '/c/'),
        ]
        found = configuration.Decoder().decode(sidecars.document(1, rows)).ok
        self.assertEqual(
            [False, False, True],
            [route.idempotent for route in found.mesh.routes],
        )
        self.assertEqual(
            [('routes.odd.kind', 'sometimes')],
            [(item.field, item.value) for item in found.unknown_values],
        )

    def test_services_with_weight_zero_get_no_requests(self):
        parts = [
            {'service': 'pickups', 'weight': 0.5},
            {'service': 'pickups', 'weight': 0},
        ]
        row = sidecars.route('r', '/a/', service=None, traffic_split=parts)
        mesh = (
            configuration.Decoder().decode(sidecars.document(1, [row])).ok.mesh
        )
        self.assertEqual(
            [0.5], [target.weight for target in mesh.routes[0].targets]
        )

    @hypothesis.given(strategies.data())
    def test_any_change_of_a_document_is_decoded_or_rejected(self, data):
        document = json.loads(sidecars.document(1))
        place = data.draw(strategies.sampled_from(list(places(document))))
        value = data.draw(JSON_VALUES)
        changed = json.dumps(replaced(document, place, value)).encode()
        found = configuration.Decoder().decode(changed)
        if found.is_error():
            self.assertTrue(found.error.reason)
            return
        for route in found.ok.mesh.routes:
            self.assertTrue(0 < route.timeout.request < math.inf)
            for target in route.targets:
                self.assertIn(target.group.service, found.ok.mesh.services)
            path = route.path + 'x'
            self.assertIsNotNone(found.ok.mesh.match(route.host, path, 'GET'))


ROUTE_ROWS = strategies.builds(
    sidecars.route,
    strategies.sampled_from(['r-1', 'r-2']),
    strategies.sampled_from(['/a/', '/b/', 'bad']),
    strategies.sampled_from(['idempotent', 'upload', 'odd']),
    strategies.sampled_from(['pickups', 'routes']),
    timeout_s=strategies.sampled_from([0.5, 2, -1]),
)
COLUMN_ORDERS = strategies.sampled_from(
    [sidecars.ROUTE_COLUMNS, sidecars.ROUTE_COLUMNS[::-1]]
)
SERVICE_SETS = strategies.sampled_from([('pickups', 'routes'), ('pickups',)])


@strategies.composite
def documents(draw):
    """Draw a document, valid or not, much like others that are drawn."""
    document = json.loads(
        sidecars.document(
            draw(strategies.integers(1, 3)),
            draw(strategies.lists(ROUTE_ROWS, max_size=3)),
            draw(SERVICE_SETS),
        )
    )
    order = document['routes']['columns']
    document['routes']['columns'] = columns = draw(COLUMN_ORDERS)
    if columns != order and draw(strategies.booleans()):
        document['routes']['rows'] = [
            row[::-1] for row in document['routes']['rows']
        ]
    return json.dumps(document).encode()


class TestReuse(testtools.TestCase):
    @hypothesis.given(strategies.lists(documents(), max_size=6))
    def test_earlier_documents_change_no_result(self, bodies):
        decoder = configuration.Decoder()
        for body in bodies:
            alone = configuration.Decoder().decode(body)
            self.assertEqual(alone, decoder.decode(body))

    def test_only_rows_that_changed_are_decoded(self):
        rows = [sidecars.route(f'r-{n}', f'/{n}/') for n in range(3)]
        decoder = configuration.Decoder()
        before = decoder.decode(sidecars.document(1, rows)).ok.mesh.routes
        rows[1] = sidecars.route('r-1', '/new/')
        after = decoder.decode(sidecars.document(2, rows)).ok.mesh.routes
        self.assertEqual(
            [True, False, True],
            [one is other for one, other in zip(before, after, strict=True)],
        )
        self.assertEqual('/new/', after[1].path)
