"""Run random faults for many seeds: `make prove SEED=1 RUNS=50 STEPS=120`."""

import argparse
import sys
import time

from tests.ownership_faults import STEPS, run_random_faults


def main() -> int:
    """Run consecutive seeds and print those that fail a check."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--steps', type=int, default=STEPS)
    parser.add_argument('--runs', type=int, default=50)
    options = parser.parse_args()
    started = time.monotonic()
    failed = 0
    for seed in range(options.seed, options.seed + options.runs):
        try:
            run_random_faults(seed, options.steps)
        except AssertionError as error:
            failed += 1
            sys.stdout.write(f'seed {seed}: {error}\n')
    took = time.monotonic() - started
    sys.stdout.write(
        f'{options.runs - failed} passed, {failed} failed, {took:.0f} s\n'
    )
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
