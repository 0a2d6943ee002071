"""Tables of the losses of a day, from reports and logs of the users' bench.

`python -m bench losses REPORT... [--site FILE] [--log FILE]` prints for each report the
loss by kind of request and reason, by zone, by time window and by price. The log is the
output of the same run with `--log all`; it adds the decisions of the product.
`python -m bench pairs BEFORE AFTER` compares two folders of reports with equal names.
`python -m bench plot BEFORE AFTER FILE` draws the credit of two reports over the day.
"""

import collections
import json
import pathlib
import statistics
import tomllib
import typing

import msgspec
import pygal

WINDOWS_SHOWN = 6
"""Number of time windows with the largest loss that are shown."""

LOSS_SHOWN_MIN = 0.0005
"""Smallest price that is shown, as a share of the worth."""

DECISIONS_SHOWN = 12
"""Number of the most frequent decisions from the log that are shown."""


class ReportError(Exception):
    """A report, log or site file cannot be used; names the file and the field."""


class Group(msgspec.Struct):
    """Requests of one kind, zone or time window, as a report counts them.

    Attributes
    ----------
    name : str
        Kind of request, zone, or start of the window in seconds.
    n, not_owed : int
        Requests, and those of them that earn nothing whatever is answered.
    in_aim, late, refused, failed : int
        Requests by how they ended. `in_aim` is within the latency objective.
    worth : float
        Credit earned as a share of the credit owed.
    p50_ms, p99_ms : float or None
        Percentiles of the latency in milliseconds.
    """

    name: str
    n: int
    in_aim: int
    late: int
    refused: int
    failed: int
    not_owed: int
    worth: float | None
    p50_ms: float | None = None
    p99_ms: float | None = None


class Report(msgspec.Struct):
    """Fields of a report that are used here.

    Attributes
    ----------
    worth : float
        Worth of the day, prices taken off.
    parts : list of (str, float, float)
        Parts of the credit: name, weight, value.
    prices : list of (str, float, float)
        Prices: name, amount, share of the worth that it costs.
    broken : dict
        Broken rules.
    classes, zones, windows : list of Group
        Requests by kind, by zone of the caller and by time window.
    """

    worth: float = msgspec.field(name="G")
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    classes: list[Group]
    zones: list[Group]
    windows: list[Group]
    broken: dict[str, typing.Any] = msgspec.field(name="breaks", default_factory=dict)


class Loss(typing.NamedTuple):
    """Credit that a group of requests lost, as shares of the credit owed.

    Attributes
    ----------
    late : float
        By answers after the objective; 0 if the credit of late answers is not known.
    partial : float
        By answers that leave out shards; includes `late` if that is not known.
    refused, failed : float
        By requests that were refused or not answered.
    """

    late: float
    partial: float
    refused: float
    failed: float


def read_report(path: str) -> Report:
    """Return the report in a file.

    Raises
    ------
    ReportError
        The file cannot be read or is no report.
    """
    try:
        return msgspec.json.decode(pathlib.Path(path).read_bytes(), type=Report)
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}") from error
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ReportError(f"{path}: {error}") from error


def read_late_credits(path: str) -> dict[str, float]:
    """Return the credit of a late answer by kind of request, from a site file.

    Raises
    ------
    ReportError
        The file cannot be read, is not TOML or lacks a field.
    """
    try:
        site = tomllib.loads(pathlib.Path(path).read_text())
        return {row["name"]: float(row["late_worth"]) for row in site["classes"]}
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}") from error
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ReportError(f"{path}: {error}") from error
    except KeyError as error:
        raise ReportError(f"{path}: classes: {error.args[0]} is missing") from error
    except (TypeError, ValueError) as error:
        raise ReportError(f"{path}: classes: {error}") from error


def compute_loss(group: Group, late_credit: float | None) -> Loss:
    """Return what a group lost.

    Parameters
    ----------
    group : Group
        Requests.
    late_credit : float or None
        Credit of a late answer, from 0 to 1; None if not known.
    """
    owed = max(1, group.n - group.not_owed)
    late = 0.0 if late_credit is None else group.late * (1 - late_credit) / owed
    refused = group.refused / owed
    failed = group.failed / owed
    total = 0.0 if group.worth is None else 1 - group.worth
    return Loss(late, max(0.0, total - late - refused - failed), refused, failed)


def count_decisions(path: str) -> collections.Counter[str]:
    """Return how often requests ended in each way, from the log of a run.

    Counts the outcome of each request and, for requests that lack replies, the last
    entry of the trace of each shard without one. Lines of the bench and lines that are
    cut off are skipped.

    Raises
    ------
    ReportError
        The file cannot be read or holds no log line of the product.
    """
    counts: collections.Counter[str] = collections.Counter()
    try:
        text = pathlib.Path(path).read_text(errors="replace")
    except OSError as error:
        raise ReportError(f"{path}: {error.strerror}") from error
    for line in text.splitlines():
        start = line.find("{")
        if start < 0:
            continue
        try:
            entry = json.loads(line[start:])
        except ValueError:
            continue
        if not isinstance(entry, dict) or entry.get("message_type") != "request: ended":
            continue
        counts[f"request: {entry.get('outcome')}"] += 1
        if entry.get("arrived") != entry.get("shards"):
            for trace in entry.get("unusual", ()):
                counts[f"shard: {_describe_last(trace)}"] += 1
    if not counts:
        raise ReportError(f"{path}: no log line of an ended request")
    return counts


def _describe_last(trace: str) -> str:
    """Return the last entry of the trace of a shard, without the server's name."""
    last = trace.rpartition(", ")[2].rpartition(": ")[2]
    return last.partition(" ")[2] if last.startswith("i-") else last


def render(report: Report, late_credits: dict[str, float]) -> str:
    """Return the tables of one report as text."""
    lines = [f"worth {report.worth:.3f}"]
    if report.broken:
        lines.append(f"BROKEN RULES: {report.broken}")
    lines.append(
        "parts: "
        + "; ".join(
            f"{name} {value:.3f} x {weight:g} (loses {weight * (1 - value):.3f})"
            for name, weight, value in report.parts
        )
    )
    lines.append(
        "prices: "
        + "; ".join(
            f"{name} {cost:.3f}"
            for name, _, cost in sorted(report.prices, key=lambda row: -row[2])
            if cost >= LOSS_SHOWN_MIN
        )
    )
    # Time windows and zones hold several kinds of requests, so that the credit of a
    # late answer is not the same for all of them.
    lines += _render_groups("kind", report.classes, late_credits)
    lines += _render_groups("zone", report.zones, {})
    worst = sorted(report.windows, key=_rank_window)[:WINDOWS_SHOWN]
    lines += _render_groups("window s", worst, {})
    return "\n".join(lines)


def _rank_window(window: Group) -> float:
    """Return a sort key: the credit that a window keeps, less what it owed."""
    return window.n * ((window.worth or 0.0) - 1)


def _render_groups(
    title: str, groups: list[Group], late_credits: dict[str, float]
) -> list[str]:
    lines = [
        f"{title:20s} {'n':>6s} {'late':>6s} {'partial':>8s} {'refused':>8s} "
        f"{'failed':>7s} {'credit':>7s} {'p50 ms':>8s} {'p99 ms':>8s}"
    ]
    for one in groups:
        loss = compute_loss(one, late_credits.get(one.name))
        late = f"{loss.late:.3f}" if one.name in late_credits else "with"
        lines.append(
            f"{one.name:20s} {one.n:6d} {late:>6s} {loss.partial:8.3f} "
            f"{loss.refused:8.3f} {loss.failed:7.3f} {one.worth or 0:7.3f} "
            f"{one.p50_ms or 0:8.1f} {one.p99_ms or 0:8.1f}"
        )
    return lines


def print_losses(*reports: str, site: str = "", log: str = "") -> None:
    """Print where the worth of each day is lost.

    Parameters
    ----------
    reports : str
        Files that the bench wrote with `--report`.
    site : str
        Site file, for the credit of late answers; without it their loss is counted
        among that of partial answers.
    log : str
        Output of the run with `--log all`.
    """
    late_credits = read_late_credits(site) if site else {}
    for path in reports:
        print(f"== {path}")
        print(render(read_report(path), late_credits))
    if log:
        print(f"== decisions in {log}")
        for text, count in count_decisions(log).most_common(DECISIONS_SHOWN):
            print(f"{count:8d} {text}")


def print_pairs(before: str, after: str) -> None:
    """Print the differences between reports of equal names in two folders.

    Raises
    ------
    ReportError
        No report of one folder has its counterpart in the other.
    """
    names = sorted(
        {path.name for path in pathlib.Path(before).glob("*.json")}
        & {path.name for path in pathlib.Path(after).glob("*.json")}
    )
    if not names:
        raise ReportError(f"{before}, {after}: no reports with equal names")
    differences = []
    for name in names:
        first = read_report(str(pathlib.Path(before) / name))
        second = read_report(str(pathlib.Path(after) / name))
        differences.append(second.worth - first.worth)
        broken = " BROKEN RULES" if second.broken else ""
        print(
            f"{name:32s} {first.worth:.3f} {second.worth:.3f} "
            f"{differences[-1]:+.3f}{broken}"
        )
    spread = statistics.stdev(differences) if len(differences) > 1 else 0.0
    print(
        f"mean {statistics.mean(differences):+.4f}, "
        f"standard deviation {spread:.4f}, {len(differences)} pairs"
    )


def plot_windows(before: str, after: str, file: str) -> None:
    """Draw the credit of two reports of one day over its time windows, as SVG.

    Parameters
    ----------
    before, after : str
        Files of the reports.
    file : str
        SVG file to write.
    """
    chart = pygal.Line(
        width=900,
        height=360,
        range=(0.0, 1.0),
        dots_size=2,
        legend_at_bottom=True,
        js=(),
        x_title="start of the window, s",
        y_title="credit earned / owed",
    )
    first = read_report(before)
    chart.x_labels = [window.name for window in first.windows]
    for title, report in (("before", first), ("after", read_report(after))):
        chart.add(title, [window.worth for window in report.windows])
    chart.render_to_file(file)
