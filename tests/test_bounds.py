"""Sums of the waits by design that each time bound of the platform contains."""

import pathlib
import unittest
from collections.abc import Mapping

import msgspec

from cassialever.fleet import asking, catching_up, confirming, connecting
from cassialever.fleet import direct, following
from cassialever.fleet import datagrams, gossip
from cassialever.fleet import following_leader
from cassialever.fleet import lease, lease_writes, membership, readers, relay
from cassialever.gateway import application, connections, stop_limit
from cassialever.keys import assigner, assignments
from cassialever.platform import store, targets
from cassialever.policy import budget, freshness, permits

PAGE = pathlib.Path(__file__).parent.parent / 'docs/design/bounds.md'

#: Time until a change is in force, from its acknowledgement: `config_apply_ms`
#: and `drain_ms`, and the time that the platform allows to carry it out.
CHANGE_LIMIT = 2.0 + 0.5
GRACE = 6.0
#: Slowest answers of a store that is slow, and usual ones.
SLOW_ANSWER = 0.4
ANSWER = 0.004
#: A configuration of 1,280 routes as the store sends it (base64 of 0.25 MB),
#: and compressed as a daemon sends it.
STORE_BYTES = 250_000 * 4 / 3
RELAYED_BYTES = 35_000
#: Bytes a second of the slowest link, and of the slowest that usually leads.
SLOWEST_LINK = 5e6 / 8
LEADER_LINK = 100e6 / 8
FOLLOWERS = 58
#: Share of the slowest link and the smallest core that other work leaves.
LEFT_BESIDE_LOAD = 0.4
#: Time from the write of a request to its arrival at a target.
WAY = 0.1
#: Processor time to apply a configuration, and the smallest share of a core.
APPLY_TIME = 0.007
SMALLEST_CORE = 0.43
COLD_RATE = 12.0

READ = {
    'answer of the store': ANSWER,
    'transfer from the store, 5 Mbit/s': STORE_BYTES / SLOWEST_LINK,
    'apply, 0.43 core': APPLY_TIME / SMALLEST_CORE,
}
RELAY = {
    'leader sends to 58, 100 Mbit/s': FOLLOWERS * RELAYED_BYTES / LEADER_LINK,
    'transfer to a follower, 5 Mbit/s': RELAYED_BYTES / SLOWEST_LINK,
    'apply, 0.43 core': APPLY_TIME / SMALLEST_CORE,
}
#: Until all daemons have heard of a change that their leader does not relay.
HEARD = {
    'MAX_TABLES_AGE': following_leader.MAX_TABLES_AGE,
    'WATCH_INTERVAL': membership.WATCH_INTERVAL,
    'answer of the store': ANSWER,
    'transfer from the store, 100 Mbit/s': STORE_BYTES / LEADER_LINK,
    'MAX_REPORT_DELAY': catching_up.MAX_REPORT_DELAY,
    'reports to 58': FOLLOWERS / gossip.MAX_URGENT_DATAGRAMS_PER_SECOND,
    'READ_INTERVAL': datagrams.READ_INTERVAL,
}
#: From the beginning of a call that the store does not answer to the next one;
#: a silent call ends within it.
LONGEST_RETRY = max(
    2 * following.MAX_RETRY_DELAY,
    store.CALL_TIMEOUT + 2 * following.INITIAL_RETRY_DELAY,
)
REASSIGN = {
    'TICK_INTERVAL': assigner.TICK_INTERVAL,
    'answer of the store': ANSWER,
}
#: Times without a sign of life of an owner before a grant to it: up to that of
#: a renewal that is late by as much as a call may take.
SILENCES = tuple(
    step / 100
    for step in range(
        round(
            100 * (assignments.GRANT_RENEWAL_INTERVAL + targets.GRANT_TIMEOUT)
        )
    )
)


def silent_hold_time(silence: float) -> float:
    """Return the time from a sign of life to the end of a grant sent later."""
    hold_time = assignments.max_hold_time(assignments.grant_duration(silence))
    arrival = targets.GRANT_TIMEOUT + assignments.MAX_TRANSIT_TIME
    return silence + arrival + hold_time


class BoundSum(msgspec.Struct, frozen=True):
    """A bound and the parts that are spent of it, by name."""

    limit: float
    parts: Mapping[str, float]

    @property
    def total(self) -> float:
        """Return the sum of the parts."""
        return sum(self.parts.values())


SUMS = {
    'change, calm': BoundSum(
        CHANGE_LIMIT,
        {
            'slow answer': SLOW_ANSWER,
            'BATCH_DELAY': following.BATCH_DELAY,
            **RELAY,
        },
    ),
    'change, leader killed': BoundSum(
        CHANGE_LIMIT,
        {'FALLBACK_DELAY': membership.FALLBACK_DELAY, **READ},
    ),
    'change, leader silent': BoundSum(
        CHANGE_LIMIT,
        {
            'LEADER_TIMEOUT': following_leader.LEADER_TIMEOUT,
            'FALLBACK_DELAY': membership.FALLBACK_DELAY,
            **READ,
        },
    ),
    'change, leader cut off from the store': BoundSum(
        CHANGE_LIMIT,
        {
            'MAX_STORE_AGE': following_leader.MAX_STORE_AGE,
            'WATCH_INTERVAL': membership.WATCH_INTERVAL,
            **READ,
        },
    ),
    'change, tables of the leader old': BoundSum(
        CHANGE_LIMIT,
        {
            'MAX_TABLES_AGE': following_leader.MAX_TABLES_AGE,
            'WATCH_INTERVAL': membership.WATCH_INTERVAL,
            **READ,
        },
    ),
    'change, heard of from another daemon': BoundSum(
        CHANGE_LIMIT,
        {
            **HEARD,
            'copy of a daemon, 5 Mbit/s': RELAYED_BYTES / SLOWEST_LINK,
            'apply, 0.43 core': APPLY_TIME / SMALLEST_CORE,
        },
    ),
    'change, heard of beside load': BoundSum(
        CHANGE_LIMIT,
        {
            **HEARD,
            # The daemon's own read of the store takes half of what is left.
            'copy of a daemon, 1 Mbit/s': RELAYED_BYTES
            / (SLOWEST_LINK * LEFT_BESIDE_LOAD / 2),
            'apply, 0.17 core': APPLY_TIME / (SMALLEST_CORE * LEFT_BESIDE_LOAD),
        },
    ),
    'request by tables known as outdated': BoundSum(
        CHANGE_LIMIT,
        {
            'MAX_UNCONFIRMED_AGE': freshness.MAX_UNCONFIRMED_AGE,
            'way to a target': WAY,
        },
    ),
    'daemons hear of a change before they may not act': BoundSum(
        freshness.MAX_UNCONFIRMED_AGE, HEARD
    ),
    'request by tables not confirmed, first': BoundSum(
        CHANGE_LIMIT,
        {
            'MAX_UNCONFIRMED_AGE': freshness.MAX_UNCONFIRMED_AGE,
            'MAX_CONFIRMATION_WAIT': freshness.MAX_CONFIRMATION_WAIT,
            'way to a target': WAY,
        },
    ),
    'age of a lease that is read back': BoundSum(
        following_leader.MAX_STORE_AGE,
        {
            '2 READ_BACK_DELAY': 2 * lease_writes.READ_BACK_DELAY,
            'answers of the store': 2 * ANSWER,
        },
    ),
    'copy that a request waits for': BoundSum(
        freshness.MAX_LOOK_TIME,
        {
            'NEXT_DELAY': asking.NEXT_DELAY,
            'copy of a daemon, 5 Mbit/s': RELAYED_BYTES / SLOWEST_LINK,
            'apply, 0.43 core': APPLY_TIME / SMALLEST_CORE,
        },
    ),
    'change, leader with old tables lost': BoundSum(
        CHANGE_LIMIT,
        {
            'MAX_TABLES_AGE': following_leader.MAX_TABLES_AGE,
            'fallback_delay': membership.fallback_delay(
                following_leader.MAX_TABLES_AGE
            ),
            **READ,
        },
    ),
    'change, each daemon follows the store': BoundSum(
        CHANGE_LIMIT,
        {
            'DIRECT_BATCH_DELAY': direct.DIRECT_BATCH_DELAY,
            'slow answer': SLOW_ANSWER,
            **READ,
        },
    ),
    'age of tables that are relayed in time': BoundSum(
        following_leader.MAX_TABLES_AGE,
        {
            'LONG_POLL_WAIT': store.LONG_POLL_WAIT,
            'BATCH_DELAY': following.BATCH_DELAY,
            'answer of the store': ANSWER,
            'HEARTBEAT_INTERVAL': relay.HEARTBEAT_INTERVAL,
        },
    ),
    'change, answer to the leader lost': BoundSum(
        CHANGE_LIMIT,
        {
            'LONG_POLL_WAIT': store.LONG_POLL_WAIT,
            'POLL_ANSWER_TIMEOUT': store.POLL_ANSWER_TIMEOUT,
            '2 INITIAL_RETRY_DELAY': 2 * following.INITIAL_RETRY_DELAY,
            'answer of the store': ANSWER,
            **RELAY,
        },
    ),
    'change, calls of each daemon silent': BoundSum(
        CHANGE_LIMIT,
        {
            'LONG_POLL_WAIT': store.LONG_POLL_WAIT,
            'POLL_ANSWER_TIMEOUT': store.POLL_ANSWER_TIMEOUT,
            '2 INITIAL_RETRY_DELAY': 2 * following.INITIAL_RETRY_DELAY,
            **READ,
        },
    ),
    'change, tables read whole': BoundSum(
        CHANGE_LIMIT,
        {
            # A silent call for changes is within it.
            '2 WHOLE_READ_DELAY': max(
                2 * following.WHOLE_READ_DELAY,
                store.POLL_ANSWER_TIMEOUT + 2 * following.INITIAL_RETRY_DELAY,
            ),
            **READ,
        },
    ),
    'change, through another daemon': BoundSum(
        CHANGE_LIMIT,
        {
            'DIRECT_BATCH_DELAY': direct.DIRECT_BATCH_DELAY,
            'slow answer': SLOW_ANSWER,
            '2 LOOK_INTERVAL': 2 * confirming.LOOK_INTERVAL,
            '2 NEXT_DELAY': 2 * asking.NEXT_DELAY,
            'copy of a daemon, 5 Mbit/s': RELAYED_BYTES / SLOWEST_LINK,
            'apply, 0.43 core': APPLY_TIME / SMALLEST_CORE,
        },
    ),
    'change, through another daemon, first': BoundSum(
        CHANGE_LIMIT,
        {
            'LOOK_AGE': confirming.LOOK_AGE,
            'CHECK_INTERVAL': confirming.CHECK_INTERVAL,
            '2 NEXT_DELAY': 2 * asking.NEXT_DELAY,
            'copy of a daemon, 5 Mbit/s': RELAYED_BYTES / SLOWEST_LINK,
            'apply, 0.43 core': APPLY_TIME / SMALLEST_CORE,
        },
    ),
    'entries, after the store is back': BoundSum(
        2.0,
        {
            '2 MAX_RETRY_DELAY': LONGEST_RETRY,
            'answer of the store': ANSWER,
            **RELAY,
        },
    ),
    'tables of each daemon, after the store is back': BoundSum(
        2.0, {'2 MAX_RETRY_DELAY': LONGEST_RETRY, **READ}
    ),
    'age of tables while none leads': BoundSum(
        freshness.MAX_UNCONFIRMED_AGE,
        {
            'LONG_POLL_WAIT': store.LONG_POLL_WAIT,
            'DIRECT_BATCH_DELAY': direct.DIRECT_BATCH_DELAY,
            'answers of the store': 2 * ANSWER,
        },
    ),
    'age of tables after the loss of a leader': BoundSum(
        freshness.MAX_UNCONFIRMED_AGE,
        {
            'MAX_TABLES_AGE': following_leader.MAX_TABLES_AGE,
            'WATCH_INTERVAL': membership.WATCH_INTERVAL,
            'answer of the store': ANSWER,
        },
    ),
    'age of tables of a daemon that others spare': BoundSum(
        freshness.MAX_UNCONFIRMED_AGE,
        {
            'READ_AGE': readers.READ_AGE,
            'CHECK_INTERVAL': direct.CHECK_INTERVAL,
            'answer of the store': ANSWER,
        },
    ),
    'grace': BoundSum(
        GRACE,
        {
            'ACCEPTING_SHARE': application.ACCEPTING_SHARE * GRACE,
            'answers': (1 - application.ACCEPTING_SHARE) * GRACE
            - application.CLOSE_RESERVE,
            'LATE_ANSWERS_TIME': connections.LATE_ANSWERS_TIME,
            'CANCEL_TIMEOUT': connections.CANCEL_TIMEOUT,
        },
    ),
    'grace, leader that resigns': BoundSum(
        GRACE,
        {
            'RESIGN_TIMEOUT': membership.RESIGN_TIMEOUT,
            'TIMEOUT_ANSWER_RESERVE': stop_limit.TIMEOUT_ANSWER_RESERVE,
            'CLOSE_RESERVE': application.CLOSE_RESERVE,
        },
    ),
    'keys, owner that refuses': BoundSum(
        3.0, {'MAX_HOLD_TIME': assignments.MAX_HOLD_TIME, **REASSIGN}
    ),
    'keys, owner that is silent': BoundSum(
        3.0,
        {
            'MAX_GRANT_DURATION': max(map(silent_hold_time, SILENCES)),
            **REASSIGN,
        },
    ),
    'permits of a cold target, requests in 1 s': BoundSum(
        1.5 * COLD_RATE + 5,
        {
            'permits that start': COLD_RATE + 1,
            'PERMIT_LIFETIME': permits.PERMIT_LIFETIME * COLD_RATE,
            'MAX_SENDING_DELAY': permits.MAX_SENDING_DELAY * COLD_RATE,
        },
    ),
    'permits of a limited target, requests in 4 s': BoundSum(
        4 * 1.5 * COLD_RATE + 5,
        {
            'permits that start': 4 * COLD_RATE + 1,
            'PERMIT_LIFETIME': permits.PERMIT_LIFETIME * COLD_RATE,
            'MAX_SENDING_DELAY': permits.MAX_SENDING_DELAY * COLD_RATE,
            'OUTDATED_LIST_SHARE': 4 * permits.OUTDATED_LIST_SHARE * COLD_RATE
            + 1,
            'clocks 2% fast': 0.12 * COLD_RATE,
        },
    ),
    'retries, share of the budget': BoundSum(
        1.0,
        {
            'SAFETY_FACTOR': budget.SAFETY_FACTOR,
            'a bucket of WINDOW_BUCKETS': budget.SAFETY_FACTOR
            / budget.WINDOW_BUCKETS,
        },
    ),
}


class BoundsTest(unittest.TestCase):
    """Each sum stays within its bound."""

    def check(self, name: str) -> None:
        """Fail if the waits of a sum exceed its bound."""
        added = SUMS[name]
        self.assertLessEqual(added.total, added.limit, added.parts)

    def test_calm_change(self) -> None:
        self.check('change, calm')

    def test_change_beside_a_killed_leader(self) -> None:
        self.check('change, leader killed')

    def test_change_beside_a_silent_leader(self) -> None:
        self.check('change, leader silent')

    def test_change_beside_a_leader_without_the_store(self) -> None:
        self.check('change, leader cut off from the store')

    def test_change_beside_a_leader_with_old_tables(self) -> None:
        self.check('change, tables of the leader old')

    def test_change_that_another_daemon_knows(self) -> None:
        self.check('change, heard of from another daemon')
        self.check('change, heard of beside load')

    def test_request_by_old_tables(self) -> None:
        self.check('request by tables known as outdated')
        self.check('daemons hear of a change before they may not act')
        self.check('request by tables not confirmed, first')

    def test_change_beside_the_loss_of_a_leader_with_old_tables(self) -> None:
        self.check('change, leader with old tables lost')

    def test_change_while_each_daemon_follows_the_store(self) -> None:
        self.check('change, each daemon follows the store')

    def test_age_of_a_leader_in_time(self) -> None:
        self.check('age of tables that are relayed in time')

    def test_change_whose_answer_to_the_leader_is_lost(self) -> None:
        self.check('change, answer to the leader lost')

    def test_change_beside_calls_that_fail(self) -> None:
        self.check('change, calls of each daemon silent')
        self.check('change, tables read whole')

    def test_change_through_another_daemon(self) -> None:
        self.check('change, through another daemon')
        self.check('change, through another daemon, first')
        self.check('copy that a request waits for')

    def test_age_of_a_lease_that_is_read_back(self) -> None:
        self.check('age of a lease that is read back')

    def test_entries_after_the_store_is_back(self) -> None:
        self.check('entries, after the store is back')
        self.check('tables of each daemon, after the store is back')

    def test_age_without_a_leader(self) -> None:
        self.check('age of tables while none leads')
        self.check('age of tables after the loss of a leader')

    def test_grace(self) -> None:
        self.check('grace')
        self.check('grace, leader that resigns')

    def test_keys_of_an_owner_that_refuses(self) -> None:
        self.check('keys, owner that refuses')

    def test_keys_of_an_owner_that_is_silent(self) -> None:
        self.check('keys, owner that is silent')

    def test_permits(self) -> None:
        self.check('permits of a cold target, requests in 1 s')
        self.check('permits of a limited target, requests in 4 s')

    def test_retries(self) -> None:
        self.check('retries, share of the budget')

    def test_waits_that_contain_each_other(self) -> None:
        """A lease is stale before its holder counts as cut off."""
        self.assertLess(lease.STALE_AFTER, membership.CUT_OFF_TIMEOUT)
        self.assertLess(
            3 * relay.HEARTBEAT_INTERVAL, following_leader.LEADER_TIMEOUT
        )
        self.assertLess(connecting.CONNECT_TIMEOUT, membership.FALLBACK_DELAY)

    def test_page_has_each_sum(self) -> None:
        """The figures of the page are those of the constants."""
        page = PAGE.read_text()
        for name, added in SUMS.items():
            left = added.limit - added.total
            row = (
                f'| {name} | {added.limit:g} | {added.total:.2f} | {left:.2f} |'
            )
            with self.subTest(row=row):
                self.assertIn(row, page)


if __name__ == '__main__':
    unittest.main()
