"""Runs the command line as `python -m acacialatch`."""

from acacialatch import cli

if __name__ == "__main__":
    cli.main()
