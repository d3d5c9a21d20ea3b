"""Tests of conventions of the source tree that no linter checks."""

import ast
import importlib.util
import pathlib
import re
import sys

import testtools

ROOT = pathlib.Path(__file__).parents[1]
SOURCES = sorted((ROOT / 'jujubefold').rglob('*.py'))
# Files that people read: source, pages and configuration.
TEXT_FILES = sorted(
    path
    for folder in ('jujubefold', 'tests', 'bench', 'docs', 'examples', '.')
    for path in (ROOT / folder).glob('**/*' if folder != '.' else '*')
    if path.suffix in {'.py', '.md', '.toml', '.lock', '.json'}
)
MAX_LINES = 700
# Concatenated, so that the patterns do not match this file.
FORBIDDEN = re.compile(
    '|'.join(
        (
            r'(?<![\w.~-])/' + r'(work|root|home)/',
            'pypi' + r'\.org',
            'python' + r'hosted\.',
            'proxy.golang' + r'\.org',
            'npm' + r'js\.',
            'crates' + r'\.io',
        )
    )
)


class TestPackage(testtools.TestCase):
    def test_modules_are_imported_not_names(self):
        self.assertGreater(len(SOURCES), 50)
        found = [
            f'{path.name}: {name}'
            for path in SOURCES
            for name in names_imported(path.read_text())
        ]
        self.assertEqual([], found)

    def test_public_items_have_docstrings(self):
        found = [
            f'{path.name}: {name}'
            for path in SOURCES
            for name in undocumented(path.read_text())
        ]
        self.assertEqual([], found)

    def test_handlers_of_decoding_errors_handle_deep_nesting(self):
        found = [
            f'{path.name}:{handler.lineno}'
            for path in SOURCES
            for handler in ast.walk(ast.parse(path.read_text()))
            if isinstance(handler, ast.ExceptHandler)
            and handler.type is not None
            and {'DecodeError', 'TOMLDecodeError'} & names_in(handler.type)
            and 'RecursionError' not in names_in(handler.type)
        ]
        self.assertEqual([], found)

    def test_no_machine_paths_or_registries(self):
        self.assertGreater(len(TEXT_FILES), 100)
        found = [
            f'{path.name}:{number}'
            for path in TEXT_FILES
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if FORBIDDEN.search(line)
        ]
        self.assertEqual([], found)


class TestLength(testtools.TestCase):
    """One test for each module, added at the end of this file."""

    def check(self, path):
        lines = len(path.read_text().splitlines())
        self.assertLessEqual(lines, MAX_LINES, path.name)


class TestLinks(testtools.TestCase):
    """One test for each page, added at the end of this file."""

    def check(self, path):
        missing = [
            target
            for target in links(path.read_text())
            if not (path.parent / target).exists()
        ]
        self.assertEqual([], missing)


class TestIndex(testtools.TestCase):
    def test_index_links_to_every_page(self):
        folder = ROOT / 'docs'
        linked = set(links((folder / 'index.md').read_text()))
        pages = {str(p.relative_to(folder)) for p in folder.glob('**/*.md')}
        self.assertEqual(set(), pages - linked - {'index.md'})


class TestStyleChecks(testtools.TestCase):
    def test_imported_names_are_found(self):
        cases = (
            ('import json', []),
            ('import os.path', []),
            ('from jujubefold import events', []),
            ('from concurrent import futures', []),
            ('from jujubefold import events as e', []),
            ('from jujubefold.events import Event', ['Event']),
            ('from typing import Any', ['Any']),
            ('def f():\n    from json import loads', ['loads']),
            ('from json import *', ['*']),
        )
        for source, expected in cases:
            self.assertEqual(expected, list(names_imported(source)), source)

    def test_missing_docstrings_are_found(self):
        cases = (
            ('"""Doc."""', []),
            ('', ['module']),
            ('"""D."""\ndef f(): pass', ['f']),
            ('"""D."""\nasync def f(): pass', ['f']),
            ('"""D."""\ndef _f(): pass', []),
            ('"""D."""\nclass A:\n  def f(self): pass', ['A']),
            ('"""D."""\nclass A:\n  "D."\n  def f(self): pass', ['f']),
            ('"""D."""\nclass A(B):\n  "D."\n  def f(self): pass', []),
        )
        for source, expected in cases:
            self.assertEqual(expected, list(undocumented(source)), source)

    def test_forbidden_patterns_are_found(self):
        matching = (
            'see /wo' + 'rk/main',
            '"/ro' + 'ot/x"',
            'https://pyp' + 'i.org',
        )
        for text in matching:
            self.assertIsNotNone(FORBIDDEN.search(text), text)
        for text in ('/workers', 'net/work/x', '/routes', '~/home'):
            self.assertIsNone(FORBIDDEN.search(text), text)

    def test_links_are_found(self):
        text = 'a [b](c.md) [d](e/f.md#g) [h](https://x) [i](#j)'
        self.assertEqual(['c.md', 'e/f.md'], list(links(text)))


def names_in(node):
    """Return the names and attributes in an expression."""
    return {
        getattr(item, 'attr', getattr(item, 'id', ''))
        for item in ast.walk(node)
    }


def names_imported(source):
    """Yield the imported names of a source that are not modules."""
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.ImportFrom):
            for item in node.names:
                if not is_module(f'{node.module}.{item.name}'):
                    yield item.name


def is_module(name):
    if name in sys.modules:
        return True
    try:
        return importlib.util.find_spec(name) is not None
    except ModuleNotFoundError:
        return False


def undocumented(source):
    """Yield the public items of a source that have no docstring.

    Methods of a class with bases are skipped: the base documents them.
    """
    tree = ast.parse(source)
    if not ast.get_docstring(tree):
        yield 'module'
    yield from without_docstring(tree.body)


def without_docstring(nodes):
    kinds = (ast.FunctionDef, ast.AsyncFunctionDef, ast.ClassDef)
    for node in nodes:
        if not isinstance(node, kinds) or node.name.startswith('_'):
            continue
        if any(
            getattr(d, 'attr', '') == 'setter' for d in node.decorator_list
        ):
            continue
        if not ast.get_docstring(node):
            yield node.name
        elif isinstance(node, ast.ClassDef) and not node.bases:
            yield from without_docstring(node.body)


def links(text):
    """Yield the relative paths that a page links to."""
    for target in re.findall(r'\]\(([^)\s]+)\)', text):
        if '://' not in target and not target.startswith('#'):
            yield target.partition('#')[0]


def add_tests(case, paths):
    """Add a test for each path, so that each is reported on its own."""
    for path in paths:
        place = path.relative_to(ROOT).with_suffix('')
        name = re.sub(r'\W+', '_', str(place)).strip('_')
        setattr(case, f'test_{name}', lambda self, path=path: self.check(path))


add_tests(TestLength, SOURCES)
add_tests(TestLinks, [path for path in TEXT_FILES if path.suffix == '.md'])
