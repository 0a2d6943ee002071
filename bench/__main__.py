"""Runs the benchmarks in virtual time, and reads reports of the users' bench.

`python -m bench [SEEDS]` compares latency, coverage and extra load of the product with
those of the naive version. `python -m bench policies` compares replica choice and
hedging alone. `python -m bench losses`, `pairs` and `plot` read reports of the
users' bench; see `bench.losses`. `python -m bench ablate` switches a
mechanism off in a scratch copy; see `bench.ablation`.
"""

import sys

import fire

from bench import ablation, compare, losses, policies

SEED_COUNT = 3
COMMANDS = {
    "losses": losses.print_losses,
    "pairs": losses.print_pairs,
    "plot": losses.plot_windows,
    "ablate": ablation.make_copy,
}

if __name__ == "__main__":
    if sys.argv[1:] == ["policies"]:
        policies.main()
    elif sys.argv[1:2] and sys.argv[1] in COMMANDS:
        try:
            fire.Fire(COMMANDS, name="bench")
        except (losses.ReportError, ablation.AblationError) as error:
            sys.exit(str(error))
    else:
        compare.main(int(sys.argv[1]) if sys.argv[1:] else SEED_COUNT)
