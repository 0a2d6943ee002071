"""Tests for bench.losses."""

import json

import pytest

from bench import losses

GROUP = {
    "name": "list",
    "n": 100,
    "in_aim": 80,
    "late": 10,
    "refused": 4,
    "failed": 6,
    "not_owed": 0,
    "worth": 0.78,
    "p50_ms": 100.0,
    "p99_ms": None,
}
REPORT = {
    "G": 0.7,
    "parts": [["whole day", 1.0, 0.78]],
    "prices": [["machine-seconds", 600.0, 0.03]],
    "classes": [GROUP],
    "zones": [GROUP],
    "windows": [{**GROUP, "name": "2"}],
    "breaks": {},
    "fields of a later bench": 1,
}


def write(tmp_path, name, text):
    path = tmp_path / name
    path.write_text(text)
    return str(path)


def test_loss_is_split_by_reason(tmp_path):
    """Guards against a loss that is counted twice or not at all."""
    report = losses.read_report(write(tmp_path, "r.json", json.dumps(REPORT)))
    loss = losses.compute_loss(report.classes[0], 0.1)
    assert loss == pytest.approx((0.09, 0.03, 0.04, 0.06))
    assert sum(loss) == pytest.approx(1 - 0.78)
    assert "list" in losses.render(report, {"list": 0.1})


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("", ""),
        ("[]", "object"),
        ("{}", "G"),
        (json.dumps({**REPORT, "G": "much"}), "G"),
        (json.dumps({**REPORT, "classes": [{}]}), "classes"),
        (json.dumps(REPORT)[:90], ""),
    ],
)
def test_damaged_report_is_refused(tmp_path, text, field):
    """Guards against an error that names neither the file nor the field."""
    path = write(tmp_path, "r.json", text)
    with pytest.raises(losses.ReportError) as raised:
        losses.read_report(path)
    assert path in str(raised.value)
    assert field in str(raised.value)


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[", ""),
        ("a = 1", "classes"),
        ("classes = [{name = 'a'}]", "late_worth"),
        ("classes = 3", "classes"),
    ],
)
def test_damaged_site_file_is_refused(tmp_path, text, field):
    """Guards against an error that names neither the file nor the field."""
    path = write(tmp_path, "site.toml", text)
    with pytest.raises(losses.ReportError) as raised:
        losses.read_late_credits(path)
    assert path in str(raised.value)
    assert field in str(raised.value)


def test_missing_file_is_named(tmp_path):
    """Guards against a traceback for a wrong path."""
    for read in (losses.read_report, losses.read_late_credits, losses.count_decisions):
        with pytest.raises(losses.ReportError, match="nowhere"):
            read(str(tmp_path / "nowhere"))


def test_decisions_are_counted(tmp_path):
    """Guards against reasons that are lost, and lines cut off that end the count."""
    entry = {
        "message_type": "request: ended",
        "outcome": "answered",
        "arrived": 1,
        "shards": 3,
        "unusual": ["s1: i-1 cut, i-2 503", "s2: no usable server"],
    }
    text = f"  1.0 front-1 {json.dumps(entry)}\n 1.1 front-1 {{\nnoise\n"
    counts = losses.count_decisions(write(tmp_path, "log", text))
    assert counts == {
        "request: answered": 1,
        "shard: 503": 1,
        "shard: no usable server": 1,
    }
    with pytest.raises(losses.ReportError):
        losses.count_decisions(write(tmp_path, "empty", "noise\n"))


def test_pairs_are_compared(tmp_path, capsys):
    """Guards against reports of different days that are compared."""
    for folder, worth in (("a", 0.7), ("b", 0.75)):
        (tmp_path / folder).mkdir()
        write(tmp_path / folder, "x.json", json.dumps({**REPORT, "G": worth}))
    write(tmp_path / "a", "y.json", json.dumps(REPORT))
    losses.print_pairs(str(tmp_path / "a"), str(tmp_path / "b"))
    assert "mean +0.0500" in capsys.readouterr().out
    with pytest.raises(losses.ReportError):
        losses.print_pairs(str(tmp_path / "a"), str(tmp_path))


def test_windows_are_drawn(tmp_path):
    """Guards against a plot without one of the two reports."""
    path = write(tmp_path, "x.json", json.dumps(REPORT))
    plot = tmp_path / "x.svg"
    losses.plot_windows(path, path, str(plot))
    assert plot.read_text().count("series serie-") >= 2
