"""Tests of the process that the platform starts, as a process of its own."""

import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import entry
import processes
import pytest
from adapter import program

COMMAND = [sys.executable, str(processes.ROOT / "platform" / "serve.py")]
READY = b"GET /readiness HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"


@pytest.fixture
def settings(tmp_path):
    """Return the settings of an instance, which has no store, and their file."""
    chosen = entry.Entry("127.0.0.1:9")
    path = tmp_path / "settings.toml"
    path.write_text(chosen.text)
    return chosen, path


@pytest.fixture
def start(settings, tmp_path):
    """Return a function that starts the program; it is killed after the test."""
    started = []

    def start_program(**environment: str) -> subprocess.Popen:
        with (tmp_path / "log.txt").open("ab") as log:
            process = subprocess.Popen(
                COMMAND,
                cwd=processes.ROOT,
                env={**os.environ, "ACACIALATCH_BOOT": str(settings[1]), **environment},
                stdout=log,
                stderr=log,
            )
        started.append(process)
        return process

    yield start_program
    for process in started:
        processes.kill(process)


def is_serving(ip: str) -> bool:
    """Return whether an instance answers readiness checks."""
    try:
        with socket.create_connection((ip, entry.READY_PORT), 1.0) as connection:
            connection.sendall(READY)
            return connection.recv(64).startswith(b"HTTP/1.1 503")
    except OSError:
        return False


def read_log(tmp_path: pathlib.Path) -> str:
    return (tmp_path / "log.txt").read_text()


def test_reload_signal_during_the_imports_does_not_end_the_process(start, tmp_path):
    """Guards against a start that a change of the settings ends.

    SIGHUP ended a process until its event loop ran, which takes a second and more on a
    busy machine.
    """
    stand_in = "import os, signal\nos.kill(os.getpid(), signal.SIGHUP)\nos._exit(7)\n"
    (tmp_path / "trio.py").write_text(stand_in)
    process = start(PYTHONPATH=str(tmp_path))
    assert process.wait(processes.WAIT_S) == 7


def test_reload_signals_never_end_the_process(settings, start):
    """Guards against a moment of the start or stop at which SIGHUP ends the process."""
    process = start()
    processes.wait_until(lambda: processes.ignores_reload_signal(process.pid))
    stop_at = None
    end = time.monotonic() + 2 * processes.WAIT_S
    while process.poll() is None:
        assert time.monotonic() < end, "neither served nor stopped in time"
        process.send_signal(signal.SIGHUP)
        time.sleep(0.002)
        if stop_at is None and is_serving(settings[0].ip):
            process.send_signal(signal.SIGTERM)
            stop_at = time.monotonic()
    assert stop_at is not None
    assert process.wait() == 0


def test_stop_signal_right_after_the_start_is_a_planned_stop(settings, start):
    """Guards against a stop that cuts requests since the process had just started."""
    process = start()
    address = (settings[0].ip, entry.FRONT_PORT)

    def accepts() -> bool:
        with socket.socket() as connection:
            return connection.connect_ex(address) == 0

    processes.wait_until(accepts)
    process.send_signal(signal.SIGTERM)
    assert process.wait(processes.WAIT_S) == 0


ODD_FILES = {
    "not UTF-8": b"node_name = '\xff\xfe'",
    "nested": b"a = " + b"[" * 3000 + b"]" * 3000,
    "empty": b"",
    "incomplete": b'node_name = "a"\n[listen_addr',
    "huge number": b"a = " + b"1" * 5000,
    "missing": None,
}


def write_settings(path: pathlib.Path, content: bytes | None) -> None:
    """Replace the settings file, or remove it."""
    if content is None:
        path.unlink()
    else:
        path.write_bytes(content)


@pytest.mark.parametrize("content", ODD_FILES.values(), ids=ODD_FILES)
def test_odd_settings_file_at_a_reload_leaves_the_last_one(
    settings, start, tmp_path, content
):
    """Guards against a process that a settings file ends while it is replaced."""
    chosen, path = settings
    process = start()
    processes.wait_until(lambda: is_serving(chosen.ip))
    write_settings(path, content)
    process.send_signal(signal.SIGHUP)
    processes.wait_until(lambda: "settings refused" in read_log(tmp_path))
    path.write_text(chosen.text + "\n# changed\n")
    process.send_signal(signal.SIGHUP)
    processes.wait_until(lambda: "settings reloaded" in read_log(tmp_path))
    assert is_serving(chosen.ip)
    assert process.poll() is None
    assert "defect" not in read_log(tmp_path)


@pytest.mark.parametrize("content", ODD_FILES.values(), ids=ODD_FILES)
def test_start_waits_for_a_settings_file_that_is_being_replaced(
    settings, start, tmp_path, content
):
    """Guards against a start that fails since its settings file is not whole yet."""
    chosen, path = settings
    write_settings(path, content)
    process = start()
    processes.wait_until(lambda: "settings: " in read_log(tmp_path))
    path.write_text(chosen.text)
    processes.wait_until(lambda: is_serving(chosen.ip))
    assert process.poll() is None


def test_start_without_valid_settings_ends_with_a_clear_status(
    settings, start, tmp_path
):
    """Guards against a process that waits forever, or ends without a reason."""
    chosen, path = settings
    path.write_text(chosen.text.replace("grace_s = 6.0", ""))
    assert start().wait(processes.WAIT_S) == program.EXIT_SETTINGS
    assert read_log(tmp_path) == "settings: grace_s is missing\n"


LISTENERS = {
    "callers": (entry.FRONT_PORT, socket.SOCK_STREAM),
    "readiness": (entry.READY_PORT, socket.SOCK_STREAM),
    "metrics": (entry.METRICS_PORT, socket.SOCK_STREAM),
    "batches": (entry.GOSSIP_PORT, socket.SOCK_STREAM),
    "digests": (entry.GOSSIP_PORT, socket.SOCK_DGRAM),
}


def hold_address(ip: str, name: str) -> socket.socket:
    """Return a socket that listens on an address of an instance."""
    port, kind = LISTENERS[name]
    held = socket.socket(type=kind)
    held.bind((ip, port))
    if kind is socket.SOCK_STREAM:
        held.listen()
    return held


@pytest.mark.parametrize("name", LISTENERS)
def test_start_waits_for_an_address_that_another_process_holds(
    settings, start, tmp_path, name
):
    """Guards against a start that fails while its predecessor is still ending."""
    with hold_address(settings[0].ip, name):
        process = start()
        processes.wait_until(lambda: "address waits" in read_log(tmp_path))
    processes.wait_until(lambda: is_serving(settings[0].ip))
    assert process.poll() is None


def test_address_that_stays_in_use_ends_the_start_with_a_clear_status(
    settings, start, tmp_path
):
    """Guards against a process that serves only some of its addresses."""
    with hold_address(settings[0].ip, "metrics"):
        assert start().wait(processes.WAIT_S) == program.EXIT_ADDRESS
    lines = read_log(tmp_path).splitlines()
    assert lines[-1].startswith("address: [Errno 98]")
    assert f"{settings[0].ip}:{entry.METRICS_PORT}" in lines[-1]
    assert "Traceback" not in read_log(tmp_path)
