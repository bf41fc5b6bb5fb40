"""Tests of cassialever.catalogue.check."""

import pathlib
import unittest

import msgspec

from cassialever.catalogue.check import load_catalogue
from cassialever.catalogue.entries import Catalogue, CatalogueIndex
from cassialever.types import RoutingClass
from tests.helpers import ISSUANCE, make_catalogue, make_target

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'

FAULTY = """{
  "data_centres": [
    {"name": "north", "owner": "Ops"},
    {"name": "north", "owner": "Ops"},
  ],
  "services": [
    {"name": "lookup", "owner": "Ops", "class": "keyed", "slices": 1,
     "repeatable_methods": ["GET", "FETCH"],
     "limits": {"default_timeout_ms": 5000, "longest_timeout_ms": 1000}},
    {"name": "empty", "owner": "Ops", "class": "any"},
  ],
  "targets": [
    {"name": "t1", "owner": "Ops", "service": "lookup", "data_centre": "north",
     "address": "127.0.0.1:1", "limits": {"slots": 4, "cold_slots": 5}},
    {"name": "t2", "owner": "Ops", "service": "lookups", "data_centre": "east",
     "address": "127.0.0.1:1", "limits": {"slots": 9, "connections": 8}},
    {"name": "t3", "owner": "Ops", "service": "lookup", "data_centre": "north",
     "address": "127.0.0.1:3"},
  ],
  "callers": [
    {"name": "default", "owner": "Ops", "limits": {"requests_at_once": 9999}},
  ],
}
"""


class TestCatalogueCheck(unittest.TestCase):
    """Validation of a catalogue before it is accepted."""

    def test_examples(self) -> None:
        """Both example deployments are valid and have the expected sizes."""
        sizes = {
            'qazaq-coldline': (3, [20, 8, 6, 6]),
            'tarifa-justa': (4, [16, 8, 8, 8]),
        }
        for name, (data_centres, targets) in sizes.items():
            with self.subTest(name=name):
                path = EXAMPLES / f'{name}.catalogue.jsonc'
                catalogue = load_catalogue(path.read_text())
                assert isinstance(catalogue, Catalogue)
                self.assertEqual(len(catalogue.data_centres), data_centres)
                by_service = CatalogueIndex(catalogue).targets_by_service
                counts = [len(group) for group in by_service.values()]
                self.assertEqual(counts, targets)
                first = catalogue.services[0]
                self.assertIs(first.routing, RoutingClass.keyed)
                self.assertNotIn('POST', first.repeatable_methods)

    def test_every_fault_at_once(self) -> None:
        """All faults are reported, each at its line with its reason."""
        faults = load_catalogue(FAULTY)
        assert isinstance(faults, list)
        actual = [(fault.line, fault.sentence) for fault in faults]
        expected = [
            (4, 'Duplicate name "north".'),
            (7, 'too few'),
            (8, '"FETCH" is not a method that is forwarded'),
            (9, '5000 ms exceeds "longest_timeout_ms"'),
            (10, 'has no target'),
            (14, 'cold slots are more'),
            (15, 'No service is named "lookups"'),
            (15, 'No data centre is named "east"'),
            (16, 'has the same address'),
            (16, '9 slots need as many connections'),
            (21, 'This limit has no effect'),
        ]
        self.assertEqual(len(actual), len(expected), actual)
        for (line, part), (actual_line, sentence) in zip(
            expected, actual, strict=True
        ):
            with self.subTest(part=part):
                self.assertEqual(line, actual_line)
                self.assertIn(part, sentence)

    def test_wrong_type_names_the_unit(self) -> None:
        """A duration given as a string is reported with the expected unit."""
        text = (EXAMPLES / 'tarifa-justa.catalogue.jsonc').read_text()
        text = text.replace(
            '"return_ramp_ms": 10000', '"return_ramp_ms": "10s"'
        )
        faults = load_catalogue(text)
        assert isinstance(faults, list)
        self.assertEqual(len(faults), 4)
        self.assertEqual(
            faults[0].sentence,
            'Expected a whole number of milliseconds, found a string.',
        )

    def test_plain_json_is_checked_the_same_way(self) -> None:
        """Plain JSON gives the same catalogue and faults as commented JSON."""
        catalogue = make_catalogue(
            make_target('registry-1'),
            make_target('i-1', ISSUANCE, '127.0.0.1:10'),
        )
        encoded = msgspec.json.encode(catalogue).decode()
        self.assertEqual(load_catalogue(encoded), catalogue)
        for old, new, part in (
            ('"keyed"', '"key"', 'Expected one of "keyed", "any"'),
            ('"name":"west"', '"name":"we st"', 'Expected a name'),
            ('"name":"i-1"', '"name":"registry-1"', 'Duplicate name'),
            ('"operations"', '"oper\\nations"', 'line breaks'),
            ('"operations"', '"\\ud800"', 'control characters'),
        ):
            with self.subTest(new=new):
                faults = load_catalogue(encoded.replace(old, new, 1))
                assert isinstance(faults, list)
                self.assertIn(part, faults[0].sentence)
                self.assertGreater(faults[0].column, 1)
