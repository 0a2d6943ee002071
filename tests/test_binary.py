"""Tests for the one-file binary that `make binary` builds."""

import os
import pathlib
import subprocess
import sys

import processes
import pytest

BUILD_S = 300.0
"""Longest time for the build, which fetches packages, in seconds."""


@pytest.fixture(scope="module")
def binary(tmp_path_factory):
    """Build the binary once; the environment of the tests is left unchanged."""
    directory = tmp_path_factory.mktemp("dist")
    venv = pathlib.Path(sys.prefix)
    stamp = venv / ".requirements-installed"
    command = ["make", "-o", str(stamp), "binary", f"VENV={venv}", f"DIST={directory}"]
    subprocess.run(command, cwd=processes.ROOT, check=True, timeout=BUILD_S)
    return directory / "acacialatch"


@pytest.fixture
def environment(tmp_path):
    """Return an environment in which nothing but SHIV_ROOT may be written to."""
    places = {"SHIV_ROOT": "root", "HOME": "home", "TMPDIR": "tmp"}
    for name in places.values():
        (tmp_path / name).mkdir()
    kept = {name: os.environ[name] for name in os.environ if name != "PYTHONPATH"}
    return {**kept, **{key: str(tmp_path / name) for key, name in places.items()}}


def run(binary: pathlib.Path, environment: dict[str, str], *arguments: str):
    return subprocess.run(
        [str(binary), *arguments],
        cwd=processes.ROOT,
        env=environment,
        capture_output=True,
        text=True,
        timeout=processes.WAIT_S,
    )


def test_binary_unpacks_once_and_runs_commands(binary, environment):
    """Guards against a binary that does not start or unpacks at each start."""
    first = run(binary, environment, "version")
    assert (first.returncode, first.stdout) == (0, "0.1.0\n"), first.stderr
    root = pathlib.Path(environment["SHIV_ROOT"])
    unpacked = [path for path in root.iterdir() if path.is_dir()]
    assert len(unpacked) == 1
    before = unpacked[0].stat()
    check = run(binary, environment, "check", "examples/fiji.toml")
    assert check.returncode == 0, check.stderr
    assert "configuration is valid" in check.stdout
    after = unpacked[0].stat()
    assert (before.st_ino, before.st_ctime_ns) == (after.st_ino, after.st_ctime_ns)


def test_binary_names_the_python_of_the_instance(binary):
    """Guards against a binary bound to the environment that built it."""
    with open(binary, "rb") as file:
        assert file.readline() == b"#!/usr/bin/env python3.11\n"
    assert os.access(binary, os.X_OK)


def test_binary_writes_only_below_its_root(binary, environment, tmp_path):
    """Guards against a start that needs a disk or another process."""
    report = tmp_path / "report"
    command = [
        "python3.11",
        "-c",
        processes.AUDIT_SCRIPT,
        str(report),
        str(binary),
        "version",
    ]
    result = subprocess.run(
        command, env=environment, cwd=tmp_path, capture_output=True, timeout=60
    )
    assert result.returncode == 0, result.stderr
    lines = report.read_text().splitlines()
    written = [line.removeprefix("write ") for line in lines if line[:5] == "write"]
    inside = [path for path in written if path.startswith(environment["SHIV_ROOT"])]
    assert inside
    assert set(written) - set(inside) <= {"/dev/null"}
    assert [line for line in lines if line.startswith("process ")] == []


def test_binary_serves_a_request(binary, environment, tmp_path):
    """Guards against modules or packages that the binary lacks when it serves."""
    caller, peer, platform = processes.find_ports(3)
    path = tmp_path / "settings.toml"
    path.write_text(
        processes.SETTINGS_TEMPLATE.format(
            number=1, zone="east", caller=caller, peer=peer, platform=platform, peers=""
        )
    )
    address = f"127.0.0.1:{caller}"
    process = subprocess.Popen(
        [str(binary), "serve", "--settings", str(path)],
        env=environment,
        cwd=tmp_path,
        stderr=subprocess.DEVNULL,
    )
    try:
        processes.wait_until(lambda: processes.is_open(address))
        answer = processes.send_request(address, "GET", "/v1/status")
        assert (answer.status, answer.body["name"]) == (200, "entry-1")
        assert processes.list_children(process.pid) == []
    finally:
        processes.kill(process)
