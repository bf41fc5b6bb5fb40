"""The newest versions of tables that other daemons claim to know."""

from collections.abc import Mapping
from typing import Final

import msgspec

from cassialever.fleet.row_replica import RowReplica
from cassialever.types import RowVersion, Seconds

#: Claims kept for each table; of more, the newest one replaces the last.
MAX_CLAIMS: Final = 16
#: Daemons whose claims are kept.
MAX_CLAIMANTS: Final = 1000
#: A daemon that was last heard this long before others is not asked.
MAX_CLAIMANT_SILENCE: Final[Seconds] = 3.0
#: How long a daemon's claims are ignored after one that the store denied.
REJECTION_TIME: Final[Seconds] = 10.0


class _Claim(msgspec.Struct, frozen=True):
    """A version that this daemon lacked when it heard of it."""

    version: RowVersion
    heard_at: Seconds


class TableClaims:
    """What other daemons say of versions that this daemon lacks.

    They are not authenticated, so that a claim only leads to asking for its
    rows.
    """

    def __init__(self, rows: RowReplica) -> None:
        """Compare claims with the versions of a replica."""
        self._rows = rows
        self._claims_by_table: dict[str, list[_Claim]] = {}
        self._newest_by_peer: dict[str, Mapping[str, RowVersion]] = {}
        self._heard_at_by_peer: dict[str, Seconds] = {}
        self._ignored_until_by_peer: dict[str, Seconds] = {}

    def note(
        self, peer: str, newest_by_table: Mapping[str, RowVersion], now: Seconds
    ) -> None:
        """Note the newest versions that another daemon knows."""
        if peer not in self._newest_by_peer:
            if len(self._newest_by_peer) >= MAX_CLAIMANTS:
                self._newest_by_peer.clear()
                self._heard_at_by_peer.clear()
                self._ignored_until_by_peer.clear()
        if now < self._ignored_until_by_peer.get(peer, 0):
            return
        self._ignored_until_by_peer.pop(peer, None)
        self._newest_by_peer[peer] = newest_by_table
        self._heard_at_by_peer[peer] = now
        for table, version in newest_by_table.items():
            if self._lacks(table, version):
                self._add(table, _Claim(version, now))

    def behind(self) -> dict[str, RowVersion]:
        """Return the newest version claimed of each table that lacks it."""
        self._drop_met()
        return {
            table: claims[-1].version
            for table in self._claims_by_table
            if (claims := self._unmet(table))
        }

    def behind_since(self) -> Seconds | None:
        """Return when the oldest version that is lacking was heard of."""
        self._drop_met()
        unmet = map(self._unmet, self._claims_by_table)
        return min(
            (claims[0].heard_at for claims in unmet if claims), default=None
        )

    def claimants(self, behind: Mapping[str, RowVersion]) -> list[str]:
        """Return the daemons that know all of the versions that are lacking.

        Those that are silent while others are heard may have ended.
        """
        heard_since = (
            max(self._heard_at_by_peer.values(), default=0)
            - MAX_CLAIMANT_SILENCE
        )
        return [
            peer
            for peer, newest_by_table in self._newest_by_peer.items()
            if self._heard_at_by_peer[peer] >= heard_since
            and all(
                newest_by_table.get(table, 0) >= version
                for table, version in behind.items()
            )
        ]

    def is_known(self, table: str, version: RowVersion) -> bool:
        """Return whether another daemon knows a version, or a later one."""
        return any(
            newest_by_table.get(table, 0) >= version
            for newest_by_table in self._newest_by_peer.values()
        )

    def reject(self, table: str, version: RowVersion, now: Seconds) -> None:
        """Ignore those who claim a version of a table that does not exist.

        Claims of earlier versions may be of changes since it was looked for.
        """
        for peer, newest_by_table in list(self._newest_by_peer.items()):
            if newest_by_table.get(table, 0) >= version:
                self._newest_by_peer.pop(peer)
                self._ignored_until_by_peer[peer] = now + REJECTION_TIME
        self._claims_by_table[table] = [
            claim for claim in self._unmet(table) if claim.version < version
        ]

    def _lacks(self, table: str, version: RowVersion) -> bool:
        known = self._rows.version_by_table.get(table)
        return known is not None and version > known

    def _add(self, table: str, claim: _Claim) -> None:
        claims = self._unmet(table)
        if claims and claim.version <= claims[-1].version:
            return
        if len(claims) == MAX_CLAIMS:
            claims.pop()
        claims.append(claim)
        self._claims_by_table[table] = claims

    def _drop_met(self) -> None:
        """Forget the claims of tables that lack nothing."""
        for table in tuple(self._claims_by_table):
            if not self._unmet(table):
                self._claims_by_table.pop(table)

    def _unmet(self, table: str) -> list[_Claim]:
        """Return a table's claims of versions that are still lacking."""
        known = self._rows.version_by_table.get(table, 0)
        return [
            claim
            for claim in self._claims_by_table.get(table, ())
            if claim.version > known
        ]
