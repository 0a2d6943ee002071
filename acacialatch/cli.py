"""Command-line interface: serve, check, replay and version."""

import pathlib
import sys
import typing

import fire
import result
import trio

import acacialatch
from acacialatch import (
    configuration,
    daemon,
    model,
    outputs,
    records,
    replay,
    settings,
    tables,
)

EXIT_STATUS_INVALID = 1


class Commands:
    """Query tier over many shards."""

    def serve(self, settings: str) -> None:
        """Run an entry instance until a signal ends it.

        Parameters
        ----------
        settings : str
            Path of the settings file.
        """
        _serve(settings)

    def check(self, file: str, previous: str = "") -> None:
        """Check a settings file or a configuration text.

        Prints each problem with file, key, value and what is allowed. The exit status
        is 0 only if there is no problem.

        Parameters
        ----------
        file : str
            Path of the file.
        previous : str
            Path of the configuration text in force, to check also that the file may
            replace it.
        """
        _check(file, previous)

    def replay(self, file: str, answer: str = "") -> None:
        """Replay an explanation record and compare the decisions.

        The exit status is 0 only if the record is intact and the core makes the same
        decisions again.

        Parameters
        ----------
        file : str
            Path of a record, or of a log that contains records.
        answer : str
            Identifier of the answer; needed only for a log with several records.
        """
        _replay(file, answer)

    def version(self) -> None:
        """Print the version."""
        print(acacialatch.__version__)


def main() -> None:
    """Run the command line."""
    # fire shows help through a pager and starts processes for it (the pager, or tput to
    # get the terminal size).
    fire.core.Display = _write_help
    fire.Fire(Commands(), name="acacialatch")


def _write_help(lines: typing.Iterable[str], out: typing.TextIO) -> None:
    """Write help text without a pager; replaces `fire.core.Display`."""
    out.write("\n".join(lines) + "\n")


def _serve(path: str) -> None:
    parsed = settings.parse(_read_file(path), path)
    if isinstance(parsed, result.Err):
        _exit_with_problems(parsed.err_value)
    loaded = parsed.unwrap()
    try:
        trio.run(_run_daemon, loaded)
    except* OSError as group:
        sys.exit(f"daemon: {_find_first_error(group)}")


def _find_first_error(group: BaseExceptionGroup) -> BaseException:
    """Return the first error in nested groups; each nursery adds one level."""
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


async def _run_daemon(loaded: settings.Settings) -> None:
    with outputs.open_output(loaded) as output:
        await daemon.Daemon(loaded, output).run()


def _check(path: str, previous: str) -> None:
    text = _read_file(path)
    if settings.is_settings(text):
        parsed: result.Result = settings.parse(text, path)
        kind = "settings"
    else:
        parsed = configuration.parse(text, path)
        kind = "configuration"
    if isinstance(parsed, result.Err):
        _exit_with_problems(parsed.err_value)
    if previous:
        _check_successor(parsed.unwrap(), path, previous)
    print(f"{path}: {kind} is valid")


def _check_successor(checked: object, path: str, previous: str) -> None:
    if not isinstance(checked, model.Configuration):
        sys.exit(f"{path}: --previous applies only to a configuration, not to settings")
    previous_configuration = configuration.parse(_read_file(previous), previous)
    if isinstance(previous_configuration, result.Err):
        _exit_with_problems(previous_configuration.err_value)
    problems = configuration.check_successor(
        previous_configuration.unwrap(), checked, path
    )
    if problems:
        _exit_with_problems(problems)


def _replay(path: str, answer: str) -> None:
    data = _find_record(path, _read_file(path), answer)
    read = records.read(data)
    if isinstance(read, result.Err):
        problem = read.err_value
        sys.exit(f"{path}: line {problem.line}, {problem.field}: {problem.text}")
    comparison = replay.replay(read.unwrap())
    print("\n".join(comparison.lines))
    if not comparison.same:
        sys.exit(f"{path}: {_describe_difference(comparison)}")
    if not comparison.complete:
        sys.exit(
            f"{path}: the record is incomplete; the recorded decisions are the same"
        )
    print(f"{path}: the same decisions")


def _find_record(path: str, data: bytes, answer: str) -> bytes:
    """Return the only matching record in a log, or `data` if it is no log."""
    found = list(records.find_in_log(data, answer))
    if len(found) > 1:
        sys.exit(f"{path}: found {len(found)} records; select one with --answer")
    if not found and answer:
        sys.exit(f"{path}: no record of answer {answer}")
    return found[0] if found else data


def _describe_difference(comparison: replay.Comparison) -> str:
    difference = comparison.difference
    if difference is None:
        return "the decisions differ"
    return (
        f"step {difference.step} differs: recorded {difference.recorded}, "
        f"replayed {difference.replayed}"
    )


def _read_file(path: str) -> bytes:
    try:
        return pathlib.Path(path).read_bytes()
    except OSError as error:
        sys.exit(f"{path}: {error.strerror}")


def _exit_with_problems(problems: tuple[object, ...]) -> None:
    for problem in problems:
        text = problem.describe() if isinstance(problem, tables.Problem) else problem
        print(text, file=sys.stderr)
    sys.exit(EXIT_STATUS_INVALID)
