"""Tests of declarations, their TOML form, and patches of documents."""

import copy
import pathlib
import tomllib

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from jujubefold import declarations
from jujubefold import patches
from jujubefold import versions

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
TEXT = strategies.text(
    strategies.characters(codec='utf-8', exclude_categories=('Cs',)),
    max_size=8,
)
SCALAR = strategies.one_of(
    strategies.booleans(),
    strategies.integers(-(2**53), 2**53),
    strategies.floats(allow_nan=False, allow_infinity=False),
    TEXT,
)
VALUE = strategies.recursive(
    SCALAR,
    lambda inner: strategies.one_of(
        strategies.lists(inner, max_size=3),
        strategies.dictionaries(TEXT, inner, max_size=3),
    ),
    max_leaves=8,
)
DOCUMENT = strategies.dictionaries(
    TEXT,
    strategies.dictionaries(
        TEXT,
        strategies.one_of(
            VALUE, strategies.dictionaries(TEXT, VALUE, max_size=3)
        ),
        max_size=3,
    ),
    max_size=4,
)


def parse_example(name):
    path = EXAMPLES / name
    return declarations.parse(path.read_text(), name)


def full_document():
    """Return a document that has every kind of reference."""
    return {
        'schema': 1,
        'services': {'s': {'tls': 'k'}},
        'groups': {'g': {'service': 's'}},
        'retries': {'r': {}},
        'limits': {'l': {}},
        'timeouts': {'t': {}},
        'headers': {'h': {}},
        'tls': {'k': {'secret': 'k'}},
        'routes': {
            'one': {
                'host': 'a.example',
                'path': '/x',
                'targets': [{'group': 'g'}],
                'retry': 'r',
                'limit': 'l',
                'timeout': 't',
                'headers': 'h',
            }
        },
    }


def modified_document(path, value):
    """Return the full document with one value changed, or removed if None."""
    document = copy.deepcopy(full_document())
    *parents, last = path
    container = document
    for key in parents:
        container = container[key]
    if value is None:
        del container[last]
    else:
        container[last] = value
    return document


ROUTE_PATH = ('routes', 'one')
DUPLICATE = {**full_document()['routes']['one'], 'path': '/x/'}
INVALID = (
    (('services', 's'), None, '/groups/g/service'),
    (('groups', 'g'), None, '/routes/one/targets/0/group'),
    (('retries', 'r'), None, '/routes/one/retry'),
    (('limits', 'l'), None, '/routes/one/limit'),
    (('timeouts', 't'), None, '/routes/one/timeout'),
    (('headers', 'h'), None, '/routes/one/headers'),
    (('tls', 'k'), None, '/services/s/tls'),
    ((*ROUTE_PATH, 'targets', 0, 'weight'), 0, '/routes/one/targets/0/weight'),
    (
        (*ROUTE_PATH, 'targets', 0, 'weight'),
        -1,
        '/routes/one/targets/0/weight',
    ),
    ((*ROUTE_PATH, 'targets'), [], '/routes/one/targets'),
    ((*ROUTE_PATH, 'path'), 'x', '/routes/one/path'),
    ((*ROUTE_PATH, 'methods'), ['get'], '/routes/one/methods/0'),
    ((*ROUTE_PATH, 'idempotent'), 'yes', '/routes/one/idempotent'),
    ((*ROUTE_PATH, 'colour'), 'red', '/routes/one/colour'),
    (('routes', 'two'), DUPLICATE, '/routes/two'),
    (('timeouts', 't', 'request'), float('inf'), '/timeouts/t/request'),
    (('headers', 'h', 'set'), {'a b': 'c'}, '/headers/h/set/a b/[key]'),
    (('headers', 'h', 'set'), {'a': 'c\r\nd'}, '/headers/h/set/a'),
    (('schema',), 2, '/schema'),
    (('schema',), None, '/schema'),
    (('colours',), {}, '/colours'),
)


class TestCompile(testtools.TestCase):
    def test_references_are_resolved(self):
        mesh = declarations.compile_mesh(full_document(), 7).ok
        route = mesh.match('a.example', '/x/y', 'GET')
        self.assertEqual((7, 'one'), (mesh.number, route.name))
        self.assertEqual('s', route.targets[0].group.service)
        self.assertEqual('k', mesh.services['s'].tls.secret)

    def test_invalid_document_is_refused_with_a_pointer(self):
        for path, value, where in INVALID:
            with self.subTest(path=path, value=value):
                found = declarations.compile_mesh(
                    modified_document(path, value), 1
                )
                self.assertIn(where, [item.where for item in found.error])

    def test_routes_may_differ_only_by_method(self):
        for methods, is_same in ((['GET'], False), ([], True)):
            duplicate = {**DUPLICATE, 'methods': methods}
            document = modified_document(('routes', 'two'), duplicate)
            found = declarations.compile_mesh(document, 1)
            self.assertEqual(is_same, found.is_error())
        mesh = declarations.compile_mesh(
            modified_document(
                ('routes', 'two'), {**DUPLICATE, 'methods': ['GET']}
            ),
            1,
        ).ok
        self.assertEqual('two', mesh.match('a.example', '/x', 'GET').name)
        self.assertEqual('one', mesh.match('a.example', '/x', 'PUT').name)

    def test_newer_minor_may_have_fields_unknown_here(self):
        document = modified_document((*ROUTE_PATH, 'colour'), 'red')
        document['minor'] = declarations.MINOR + 1
        self.assertTrue(declarations.compile_mesh(document, 1).is_ok())
        patch = patches.difference(document, {**document, 'limits': {'l': {}}})
        after = patches.apply(versions.canonical(document), patch).ok
        self.assertIn(b'"colour":"red"', after)

    @hypothesis.given(VALUE)
    @hypothesis.settings(derandomize=True, max_examples=50)
    def test_any_value_is_refused_or_compiled(self, value):
        for path in (('routes',), ('services', 's'), ROUTE_PATH, ('schema',)):
            document = modified_document(path, 1)
            document[path[0]] = value
            found = declarations.compile_mesh(document, 1)
            self.assertTrue(found.is_ok() or found.error)
        self.assertTrue(declarations.compile_mesh(value, 1).is_error())


PATH = strategies.lists(strategies.sampled_from(['a', 'ab', '']), max_size=3)
METHODS = strategies.lists(strategies.sampled_from(['GET', 'PUT']), max_size=2)
HOST = strategies.sampled_from(['*', 'x.example', 'y.example'])


def matches(route, host, path, method):
    """Return whether a route matches a request, as documented."""
    prefix = route.path.rstrip('/')
    return (
        route.host in ('*', host)
        and (not route.methods or method in route.methods)
        and (path == prefix or path.startswith(prefix + '/'))
    )


class TestMatch(testtools.TestCase):
    @hypothesis.given(
        strategies.lists(strategies.tuples(HOST, PATH, METHODS), max_size=8),
        strategies.lists(strategies.tuples(HOST, PATH), min_size=5),
    )
    @hypothesis.settings(derandomize=True, max_examples=200)
    def test_first_of_the_ordered_routes_that_matches(self, routes, requests):
        document = full_document()
        document['routes'] = {
            f'r-{index}': {
                'host': host,
                'path': '/' + '/'.join(path),
                'methods': methods,
                'targets': [{'group': 'g'}],
            }
            for index, (host, path, methods) in enumerate(routes)
        }
        found = declarations.compile_mesh(document, 1)
        hypothesis.assume(found.is_ok())
        mesh = found.ok
        for host, parts in requests:
            for path in ('/' + '/'.join(parts), '/'.join(parts)):
                expected = [
                    route
                    for route in mesh.routes
                    if matches(route, host, path, 'GET')
                ]
                self.assertEqual(
                    expected[0] if expected else None,
                    mesh.match(host, path, 'GET'),
                )


class TestToml(testtools.TestCase):
    def test_examples_are_valid(self):
        for name in ('collections.toml', 'repair-orders.toml'):
            mesh = declarations.compile_mesh(parse_example(name).ok, 1).ok
            self.assertTrue(mesh.routes)
            without_key = [
                route.name
                for route in mesh.routes
                if 'POST' in route.methods and not route.requires_key
            ]
            self.assertEqual([], without_key)

    def test_errors_name_file_and_pointer(self):
        for text, where in (
            ('schema = ', 'mesh.toml'),
            ('schema = 9', 'mesh.toml: /schema'),
            ('[groups.g]\nservice = "x"', 'mesh.toml: /groups/g/service'),
        ):
            found = declarations.parse(text, 'mesh.toml')
            self.assertEqual(where, found.error[0].where)

    @hypothesis.given(DOCUMENT)
    @hypothesis.settings(derandomize=True, max_examples=200)
    def test_rendered_document_reads_back(self, document):
        text = declarations.render(document)
        document = {name: each for name, each in document.items() if each}
        self.assertEqual(document, tomllib.loads(text))

    def test_rendered_example_is_the_same_document(self):
        document = parse_example('collections.toml').ok
        text = declarations.render(document)
        self.assertEqual(document, declarations.parse(text, '').ok)


class TestPatches(testtools.TestCase):
    @hypothesis.given(DOCUMENT, DOCUMENT)
    @hypothesis.settings(derandomize=True, max_examples=200)
    def test_difference_transforms_old_into_new(self, old, new):
        patch = patches.difference(old, new)
        after = patches.apply(versions.canonical(old), patch)
        self.assertEqual(versions.canonical(new), after.ok)
        if old == new:
            self.assertEqual(b'[]', patch)

    @hypothesis.given(
        strategies.one_of(
            strategies.binary(max_size=60),
            strategies.lists(
                strategies.fixed_dictionaries(
                    {},
                    optional={
                        'op': strategies.sampled_from(
                            ['add', 'remove', 'move', 'copy', 'test', 'x']
                        ),
                        'path': strategies.one_of(TEXT, VALUE),
                        'from': strategies.one_of(TEXT, VALUE),
                        'value': VALUE,
                    },
                ),
                max_size=3,
            ).map(msgspec.json.encode),
        )
    )
    @hypothesis.settings(derandomize=True, max_examples=300)
    def test_any_patch_is_refused_or_applied(self, patch):
        found = patches.apply(versions.EMPTY_DOCUMENT, patch)
        if found.is_ok():
            self.assertIsInstance(msgspec.json.decode(found.ok), dict)
            patches.clashes(patches.normalize(patch).ok, [b'[]'])

    def test_clashes_are_found_by_path(self):
        def patch(*paths):
            return versions.canonical(
                [{'op': 'add', 'path': path, 'value': 1} for path in paths]
            )

        move = versions.canonical(
            [{'op': 'move', 'from': '/routes/a', 'path': '/routes/b'}]
        )
        test_only = versions.canonical(
            [{'op': 'test', 'path': '/routes/a', 'value': 1}]
        )
        for mine, others, expected in (
            (patch('/routes/a'), [patch('/routes/b')], ()),
            (patch('/routes/a'), [patch('/routes/ab')], ()),
            (patch('/routes/a'), [patch('/routes/a')], ('/routes/a',)),
            (patch('/a/b'), [patch('/a')], ('/a/b',)),
            (patch('/routes/a'), [patch('/routes/a/host')], ('/routes/a',)),
            (patch('/routes/a'), [patch('/x'), move], ('/routes/a',)),
            (patch('/routes/b'), [move], ('/routes/b',)),
            (patch('/routes/a'), [test_only], ()),
            (patch('/routes/a'), [], ()),
        ):
            self.assertEqual(expected, patches.clashes(mine, others))
