"""Tests of the parser of the operators' configuration text."""

import graphlib
import itertools
import os
import pathlib
import subprocess
import sys

import hypothesis
import pytest
import result
from hypothesis import strategies

from acacialatch import configuration, model
from examples import generate

ROOT = pathlib.Path(__file__).resolve().parent.parent
SMALL_TEXT = """title = "Test"
entry_instances_max = 3
zones = ["east", "west"]
zones_out = ["west"]
[kinds.urgent]
deadline_ms = 1500
[policy]
hedge_budget = [1, 50]
[indexes.rows]
keys = 10
partition_map = 2
[shapes.desk]
slots = 3
connections = 7
connect_ms = 6
cold_requests = 2
cold_window_ms = 1000
warm_up_ms = 3000
warm_after_requests = 4
[services.all]
depends_on = ["low", "high"]
[services.low]
index = "rows"
start = 0
end = 4
shape = "desk"
replicas = [{ address = "127.0.0.1:7001", zone = "east" }]
[services.high]
index = "rows"
start = 4
end = 10
shape = "desk"
replicas = [{ address = "[::1]:7001", zone = "west" }]
"""
HYPOTHESIS_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=150
)


def parse(text: str) -> model.Configuration:
    return configuration.parse(text.encode()).unwrap()


def find_problems(text: str | bytes) -> list[str]:
    raw = text.encode() if isinstance(text, str) else text
    parsed = configuration.parse(raw)
    return [problem.describe() for problem in parsed.err() or ()]


def test_values_and_units():
    """Guards against a value under the wrong name or in the wrong unit."""
    parsed = parse(SMALL_TEXT)
    assert parsed.services["low"] == model.Service(
        "low",
        index="rows",
        keys=model.KeyRange(0, 4),
        shape=model.Shape(3, 7, 0.006, 2, 1.0, 3.0, 4),
        replicas=(model.Replica("127.0.0.1:7001", "east"),),
    )
    assert parsed.indexes == {"rows": model.Index("rows", 10, 2)}
    assert parsed.zones_out == {"west"}
    assert [leaf.name for leaf in parsed.list_leaves("all")] == ["low", "high"]
    assert parsed.policy == model.Policy((1, 50), 10, 2)
    urgent = parsed.kinds[model.QueryKind.URGENT]
    assert urgent == model.KindPolicy(1.5, 1.5, (0, 1))
    assert parsed.kinds[model.QueryKind.FULL_PAGE].floor == (1, 1)


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ('title = "Test"', "title = 7", "title: found 7"),
        ('title = "Test"', "", "title: found nothing"),
        ('title = "Test"', 'title = "\\u0000"', "title: found '\\x00'"),
        ("max = 3", "max = true", "entry_instances_max: found true"),
        ("max = 3", "max = 3.0", "entry_instances_max: found 3.0"),
        ("max = 3", "max = 8", "shapes.desk.connections: found 7"),
        ('"east", "west"]\n', '"east", "west", "east"]\n', "zones[2]: found 'east'"),
        ('["east", "west"]\n', "[]\n", "zones: found a list of 0 values"),
        ('out = ["west"]', 'out = ["north"]', "zones_out[0]: found 'north'"),
        ("[kinds.urgent]", "[kinds.slow]", "kinds: found unknown key 'slow'"),
        ("[kinds.urgent]", "[kinds.urgent]\nfloor = [2, 1]", "floor: found 2, 1"),
        ("[kinds.urgent]", "[kinds.urgent]\nfloor = [0, 0]", "floor: found 0, 0"),
        ("= 1500", "= 1500\ndeadline_max_ms = 1499", "deadline_max_ms: found 1499"),
        ("[1, 50]", "[1, 50]\nentry_lifetime_s = 3", "entry_lifetime_s: found 3"),
        ("keys = 10", "keys = 0", "indexes.rows.keys: found 0"),
        ("keys = 10", "keys = 11", "indexes.rows: found a gap [10, 11)"),
        ("slots = 3", "slots = 0", "shapes.desk.slots: found 0"),
        ("cold_requests = 2", "cold_requests = 0", "cold_requests: found 0"),
        ("slots = 3", "slots = 3\nspeed = 1", "shapes.desk: found unknown key 'speed'"),
        ('["low", "high"]', "[]", "depends_on: found a list of 0 values"),
        ('["low", "high"]', '["low", "mid"]', "depends_on[1]: found 'mid'"),
        ('["low", "high"]', '["low", "low"]', "depends_on[1]: found 'low'"),
        ('["low", "high"]', '["all"]', "the cycle all -> all"),
        ('"high"]', '"high"]\nreplicas = []', "services.all.replicas: found a list"),
        ('"high"]', '"high"]\nindex = "rows"', "services.all.index: found 'rows'"),
        ("start = 0", "start = 1", "indexes.rows: found a gap [0, 1)"),
        ("end = 4", "end = 6", "an overlap [4, 6) of services low and high"),
        ("start = 0", "start = 4", "services.low.end: found 4"),
        ('shape = "desk"', 'shape = "disk"', "services.low.shape: found 'disk'"),
        ('index = "rows"', 'index = "row"', "services.low.index: found 'row'"),
        ("[::1]:7001", "127.0.0.1:7001", "address: found '127.0.0.1:7001'"),
        ("[::1]:7001", "localhost:7001", "address: found 'localhost:7001'"),
        ('zone = "east"', 'zone = "north"', "replicas[0].zone: found 'north'"),
        ('zone = "east"', 'zone = "east", x = 1', "replicas[0]: found unknown key 'x'"),
        ("[services.low]", '[services."lo w"]', "services.NAME: found 'lo w'"),
        ("[services.low]", "[services.high]", "line 28, column 15: found broken TOML"),
    ],
)
def test_invalid_texts_are_refused(before, after, expected):
    """Guards against an invalid text that is accepted or without its problem."""
    assert SMALL_TEXT.count(before) >= 1
    problems = find_problems(SMALL_TEXT.replace(before, after, 1))
    assert any(expected in problem for problem in problems), problems
    assert all("allowed: " in problem for problem in problems)


def test_all_problems_are_reported():
    """Guards against a check that hides the problems after the first one."""
    text = SMALL_TEXT
    for before, after in (
        ("max = 3", "max = 0"),
        ("slots = 3", "slots = 0"),
        ('"low", "high"', '"low", "mid"'),
        ("end = 4", "end = 3"),
        ("[::1]:7001", "[::1]:0"),
    ):
        text = text.replace(before, after, 1)
    assert len(find_problems(text)) == 5


def test_no_problems_that_follow_from_others():
    """Guards against gaps that only follow from a problem already reported."""
    text = SMALL_TEXT.replace(
        'index = "rows"', 'depends_on = ["high"]\nindex = "rows"', 1
    )
    problems = find_problems(text)
    assert len(problems) == 5
    assert all("services.low." in problem for problem in problems)
    nested = find_problems(render_ranges(10, [(0, 6), (1, 2), (6, 10)]))
    assert len(nested) == 1
    assert "an overlap [1, 2) of services s0 and s1" in nested[0]


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        (b"#" * 1_000_001, "1000001 bytes"),
        (b'title = "\xff"', "byte 9: found a byte that is not UTF-8"),
        (b"title = [\n", "line 2, column 1: found broken TOML"),
        (b"x = " + b"[" * 5_000, "nesting of 5000"),
        (b'x = "a]" # ]\ny = ' + b"[\n']'," * 40, "nesting of 33"),
        (b"a." * 2_000 + b"a = 1", "2000 dots outside strings"),
        (b"x = " + b"9" * 5_000, "a long number"),
        (b"title = 0x" + b"f" * 5_000, "title: found an integer of 20000 bits"),
    ],
    ids=["size", "utf-8", "end", "depth", "quotes", "dots", "decimal", "hexadecimal"],
)
def test_malicious_texts(text, expected):
    """Guards against an exception or endless parsing, either of which is an outage."""
    assert any(expected in problem for problem in find_problems(text))


def test_limits_ignore_strings_and_comments():
    """Guards against refusing a valid text for brackets or digits in its strings."""
    title = "[{" * 50 + "9" * 90
    text = SMALL_TEXT.replace("Test", title).replace(
        "[kinds", f"# {'[' * 50}{'.' * 99}\n[kinds"
    )
    assert parse(text).title == title


def parse_at_depth(depth: int, text: bytes):
    return parse_at_depth(depth - 1, text) if depth else configuration.parse(text)


EDITS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, len(SMALL_TEXT)),
        strategies.integers(0, 12),
        strategies.one_of(
            strategies.binary(max_size=4),
            strategies.sampled_from(
                [
                    *rb'[ ] " { } = . \ # [[ true -1 1e999 1979-05-27'.split(),
                    *(b"'", b"'''", b"\n", b"[services.low]\n"),
                ]
            ),
        ),
    ),
    max_size=4,
)


@HYPOTHESIS_SETTINGS
@hypothesis.given(EDITS)
def test_mutated_texts(edits):
    """Guards against exceptions, and verdicts that depend on the depth of the stack."""
    text = SMALL_TEXT.encode()
    for position, length, inserted in edits:
        text = text[:position] + inserted + text[position + length :]
    first = configuration.parse(text)
    assert parse_at_depth(600, text) == first
    if isinstance(first, result.Err):
        assert first.err_value
        assert all(all(problem) for problem in first.err_value)


def render_ranges(keys: int, ranges: list[tuple[int, int]]) -> str:
    head = SMALL_TEXT[: SMALL_TEXT.index("[services.all]")].replace(
        "keys = 10", f"keys = {keys}"
    )
    return head + "".join(
        f'[services.s{i}]\nindex = "rows"\nstart = {start}\nend = {end}\n'
        f'shape = "desk"\n'
        f'replicas = [{{ address = "127.0.0.1:{i + 1}", zone = "east" }}]\n'
        for i, (start, end) in enumerate(ranges)
    )


@HYPOTHESIS_SETTINGS
@hypothesis.given(strategies.data())
def test_tiling_against_counting(data):
    """Guards against accepted gaps or overlaps, and refused ranges without any."""
    keys = data.draw(strategies.integers(1, 8))
    cuts = data.draw(strategies.sets(strategies.integers(1, keys), max_size=4))
    points = [0, *sorted(cuts), keys]
    ranges = [pair for pair in itertools.pairwise(points) if pair[0] < pair[1]]
    ranges = data.draw(strategies.permutations(ranges))
    if data.draw(strategies.booleans()):
        bounds = strategies.integers(0, keys)
        changed = tuple(sorted(data.draw(strategies.tuples(bounds, bounds))))
        ranges[data.draw(strategies.integers(0, len(ranges) - 1))] = changed
    counts = [sum(start <= key < end for start, end in ranges) for key in range(keys)]
    is_tiling = all(count == 1 for count in counts) and all(a < b for a, b in ranges)
    assert (not find_problems(render_ranges(keys, ranges))) == is_tiling


@HYPOTHESIS_SETTINGS
@hypothesis.given(
    strategies.dictionaries(
        strategies.sampled_from("abcde"),
        strategies.sets(strategies.sampled_from("abcde"), min_size=1),
    )
)
def test_cycles_against_graphlib(dependencies):
    """Guards against an accepted cycle, from which no leaf service is reached."""
    names = sorted(
        {*dependencies, *(needed for all_ in dependencies.values() for needed in all_)}
    )
    text = SMALL_TEXT[: SMALL_TEXT.index("[services.all]")].replace(
        "keys = 10", "keys = 5"
    )
    low = '"low"'
    for name in names:
        depends_on = ", ".join(
            f'"{needed}"' for needed in sorted(dependencies.get(name, ()))
        )
        text += f"[services.{name}]\ndepends_on = [{depends_on or low}]\n"
    text += '[services.low]\nindex = "rows"\nstart = 0\nend = 5\nshape = "desk"\n'
    text += 'replicas = [{ address = "127.0.0.1:1", zone = "east" }]\n'
    try:
        list(graphlib.TopologicalSorter(dependencies).static_order())
        expected = False
    except graphlib.CycleError:
        expected = True
    problems = find_problems(text)
    assert bool(problems) == expected
    assert all("the cycle" in problem for problem in problems)


def test_same_problems_under_every_hash_seed():
    """Guards against problems whose order depends on the hash seed of the process."""
    text = (
        SMALL_TEXT.replace("start = 4", "start = 5")
        .replace("high", "top")
        .replace('"low", "top"', '"x", "y", "z"')
    )
    indexes = (f"[indexes.i{i}]\nkeys = 1\npartition_map = 1\n" for i in range(5))
    text = text.replace("[shapes.desk]", "".join(indexes) + "[shapes.desk]")
    script = (
        "import sys; from acacialatch import configuration;"
        "print(configuration.parse(sys.stdin.buffer.read()))"
    )
    printed = {
        subprocess.run(
            [sys.executable, "-c", script],
            input=text.encode(),
            capture_output=True,
            check=True,
            cwd=ROOT,
            env={**os.environ, "PYTHONHASHSEED": str(seed)},
        ).stdout
        for seed in range(3)
    }
    assert len(printed) == 1
    output = printed.pop()
    assert b"depends_on[2]" in output
    assert b"indexes.i4" in output


@pytest.mark.parametrize(
    ("replacements", "expected"),
    [
        ([("partition_map = 2", "partition_map = 1")], "partition_map: found 1"),
        ([("end = 4", "end = 5"), ("start = 4", "start = 5")], "2 with other ranges"),
        ([("keys = 10", "keys = 9"), ("end = 10", "end = 9")], "rows.keys: found 9"),
        ([("= 2\n[shapes", "= 3\n[shapes"), ("end = 4", "end = 5")], None),
        ([("max = 3", "max = 4")], None),
    ],
)
def test_successor(replacements, expected):
    """Guards against two sets of ranges under one partition map number."""
    text = SMALL_TEXT
    for before, after in replacements:
        text = text.replace(before, after, 1)
    if "end = 5" in text:
        text = text.replace("start = 4", "start = 5")
    problems = configuration.check_successor(parse(SMALL_TEXT), parse(text))
    assert len(problems) == (expected is not None)
    assert all(expected in problem.describe() for problem in problems)


@pytest.mark.parametrize("deployment", generate.DEPLOYMENTS, ids=lambda d: d.file)
def test_examples_are_current(deployment):
    """Guards against outdated examples, or sizes other than those listed here."""
    text = (ROOT / "examples" / deployment.file).read_text(encoding="utf-8")
    assert text == generate.render(deployment)
    parsed = parse(text)
    leaves = [service for service in parsed.services.values() if service.is_leaf()]
    sizes: dict[str, tuple[int, set[tuple[int, int, int]]]] = {}
    for leaf in leaves:
        count, values = sizes.get(leaf.index, (0, set()))
        limits = (len(leaf.replicas), leaf.shape.slots, leaf.shape.connections)
        sizes[leaf.index] = (count + 1, {*values, limits})
    assert (
        sizes
        == {
            "fiji.toml": {
                "booking-desk": (20, {(2, 3, 30)}),
                "tooling-register": (30, {(2, 3, 30)}),
                "workshop-ledger": (1, {(6, 4, 100)}),
                "apprentice-roll": (1, {(4, 4, 100)}),
            },
            "prairie.toml": {
                "dispatch-desk": (20, {(2, 2, 25)}),
                "dues-ledger": (30, {(2, 2, 25)}),
                "customer-portal": (1, {(5, 4, 45)}),
                "supply-board": (1, {(4, 4, 45)}),
            },
        }[deployment.file]
    )
    assert len(parsed.list_leaves(deployment.search)) == 50
    for leaf in leaves:
        places = {replica.zone for replica in leaf.replicas}
        assert len(places) == min(len(leaf.replicas), len(parsed.zones))
