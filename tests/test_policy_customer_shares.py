"""Test whose requests go first where room is short."""

import random
import unittest
from collections import Counter

from cassialever.policy.customer_shares import MAX_CUSTOMERS, CustomerShares

SERVICE = 'registry'


class CustomerSharesTest(unittest.TestCase):
    """Customers that compete for a daemon's room at one service."""

    def test_customer_that_sends_most_leaves_room_to_others(self) -> None:
        """One of ten sends fifty times as much as each of the others."""
        rng = random.Random(1)
        names = [f'c{number}' for number in range(10)]
        shares = CustomerShares()
        room = 12
        running: list[str] = []
        served: Counter[str] = Counter()
        asked: Counter[str] = Counter()
        for _ in range(4000):
            name = rng.choices(names, [50, *[1] * 9])[0]
            waiting = shares.of(SERVICE).get(name)
            # Those that find a long queue of their customer are refused.
            if waiting is None or waiting.waiting < 20:
                shares.add_waiting(SERVICE, name)
            asked[name] += 1
            if len(running) >= room:
                ended = running.pop(rng.randrange(len(running)))
                shares.remove_running(SERVICE, ended)
            queued = [
                one
                for one, share in shares.of(SERVICE).items()
                if share.waiting
            ]
            chosen = shares.first(SERVICE, queued, room)
            if chosen is None or rng.random() < 0.5:
                continue
            shares.remove_waiting(SERVICE, chosen)
            shares.add_running(SERVICE, chosen)
            running.append(chosen)
            served[chosen] += 1
        of_all = served.total() / asked.total()
        for name in names:
            self.assertGreater(served[name] / asked[name], of_all / 4, name)
        for name in names[1:]:
            self.assertGreater(served[name] / asked[name], 0.9, name)

    def test_shares_add_up(self) -> None:
        shares = CustomerShares()
        for name in ('a', 'a', 'b'):
            shares.add_waiting(SERVICE, name)
        shares.add_running(SERVICE, 'a')
        found = shares.of(SERVICE)
        self.assertEqual((found['a'].waiting, found['a'].running), (2, 1))
        self.assertEqual(found['a'].share, 0.75)
        self.assertEqual(shares.first(SERVICE, ['a', 'b'], 8), 'b')
        self.assertEqual(shares.first('other', ['b', 'a'], 8), 'a')

    def test_customer_below_a_quarter_of_its_share_is_owed_room(self) -> None:
        shares = CustomerShares()
        for _ in range(7):
            shares.add_running(SERVICE, 'a')
        shares.add_waiting(SERVICE, 'b')
        self.assertTrue(shares.is_owed(SERVICE, 'b', 8))
        self.assertFalse(shares.is_owed(SERVICE, 'a', 8))
        shares.add_running(SERVICE, 'b')
        self.assertFalse(shares.is_owed(SERVICE, 'b', 8))

    def test_customers_without_requests_are_forgotten(self) -> None:
        shares = CustomerShares()
        for number in range(2 * MAX_CUSTOMERS):
            shares.add_waiting(SERVICE, f'c{number}')
        self.assertLessEqual(len(shares.of(SERVICE)), MAX_CUSTOMERS + 1)
        for number in range(2 * MAX_CUSTOMERS):
            shares.remove_waiting(SERVICE, f'c{number}')
        self.assertEqual(shares.of(SERVICE), {})


if __name__ == '__main__':
    unittest.main()
