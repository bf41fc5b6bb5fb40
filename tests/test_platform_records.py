"""Test that rows of the store are decoded or rejected with a reason."""

import random
import unittest

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.model import RequestKind, TargetState
from cassialever.platform import records
from cassialever.policy.shares import WeightedSplit
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

    def test_configurations_out_of_range_are_rejected(self) -> None:
        """The one in force stays; numbers without bound came into force."""
        sound = _configuration()
        huge = b'9' * 400
        for field, values in (
            (b'"timeout_ms":1000', (b'-1', b'86400001', b'1e308', huge)),
            (b'"target_latency_ms":500', (b'-1', b'86400001', b'1e308')),
            (b'"priority":2', (b'-1', b'%d' % 2**63, huge)),
            (b'"attempts":2', (b'-1', b'1001', huge)),
            (b'"max_connections":120', (b'-1', b'1000001', huge)),
            (b'"warmup_s":3.0', (b'-1', b'86401', b'1e308', b'NaN')),
            (b'"warmup_per_s":12.0', (b'-1', b'1000001', b'1e308', b'1e999')),
            (b'"max_body_bytes":67108864', (b'-1', b'%d' % 2**63, huge)),
            (b'"hostname":"registry.example"', (b'"%s"' % (b'h' * 300),)),
        ):
            self.assertIn(field, sound)
            name = field.partition(b':')[0]
            for value in values:
                content = sound.replace(field, name + b':' + value, 1)
                with self.subTest(field=name, value=value[:20]):
                    decoded = records.decode_configuration(content)
                    self.assertIsInstance(decoded, Failure)

    def test_weights_out_of_range_are_rejected(self) -> None:
        for weights in ((b'-1', b'1'), (b'1e308', b'1e308'), (b'NaN',)):
            parts = b','.join(
                b'{"upstream":"registry","weight":%s}' % weight
                for weight in weights
            )
            content = _configuration().replace(
                b'"upstream":"registry"', b'"traffic_split":[%s]' % parts, 1
            )
            with self.subTest(weights=weights):
                decoded = records.decode_configuration(content)
                self.assertIsInstance(decoded, Failure)

    def test_configuration_at_the_limits_is_accepted(self) -> None:
        """Weights of 0 all round are: the first service gets the requests."""
        content = _configuration().replace(
            b'"upstream":"registry"',
            b'"traffic_split":[{"upstream":"registry","weight":0},'
            b'{"upstream":"issuance","weight":0}]',
            1,
        )
        for field, value in (
            (b'"timeout_ms":1000', b'86400000'),
            (b'"attempts":2', b'0'),
            (b'"max_connections":120', b'1000000'),
            (b'"warmup_per_s":12.0', b'0'),
        ):
            name = field.partition(b':')[0]
            content = content.replace(field, name + b':' + value, 1)
        decoded = records.decode_configuration(content)
        assert not isinstance(decoded, Failure)
        shares = WeightedSplit(random.Random(1))
        chosen = {shares.choose(decoded.routes[0]) for _ in range(20)}
        self.assertEqual(chosen, {'registry'})

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

    def test_entries_out_of_range_are_rejected(self) -> None:
        """They ended the leader, or cost its callers answers of 500."""
        sound = msgspec.json.encode(target_entry())
        for field, values in (
            (b'"capacity":6', (b'0', b'-6', b'10001', b'1e4', b'9' * 400)),
            (b'"born":1000', (b'-1', b'%d' % 2**63, b'1' * 400, b'1e30')),
            (
                b'"warmup_left_ms":0',
                (b'3600001', b'1e308', b'1e999', b'9' * 400, b'NaN'),
            ),
            (b'"zone":"astana-a"', (b'""', b'"a\\nb"', b'"%s"' % (b'z' * 201))),
            (b'"upstream":"registry"', (b'""', b'"\\u0000"', b'"\\u2028"')),
        ):
            self.assertIn(field, sound)
            name = field.partition(b':')[0]
            for value in values:
                content = sound.replace(field, name + b':' + value)
                with self.subTest(field=name, value=value[:20]):
                    decoded = records.decode_target('t1', content)
                    self.assertIsInstance(decoded, Failure)

    def test_entries_at_the_limits_are_accepted(self) -> None:
        for field, value in (
            (b'"capacity":6', b'10000'),
            (b'"born":1000', b'%d' % (2**63 - 1)),
            (b'"born":1000', b'0'),
            (b'"warmup_left_ms":0', b'3600000'),
            (b'"warmup_left_ms":0', b'-20'),
            (b'"zone":"astana-a"', b'"%s"' % (b'z' * 200)),
            (b'"zone":"astana-a"', '"\u0430 \u0431"'.encode()),
        ):
            name = field.partition(b':')[0]
            sound = msgspec.json.encode(target_entry())
            content = sound.replace(field, name + b':' + value)
            with self.subTest(field=name, value=value[:20]):
                decoded = records.decode_target('t1', content)
                self.assertNotIsInstance(decoded, Failure)

    def test_names_that_no_header_can_carry_are_rejected(self) -> None:
        """The name is sent to the target; such a request was answered 500."""
        content = msgspec.json.encode(target_entry())
        for name in ('', ' ', 'a b', 'a\r\nX: 1', 'a\0', '\xe9', 'q' * 201):
            with self.subTest(name=name[:10]):
                decoded = records.decode_target(name, content)
                self.assertIsInstance(decoded, Failure)
        for name in ('i-7f3a91c2', 'a/b:c', 'q' * 200):
            decoded = records.decode_target(name, content)
            self.assertNotIsInstance(decoded, Failure)

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
