"""Runs the benchmarks in virtual time.

`python -m bench [SEEDS]` compares latency, coverage and extra load of the product with
those of the naive version. `python -m bench policies` compares replica choice and
hedging alone.
"""

import sys

from bench import compare, policies

SEED_COUNT = 3

if __name__ == "__main__":
    if sys.argv[1:] == ["policies"]:
        policies.main()
    else:
        compare.main(int(sys.argv[1]) if sys.argv[1:] else SEED_COUNT)
