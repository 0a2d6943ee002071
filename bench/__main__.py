"""Runs the benchmarks in virtual time, and reads reports of the users' bench.

`python -m bench [SEEDS]` compares latency, coverage and extra load of the product with
those of the naive version. `python -m bench policies` compares replica choice and
hedging alone. `python -m bench losses` and `python -m bench pairs` print tables from
reports of the users' bench; see `bench.losses`.
"""

import sys

import fire

from bench import compare, losses, policies

SEED_COUNT = 3
REPORT_COMMANDS = {"losses": losses.print_losses, "pairs": losses.print_pairs}

if __name__ == "__main__":
    if sys.argv[1:] == ["policies"]:
        policies.main()
    elif sys.argv[1:2] and sys.argv[1] in REPORT_COMMANDS:
        try:
            fire.Fire(REPORT_COMMANDS, name="bench")
        except losses.ReportError as error:
            sys.exit(str(error))
    else:
        compare.main(int(sys.argv[1]) if sys.argv[1:] else SEED_COUNT)
