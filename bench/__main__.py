"""Prints the four measures of the product and of the naive version.

Run as `python -m bench [SEEDS]`; `python -m bench policies` compares replica choice
and hedging alone.
"""

import sys

from bench import compare, policies

SEEDS = 3

if __name__ == "__main__":
    if sys.argv[1:] == ["policies"]:
        policies.main()
    else:
        compare.main(int(sys.argv[1]) if sys.argv[1:] else SEEDS)
