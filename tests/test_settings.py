"""Tests of cassialever.settings and of document parsing."""

import pathlib
import unittest

from cassialever.documents.document import Document, parse_document
from cassialever.documents.nodes import as_builtins
from cassialever.settings import Settings, load_settings

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'

FAULTY = """{
  // Faults, one of them a secret.
  "instance": {
    "id": "entry 1",
    "data_centre": "karaganda-1",
    "address": "host.example",
    "colour": "red",
  },
  "platform": {
    "table_url": "http://127.0.0.1:9100",
    "seeds": ["127.0.0.1"],
  },
  "security": {"fleet_key": "hunter2", "operator_credential": "x" },
  "stop": {"longest": "1000ms", "unready_for": 250000},
}
"""


class TestDocuments(unittest.TestCase):
    """Parsing of JSON with comments, and positions of values."""

    def test_values_and_positions(self) -> None:
        """Unquoted names and numbers in JSON5 notation are read and located."""
        text = '{a: [1, 0x10, -2.5e1], // c\n "b": {c: null, d: true}}'
        document = parse_document(text)
        assert isinstance(document, Document)
        self.assertEqual(
            as_builtins(document.root),
            {'a': [1, 16, -25.0], 'b': {'c': None, 'd': True}},
        )
        place = document.fault_at_path(('b', 'd'), '')
        self.assertEqual((place.line, place.column), (2, 20))
        place = document.fault_at_path(('a', 2, 'gone'), '')
        self.assertEqual((place.line, place.column), (1, 15))

    def test_syntax_errors(self) -> None:
        """Invalid text gives a fault at its position."""
        for text, line, column in (
            ('{"a": 1,\n "b" 2}', 2, 6),
            ('{"a": ', 1, 7),
            ('', 1, 1),
            ('{"a": 1} trailing', 1, 10),
            ('[' * 5000, 1, 1),
        ):
            with self.subTest(text=text[:20]):
                faults = parse_document(text)
                assert isinstance(faults, list)
                place = (faults[0].line, faults[0].column)
                self.assertEqual(place, (line, column))


class TestSettings(unittest.TestCase):
    """Loading of settings."""

    def test_examples(self) -> None:
        """Every example is valid."""
        for path in EXAMPLES.glob('*.settings.jsonc'):
            with self.subTest(path=path.name):
                settings = load_settings(path.read_text())
                self.assertIsInstance(settings, Settings)

    def test_every_fault_at_once(self) -> None:
        """All faults are reported with their positions and without secrets."""
        faults = load_settings(FAULTY)
        assert isinstance(faults, list)
        places = [(fault.line, fault.column) for fault in faults]
        self.assertEqual(
            places,
            [
                (4, 11),
                (6, 16),
                (7, 5),
                (11, 15),
                (13, 29),
                (13, 63),
                (14, 23),
                (14, 48),
            ],
        )
        sentences = ' '.join(fault.sentence for fault in faults)
        self.assertIn('a number of seconds, found a string', sentences)
        self.assertIn('Unknown field "colour"', sentences)
        self.assertNotIn('hunter2', sentences)

    def test_rules_across_fields(self) -> None:
        """A duplicate port and `unready_for` above `longest` are reported."""
        text = (EXAMPLES / 'qazaq-coldline.settings.jsonc').read_text()
        text = text.replace('"caller_port": 8080', '"caller_port": 8081')
        text = text.rstrip().removesuffix('}')
        faults = load_settings(f'{text}"stop": {{"unready_for": 31}}}}')
        assert isinstance(faults, list)
        self.assertEqual(len(faults), 2)
        self.assertIn('same port', faults[0].sentence)
        self.assertIn('longest', faults[1].sentence)
