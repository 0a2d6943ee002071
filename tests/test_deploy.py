"""Tests of the build line of the deploy file, with a stand-in for Python."""

import os
import pathlib
import subprocess
import tomllib

import processes
import pytest

STAND_IN = """#!/bin/sh
if [ "$1" = -c ]; then
  cat abi
  exit
fi
echo "$@" >> calls
mkdir -p target/deps
touch target/deps/first.py
[ -e interrupted ] && exit 1
touch target/deps/last.py
"""
"""Installs two files, and fails between them if there is a file `interrupted`."""


class Build:
    """A checkout in which the build line is run."""

    def __init__(self, directory: pathlib.Path):
        self.directory = directory
        deployed = tomllib.loads((processes.ROOT / "deploy/system.toml").read_text())
        self._line = deployed["build"]
        (directory / "bin").mkdir()
        program = directory / "bin" / "python3"
        program.write_text(STAND_IN)
        program.chmod(0o755)
        (directory / "abi").write_text("cpython-311-a")
        (directory / "requirements.txt").write_text("a==1\n")

    def run(self) -> int:
        """Run the build line; return its status."""
        path = f"{self.directory / 'bin'}:{os.environ['PATH']}"
        command = ["sh", "-c", self._line]
        return subprocess.run(
            command, cwd=self.directory, env={**os.environ, "PATH": path}
        ).returncode

    def count_installations(self) -> int:
        calls = self.directory / "calls"
        return len(calls.read_text().splitlines()) if calls.exists() else 0

    def is_whole(self) -> bool:
        return (self.directory / "target/deps/last.py").exists()


@pytest.fixture
def build(tmp_path):
    return Build(tmp_path)


def test_build_installs_once(build):
    """Guards against an installation at each build."""
    assert [build.run(), build.run()] == [0, 0]
    assert build.is_whole()
    assert build.count_installations() == 1


def test_build_completes_an_interrupted_installation(build):
    """Guards against libraries that stay incomplete, so that no process starts."""
    interrupted = build.directory / "interrupted"
    interrupted.touch()
    assert build.run() != 0
    interrupted.unlink()
    assert build.run() == 0
    assert build.is_whole()


def test_build_installs_again_for_another_machine(build):
    """Guards against compiled libraries of another processor or version of Python."""
    assert build.run() == 0
    (build.directory / "abi").write_text("cpython-311-b")
    assert build.run() == 0
    assert build.count_installations() == 2


def test_build_installs_again_after_a_change_of_the_requirements(build):
    """Guards against libraries of an earlier version."""
    assert build.run() == 0
    requirements = build.directory / "requirements.txt"
    later = requirements.stat().st_mtime + 60
    os.utime(requirements, (later, later))
    assert build.run() == 0
    assert build.count_installations() == 2
