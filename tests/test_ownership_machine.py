"""A short run of random faults; `make prove` runs longer ones."""

import unittest

from hypothesis import HealthCheck, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.ownership_machine import OwnershipMachine


class TestOwnershipMachine(unittest.TestCase):
    """Random faults break no promise."""

    def test_random_faults(self) -> None:
        """The same short runs each time."""
        run_state_machine_as_test(
            OwnershipMachine,
            settings=settings(
                derandomize=True,
                database=None,
                deadline=None,
                max_examples=12,
                stateful_step_count=20,
                suppress_health_check=list(HealthCheck),
            ),
        )
