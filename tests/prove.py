"""Run random faults for as long as is asked: `make prove SEED=1 STEPS=50`."""

import argparse
import sys
import time

import hypothesis
from hypothesis.stateful import run_state_machine_as_test

from tests.ownership_machine import OwnershipMachine


def main() -> int:
    """Prove for a seed; print it again with the trace on failure."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=50)
    parser.add_argument('--runs', type=int, default=50)
    options = parser.parse_args()
    started = time.monotonic()

    class Machine(OwnershipMachine):
        """The machine under this seed."""

    hypothesis.seed(options.seed)(Machine)
    words = f'seed {options.seed}, {options.runs} runs x {options.steps}'
    try:
        run_state_machine_as_test(
            Machine,
            settings=hypothesis.settings(
                database=None,
                deadline=None,
                max_examples=options.runs,
                stateful_step_count=options.steps,
                suppress_health_check=list(hypothesis.HealthCheck),
                print_blob=False,
            ),
        )
    except BaseException:
        print(f'FAILED: {words} steps', flush=True)
        raise
    took = time.monotonic() - started
    print(f'held: {words} steps, {took:.0f} s')
    return 0


if __name__ == '__main__':
    sys.exit(main())
