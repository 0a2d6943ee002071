"""Tests that the documentation matches the code."""

import pathlib
import re

import pytest

from acacialatch import (
    attempts,
    configuration,
    engine,
    errors,
    logs,
    membership,
    metrics,
    model,
    revisions,
    servers,
    settings,
)

ROOT = pathlib.Path(__file__).resolve().parent.parent
PAGES = sorted(path.name for path in (ROOT / "docs").glob("*.md"))


def read(name):
    return (ROOT / name).read_text()


def read_section(name, heading):
    """Return the text under a second-level heading of a page."""
    sections = re.split(r"^## ", read(name), flags=re.MULTILINE)
    return next(text for text in sections if text.startswith(f"{heading}\n"))


def list_rows(page):
    """Return the cells of each table row of a page, without backticks."""
    return [
        [cell.strip().replace("`", "") for cell in line.strip("|").split("|")]
        for line in page.splitlines()
        if line.startswith("|")
    ]


def find_row(page, name):
    rows = [row for row in list_rows(page) if row[0] == name]
    assert len(rows) == 1, f"{name} has {len(rows)} rows"
    return rows[0]


def list_links(page):
    """Return the relative targets of the links of a page."""
    targets = re.findall(r"\]\(([^)#\s]+)", page)
    return [target for target in targets if "://" not in target]


@pytest.mark.parametrize("name", metrics.METRICS)
def test_metric_is_described(name):
    """Guards against a metric without documentation or with a wrong kind or unit."""
    metric = metrics.METRICS[name]
    kind_and_unit = find_row(read_section("docs/OPERATIONS.md", "Metrics"), name)[1]
    assert kind_and_unit.split(", ")[0] == metric.kind.value
    unit = metric.unit
    assert kind_and_unit.split(", ")[1] == unit


def test_no_described_metric_is_missing_in_the_code():
    """Guards against documentation of a metric that was removed."""
    rows = list_rows(read_section("docs/OPERATIONS.md", "Metrics"))[2:]
    assert sorted(row[0] for row in rows) == sorted(metrics.METRICS)


@pytest.mark.parametrize("part", logs.Part)
def test_log_prefix_is_described(part):
    """Guards against a log prefix without documentation."""
    rows = list_rows(read_section("docs/OPERATIONS.md", "Log"))
    assert any(part.value in row[0].split(", ") for row in rows)


@pytest.mark.parametrize("kind", errors.ErrorKind)
def test_error_kind_is_described(kind):
    """Guards against a documented status, run state or retry rule that is wrong."""
    answer = errors.ANSWERS[kind]
    row = find_row(read("docs/CALLERS.md"), kind.value)
    retryable = "yes" if answer.retryable else "no"
    assert row[1:] == [str(answer.status), answer.run_state.value, retryable]


@pytest.mark.parametrize(
    "key",
    [
        *configuration._KIND_KEYS,
        *configuration._POLICY_KEYS,
        *configuration._INDEX_KEYS,
        *configuration._SHAPE_KEYS,
        *configuration._SERVICE_KEYS,
        *configuration._REPLICA_KEYS,
        *settings._KEYS,
    ],
)
def test_key_is_described(key):
    """Guards against a configuration or settings key without documentation."""
    page = read("docs/CONFIGURATION.md")
    assert re.search(rf"`[^`\n]*\b{key}\b[^`\n]*`", page)


@pytest.mark.parametrize("key", configuration._TOP_KEYS)
def test_top_level_key_is_described(key):
    """Guards against a top-level table or key of a text without documentation."""
    page = read("docs/CONFIGURATION.md")
    assert f"| `{key}` |" in page or re.search(rf"^`\[{key}[.\]]", page, re.M)


def test_page_has_the_defaults_of_the_settings():
    """Guards against a documented default or bound that is wrong."""
    page = read("docs/CONFIGURATION.md")
    rate = find_row(page, "record_rate_per_s")
    size = find_row(page, "record_bytes_per_s")
    assert rate[2] == f"{settings.RECORD_RATE_DEFAULT:,}"
    assert size[2] == f"{settings.RECORD_BYTES_DEFAULT:,}"
    assert f"0 to {settings.RECORD_RATE_MAX:,}" in rate[1]
    assert f"0 to {settings.RECORD_BYTES_MAX:,}" in size[1]


def test_status_fields_are_described():
    """Guards against a status field without documentation."""
    identity = engine.Identity(
        "entry-1", "nadi", "127.0.0.1:1", "127.0.0.1:2", bytes(16), bytes(32), ()
    )
    fields = engine.Engine(0.0, identity, 1).describe(0.0)
    page = read_section("docs/OPERATIONS.md", "Status")
    named = {name for row in list_rows(page) for name in row[0].split(", ")}
    assert not set(fields) - named


@pytest.mark.parametrize(
    "value",
    [
        *(cause.value for cause in attempts.Cause),
        *(cause.value for cause in membership.Cause),
        *(cause.value for cause in revisions.Cause),
        *(cause.value for cause in servers.Cause),
        *(state.value for state in model.ServerState),
    ],
)
def test_cause_or_state_is_described(value):
    """Guards against an audit cause, reason or state without documentation."""
    page = read("docs/OPERATIONS.md")
    assert re.search(rf"`{value}( (by|from) [^`]*)?`", page)


@pytest.mark.parametrize("name", ["README.md", *(f"docs/{page}" for page in PAGES)])
def test_links_lead_to_files(name):
    """Guards against a link to a file that does not exist."""
    page = ROOT / name
    broken = [
        link
        for link in list_links(page.read_text())
        if not (page.parent / link).exists()
    ]
    assert not broken


@pytest.mark.parametrize("page", PAGES)
def test_readme_links_every_page(page):
    """Guards against a page that the README does not link."""
    assert f"docs/{page}" in list_links(read("README.md"))


def test_readme_names_existing_targets():
    """Guards against a `make` target in the README that does not exist."""
    named = set(re.findall(r"`make ([a-z]+)`", read("README.md")))
    targets = set(re.findall(r"^([a-z]+):", read("Makefile"), re.MULTILINE))
    assert named
    assert not named - targets


def test_ci_runs_the_test_command_of_the_readme():
    """Guards against a CI that runs other tests than the README says."""
    assert "make test" in read(".ci/run").splitlines()
    assert "`make test`" in read("README.md")
