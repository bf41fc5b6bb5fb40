"""Test that shares of slots bind only where the settings say so."""

import random
import unittest

import msgspec

from cassialever.clock import SystemClock
from cassialever.fleet.view import FleetView
from cassialever.gateway.reachability import Reachability
from cassialever.gateway.settings import GatewaySettings
from cassialever.policy.loads import LoadTracker
from cassialever.policy.slot_shares import SlotShares
from tests.fleet_helpers import make_settings


class _Peers:
    def complete_peers(self) -> dict[str, str]:
        return {f'edge-{number}': '127.0.0.1:9' for number in range(90)}

    def has_current_peers(self) -> bool:
        return True


def shares_by(settings: GatewaySettings) -> SlotShares:
    """Return the shares of a daemon that has met contention."""
    clock = SystemClock()
    loads = LoadTracker()
    reachability = Reachability(
        settings, FleetView(clock), loads, clock, random.Random(1)
    )
    shares = SlotShares(random.Random(1))
    reachability.share_places(shares, _Peers(), random.Random(1))
    shares.daemon_count = 90
    shares.staleness.is_stale = lambda service: True
    shares.contention.record_sign('registry', 9, 0)
    return shares


class ShareSettingsTest(unittest.TestCase):
    """A service of a large fleet that is contended."""

    def test_shares_bind_only_if_they_are_on(self) -> None:
        settings = make_settings('127.0.0.1:9', (0, 0, 0))
        enabled = msgspec.structs.replace(settings, share_slots=True)
        self.assertFalse(settings.share_slots)
        self.assertFalse(shares_by(settings).is_contended('registry', 1))
        self.assertTrue(shares_by(enabled).is_contended('registry', 1))
