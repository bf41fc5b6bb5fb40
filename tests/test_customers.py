"""Test that callers are admitted by key, by the newest configuration."""

import asyncio
import unittest
from collections.abc import Mapping
from http import HTTPStatus
from typing import Any

import msgspec

from cassialever.errors import Failure
from cassialever.fleet.model import Configuration, RequestKind, StoreRow
from cassialever.fleet.view import FleetView
from cassialever.gateway.refusals import Refusal
from cassialever.gateway.routing import RoutedRequest, Router, route_request
from cassialever.gateway.sender import TargetRequest
from cassialever.platform import credentials, records
from cassialever.policy.freshness import Knowledge
from cassialever.types import RowVersion
from tests.fleet_helpers import CONFIGURATION, ROUTES, ManualClock

CUSTOMERS = {
    'north': {'api_keys': ['key-n1', 'key-n2'], 'priority': 0},
    'south': {'api_keys': ['key-s'], 'rate_per_s': 5, 'burst_size': 3},
}


def configuration(**changes: Any) -> bytes:
    return msgspec.json.encode(
        {**CONFIGURATION, 'tenants': CUSTOMERS, **changes}
    )


def decoded(**changes: Any) -> Configuration | Failure:
    return records.decode_configuration(configuration(**changes))


def view_of(**changes: Any) -> FleetView:
    view = FleetView(ManualClock())
    row = StoreRow('op', 'config', configuration(**changes), RowVersion(1))
    view.apply('op', [row], RowVersion(1))
    return view


def request(headers: Mapping[str, str], path: str = '/lookup/a') -> Any:
    return TargetRequest('r1', 'GET', path, headers, b'')


def routed(view: FleetView, headers: Mapping[str, str]) -> Any:
    return route_request(view, request(headers), 'registry.example', 0)


class DecodingTest(unittest.TestCase):
    """The customers in the operators' configuration."""

    def test_customers_are_found_by_the_hash_of_a_key(self) -> None:
        found = decoded()
        assert isinstance(found, Configuration)
        hashed = credentials.hash_credential('key-s')
        south = found.customer_by_credential[hashed]
        self.assertEqual((south.name, south.rank), ('south', None))
        self.assertEqual((south.rate, south.burst), (5, 3))
        self.assertNotIn('key-', repr(found))

    def test_faulty_customers_reject_the_configuration(self) -> None:
        for name, changed in (
            ('one key of two', {'east': {'api_keys': ['key-s']}}),
            ('an empty key', {'east': {'api_keys': ['']}}),
            ('a rate below 0', {'east': {'rate_per_s': -1}}),
            ('a burst below 0', {'east': {'burst_size': -1}}),
            ('no name', {'': {'api_keys': ['key-e']}}),
            ('a name for no header', {'a\nb': {'api_keys': ['key-e']}}),
        ):
            with self.subTest(name):
                found = decoded(tenants={**CUSTOMERS, **changed})
                assert isinstance(found, Failure)
                self.assertNotIn('key-', found.reason)
                self.assertIn('tenant', found.reason)

    def test_uploads_may_run_once(self) -> None:
        upload = {**ROUTES['r-lookup'], 'route_type': 'upload'}
        found = decoded(routes={'r': upload})
        assert isinstance(found, Configuration)
        self.assertIs(found.routes[0].kind, RequestKind.upload)
        self.assertFalse(found.routes[0].kind.is_idempotent)


class RouteTest(unittest.TestCase):
    """Requests that need a key."""

    def test_target_gets_the_customer_in_place_of_the_key(self) -> None:
        sent = {'Api-Key': 'key-n2', 'tenant': 'south', 'X-Other': 'kept'}
        found = routed(view_of(), sent)
        self.assertEqual(
            dict(found.request.headers),
            {'Tenant': 'north', 'X-Other': 'kept'},
        )
        self.assertEqual(found.precedence.rank, 0)

    def test_rank_of_the_route_holds_without_one_of_the_customer(self) -> None:
        found = routed(view_of(), {'Api-Key': 'key-s'})
        self.assertEqual(found.precedence.rank, 2)

    def test_unknown_keys_are_refused(self) -> None:
        for headers in (
            {},
            {'Api-Key': ''},
            {'Api-Key': 'key'},
            {'Api-Key': 'key-s,key-s'},
            {'Api-Key': 'key-\udcff'},
        ):
            with self.subTest(headers=headers):
                found = routed(view_of(), headers)
                assert isinstance(found, Refusal)
                self.assertEqual(found.status, HTTPStatus.UNAUTHORIZED)
                self.assertNotIn('key-', found.sentence)

    def test_anonymous_routes_need_no_key(self) -> None:
        route = {**ROUTES['r-lookup'], 'anonymous': True}
        view = view_of(routes={'r': route})
        for headers in ({}, {'Api-Key': 'key-s', 'Tenant': 'north'}):
            with self.subTest(headers=headers):
                found = routed(view, headers)
                self.assertEqual(dict(found.request.headers), {})

    def test_headers_are_untouched_without_customers(self) -> None:
        sent = {'Api-Key': 'a', 'Tenant': 'b'}
        found = routed(view_of(tenants={}), sent)
        self.assertEqual(dict(found.request.headers), sent)


class ChangeTest(unittest.IsolatedAsyncioTestCase):
    """Keys that come and go while requests wait."""

    async def test_key_is_checked_again_before_a_request_is_sent(self) -> None:
        view = view_of()
        router = Router(view, ManualClock())
        first = await router.find(
            request({'Api-Key': 'key-s'}), 'registry.example', 0
        )
        assert isinstance(first, RoutedRequest)
        self.assertFalse(router.has_changed(first))
        tenants = {'east': {'api_keys': ['key-s']}}
        content = configuration(version='r8', tenants=tenants)
        row = StoreRow('op', 'config', content, RowVersion(2))
        view.apply('op', [row], RowVersion(2))
        again = await router.find_again(first)
        assert isinstance(again, RoutedRequest)
        self.assertEqual(again.request.headers['Tenant'], 'east')
        content = configuration(version='r9', tenants={'east': {}})
        row = StoreRow('op', 'config', content, RowVersion(3))
        view.apply('op', [row], RowVersion(3))
        self.assertEqual(
            router.reason_to_withdraw(again), 'the route has changed'
        )
        refused = await router.find_again(again)
        assert isinstance(refused, Refusal)
        self.assertEqual(refused.cause, 'unknown_key')

    async def test_key_may_be_in_a_newer_configuration(self) -> None:
        """A daemon that may be behind refuses for now, not for good."""
        router = Router(view_of(), ManualClock())
        router.knowledge = lambda: Knowledge(lacks_configuration=True)
        waiting = asyncio.ensure_future(
            router.find(request({'Api-Key': 'new'}), 'registry.example', 0)
        )
        await asyncio.sleep(0.05)
        self.assertFalse(waiting.done())
        waiting.cancel()
