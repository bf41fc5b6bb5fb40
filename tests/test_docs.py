"""Tests that the docs and the code agree, in both directions."""

import pathlib
import re
import unittest

from msgspec import inspect

from cassialever.catalogue.entries import Catalogue
from cassialever.cmdline import app
from cassialever.events import Event
from cassialever.settings import Settings
from cassialever.tool.reference import GENERATED_SECTIONS, replace_section

ROOT = pathlib.Path(__file__).parent.parent
DOCS = ROOT / 'docs'
LINK = re.compile(r'\]\(([^)#]+)(?:#[^)]*)?\)')


def documented_names(page: str) -> set[str]:
    """Return the names in the first column of a page's tables."""
    text = (DOCS / page).read_text()
    return set(re.findall(r'^\| `([^`]+)` \|', text, re.MULTILINE))


def field_names(prefix: str, expected: inspect.Type) -> set[str]:
    """Return the dotted names of all fields of a struct."""
    if isinstance(expected, inspect.Metadata):
        return field_names(prefix, expected.type)
    if isinstance(expected, inspect.VarTupleType):
        return field_names(prefix, expected.item_type)
    if not isinstance(expected, inspect.StructType):
        return {prefix}
    names = set()
    for field in expected.fields:
        dotted = (
            f'{prefix}.{field.encode_name}' if prefix else field.encode_name
        )
        names |= field_names(dotted, field.type)
    return names


class TestDocs(unittest.TestCase):
    """The pages under docs/."""

    def test_generated_sections(self) -> None:
        """The generated sections are up to date."""
        for (name, mark), write in GENERATED_SECTIONS.items():
            with self.subTest(page=name, mark=mark):
                page = (DOCS / name).read_text()
                self.assertIn(f'<!-- {mark}, from the code -->', page)
                self.assertTrue(
                    page == replace_section(page, mark, write()),
                    f'{name} is stale: run `make docs`',
                )

    def test_event_numbers_are_unique(self) -> None:
        """Event numbers are unique and within the overall range."""
        numbers = [event.number for event in Event]
        self.assertEqual(len(numbers), len(set(numbers)))
        self.assertTrue(all(100 < number < 1000 for number in numbers))

    def test_every_setting(self) -> None:
        """Exactly the existing settings are documented."""
        expected = field_names('', inspect.type_info(Settings))
        self.assertEqual(documented_names('operating/settings.md'), expected)

    def test_every_catalogue_field(self) -> None:
        """Exactly the existing fields of the catalogue are documented."""
        expected = field_names('', inspect.type_info(Catalogue))
        self.assertEqual(documented_names('operating/catalogue.md'), expected)

    def test_links_resolve(self) -> None:
        """Each link to another page of the project resolves."""
        pages = [*DOCS.rglob('*.md'), *ROOT.glob('*.md')]
        for page in pages:
            for link in LINK.findall(page.read_text()):
                if '://' in link:
                    continue
                with self.subTest(page=page.name, link=link):
                    self.assertTrue((page.parent / link).exists())

    def test_every_page_is_in_the_index(self) -> None:
        """The index links to every page."""
        index = (DOCS / 'index.md').read_text()
        for page in DOCS.rglob('*.md'):
            name = page.relative_to(DOCS).as_posix()
            if name == 'index.md':
                continue
            with self.subTest(page=name):
                self.assertIn(f'({name})', index)

    def test_commands_in_pages_exist(self) -> None:
        """Each `cassialever ...` command in the pages exists."""
        commands = {*app, *(f'target {command}' for command in app['target'])}
        pattern = re.compile(r'^ +(?:\S*/)?cassialever ([a-z-]+)', re.MULTILINE)
        for page in DOCS.rglob('*.md'):
            for name in pattern.findall(page.read_text()):
                with self.subTest(page=page.name, command=name):
                    self.assertIn(name, commands)
