"""Tests of the parser of the settings file."""

import pathlib

import hypothesis
import pytest
from hypothesis import strategies

from acacialatch import settings, tables

EXAMPLES = pathlib.Path(__file__).resolve().parent.parent / "examples"
EXAMPLE = (EXAMPLES / "settings.toml").read_text(encoding="utf-8")
MANY_PEERS = "".join(f'"127.0.0.1:{port}", ' for port in range(1, 65))
REQUIRED = "".join(
    line + "\n"
    for line in EXAMPLE.splitlines()
    if line.startswith(("name", "zone", "caller", "peer_", "configuration", "instance"))
)


def test_values_and_defaults():
    """Guards against a value under the wrong name and against a changed default."""
    parsed = settings.parse(EXAMPLE.encode()).unwrap()
    assert parsed.configuration_service == settings.Url("127.0.0.1:7600", "/config")
    assert parsed.instance_list == settings.Url("127.0.0.1:7600", "/instances")
    assert (parsed.caller_address, parsed.peer_address) == (
        "127.0.0.1:8001",
        "127.0.0.1:9001",
    )
    assert parsed.peers == ("127.0.0.1:9002", "127.0.0.1:9003")
    assert parsed.statsd_address == "127.0.0.1:8125"
    least = settings.parse(REQUIRED.encode()).unwrap()
    assert least[6:] == ((), None, 100, 1_000_000, "-")


@pytest.mark.parametrize(
    ("before", "after", "expected"),
    [
        ("name =", "nam =", "unknown key 'nam'"),
        ("name =", "nam =", "name: found nothing"),
        ('"entry-1"', '"entry 1"', "name: found 'entry 1'"),
        ("127.0.0.1:9001", "127.0.0.1:8001", "peer_address: found '127.0.0.1:8001'"),
        ("127.0.0.1:8001", "0.0.0.0:8001", "caller_address: found '0.0.0.0:8001'"),
        ("127.0.0.1:7600/config", "config.local:80/", "configuration_service: found"),
        (
            "http://127.0.0.1:7600/ins",
            "https://127.0.0.1:1/ins",
            "instance_list: found",
        ),
        ("/instances", "/instances?a=1", "instance_list: found"),
        ("127.0.0.1:9003", "127.0.0.1:9002", "peers[1]: found '127.0.0.1:9002'"),
        ("peers = [", f"peers = [{MANY_PEERS}", "peers: found a list of 66 values"),
        ("127.0.0.1:8125", "127.0.0.1:0", "statsd_address: found '127.0.0.1:0'"),
        ("rate_per_s = 100", "rate_per_s = true", "record_rate_per_s: found true"),
        ("bytes_per_s = 1000000", "bytes_per_s = -1", "record_bytes_per_s: found -1"),
        ('log_path = "-"', 'log_path = "log"', "log_path: found 'log'"),
    ],
)
def test_refusals(before, after, expected):
    """Guards against an invalid setting that is accepted or without its problem."""
    assert before in EXAMPLE
    parsed = settings.parse(EXAMPLE.replace(before, after, 1).encode(), "a.toml")
    problems = [problem.describe() for problem in parsed.unwrap_err()]
    assert any(expected in problem for problem in problems), problems
    assert all(problem.startswith("a.toml: ") for problem in problems)


@hypothesis.settings(derandomize=True, database=None, deadline=None, max_examples=150)
@hypothesis.given(
    strategies.integers(0, len(EXAMPLE)),
    strategies.integers(0, 20),
    strategies.binary(max_size=5),
)
def test_mutated_texts(position, length, inserted):
    """Guards against exceptions, and different verdicts on the same text."""
    raw = EXAMPLE.encode()
    text = raw[:position] + inserted + raw[position + length :]
    first = settings.parse(text)
    assert settings.parse(text) == first
    assert first.is_ok() or first.unwrap_err()


def test_kinds_of_file():
    """Guards against checking a file, even an invalid one, with the wrong parser."""
    assert settings.is_settings(EXAMPLE.encode())
    assert settings.is_settings(REQUIRED.encode() + b"broken = [")
    for name in ("fiji.toml", "prairie.toml"):
        text = (EXAMPLES / name).read_bytes()
        assert not settings.is_settings(text)
        assert not settings.is_settings(text[:3000] + b'\n"')
    assert not settings.is_settings(b"")


@pytest.mark.parametrize(
    ("address", "allowed"),
    [
        ("127.0.0.1:1", True),
        ("10.0.0.1:65535", True),
        ("[::1]:80", True),
        ("[fe80::1]:80", True),
        ("127.0.0.1:65536", False),
        ("127.0.0.1:080", False),
        ("127.0.0.1", False),
        ("127.0.0.1:", False),
        ("127.0.0.01:80", False),
        ("127.1:80", False),
        ("127.0.0.1:80\n", False),
        ("127.0.0.1:\u0668\u0660", False),
        ("::1:80", False),
        ("[127.0.0.1]:80", False),
        ("[0:0:0:0:0:0:0:1]:80", False),
        ("[::FFFF]:80", False),
        ("[::ffff:7f00:1]:80", False),
        ("[fe80::1%eth0]:80", False),
        ("0.0.0.0:80", False),
        ("224.0.0.1:80", False),
    ],
)
def test_addresses(address, allowed):
    """Guards against two spellings of one address, which would hide a duplicate."""
    assert tables.is_address(address) == allowed
