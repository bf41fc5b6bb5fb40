"""Test that rows of the store are decoded or rejected with a reason."""

import unittest

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.model import RequestKind, TargetState
from cassialever.platform import records
from tests.fleet_helpers import CONFIGURATION, ROUTES, target_entry


def _configuration(**changes: object) -> bytes:
    return msgspec.json.encode({**CONFIGURATION, **changes})


class ConfigurationTest(unittest.TestCase):
    """The operators' configuration."""

    def test_fields_are_converted(self) -> None:
        decoded = records.decode_configuration(_configuration())
        assert not isinstance(decoded, Failure)
        self.assertEqual(decoded.version, 7)
        route = decoded.routes[0]
        self.assertEqual(route.kind, RequestKind.safe)
        self.assertEqual((route.time_limit, route.objective), (1.0, 0.5))
        self.assertTrue(decoded.service_by_name['registry'].is_keyed)
        self.assertFalse(decoded.service_by_name['issuance'].is_keyed)

    def test_split_route(self) -> None:
        split = {
            **ROUTES['r-lookup'],
            'upstream': None,
            'traffic_split': [
                {'upstream': 'registry', 'weight': 90},
                {'upstream': 'issuance', 'weight': 10},
            ],
        }
        decoded = records.decode_configuration(
            _configuration(routes={'r': split})
        )
        assert not isinstance(decoded, Failure)
        weights = [part.weight for part in decoded.routes[0].parts]
        self.assertEqual(weights, [90, 10])

    def test_deeply_nested_configuration_is_rejected(self) -> None:
        """The decoder raised RecursionError, which ended the daemon."""
        for depth in (1_000, 100_000):
            nested = b',"x":' + b'[' * depth + b']' * depth
            content = _configuration()[:-1] + nested + b'}'
            decoded = records.decode_configuration(content)
            self.assertIsInstance(decoded, Failure)

    def test_invalid_configurations_are_rejected(self) -> None:
        unknown_kind = {**ROUTES['r-lookup'], 'route_type': 'maybe'}
        no_service = {**ROUTES['r-lookup'], 'upstream': None}
        for content in (
            b'{',
            b'',
            _configuration(version='7'),
            _configuration(routes={'r': unknown_kind}),
            _configuration(routes={'r': no_service}),
            _configuration(limits=3),
        ):
            with self.subTest(content=content[:40]):
                decoded = records.decode_configuration(content)
                self.assertIsInstance(decoded, Failure)


class TargetTest(unittest.TestCase):
    """The entries of targets."""

    def test_fields_are_converted(self) -> None:
        entry = target_entry(cold_ms=1500)
        decoded = records.decode_target('t1', msgspec.json.encode(entry))
        assert not isinstance(decoded, Failure)
        self.assertEqual(decoded.service, 'registry')
        self.assertEqual(decoded.state, TargetState.ready)
        self.assertEqual((decoded.slots, decoded.cold_for), (6, 1.5))

    def test_host_of_a_test_system_replaces_that_of_the_entry(self) -> None:
        content = msgspec.json.encode(target_entry(address='10.1.64.9:8707'))
        decoded = records.decode_target('t1', content, '127.0.0.3')
        assert not isinstance(decoded, Failure)
        self.assertEqual(decoded.address, '127.0.0.3:8707')

    def test_deeply_nested_entry_is_rejected(self) -> None:
        """The decoder raised RecursionError, which ended each daemon."""
        for depth in (1_000, 100_000):
            nested = b',"x":' + b'[' * depth + b']' * depth
            content = msgspec.json.encode(target_entry())[:-1] + nested + b'}'
            decoded = records.decode_target('t1', content)
            self.assertIsInstance(decoded, Failure)

    def test_reason_does_not_repeat_a_long_text(self) -> None:
        """A megabyte of the entry went into a line of the log."""
        entry = target_entry(state='perhaps\n' * 100_000)
        decoded = records.decode_target('t1', msgspec.json.encode(entry))
        assert isinstance(decoded, Failure)
        self.assertLess(len(decoded.reason), 300)
        self.assertTrue(decoded.reason.isprintable())

    def test_malformed_entries_are_rejected(self) -> None:
        valid = target_entry()
        for entry in (
            {},
            {**valid, 'info': {}},
            {**valid, 'status': {'state': 'perhaps'}},
            {**valid, 'address': 'localhost'},
            {**valid, 'address': 7},
            {**valid, 'address': '10.0.0.1:0'},
            {**valid, 'address': '10.0.0.1:65536'},
            {**valid, 'address': '999.1.1.1:80'},
            {**valid, 'address': '10.0.0.\uff11:80'},
            {**valid, 'address': '10.0.0.1:8\uff10'},
            {**valid, 'born': 'today'},
        ):
            with self.subTest(entry=entry):
                content = msgspec.json.encode(entry)
                decoded = records.decode_target('t1', content)
                self.assertIsInstance(decoded, Failure)
        self.assertIsInstance(records.decode_target('t1', b'\xff'), Failure)
