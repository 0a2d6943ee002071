"""Tests for acacialatch.daemon and acacialatch.cli: real processes on loopback."""

import contextlib
import os
import pathlib
import signal
import socket
import subprocess
import sys
import threading
import time

import processes
import pytest

CONFIGURATION_SPREAD_S = 3.0
"""Time within which a change must be in force in every entry instance."""

ADDRESS_LIFETIME_S = 2.0
BODY_BYTES_MAX = 262_144
QUERY_PATH = "/v1/query/desk"
REQUEST_PATH = "/v1/request/desk"
BOOKING = {"key": 10, "body": "lathe 7"}
FORGED_KEY = "k1~127.0.0.1:9~" + "0" * 32 + "~1~1~" + "0" * 64


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    new_fleet = processes.Fleet(tmp_path_factory.mktemp("fleet"))
    try:
        new_fleet.start()
        yield new_fleet
    finally:
        new_fleet.stop()


@pytest.fixture
def extra(fleet):
    """Start a fourth entry instance, which the test may terminate."""
    process = fleet.start_entry(fleet.EXTRA)
    try:
        fleet.wait_ready(fleet.EXTRA)
        yield process
    finally:
        processes.kill(process)


def wait_for_answers(caller: processes.Caller, count: int = 20) -> None:
    """Wait until a caller has received `count` more answers."""
    before = caller.total()
    processes.wait_until(lambda: caller.total() >= before + count)


# Tests of the command line, which need no fleet.


def test_missing_and_invalid_settings_are_reported(tmp_path):
    """Guards against a traceback, no message or status 0 for invalid settings."""
    missing = processes.run_module("serve", "--settings", str(tmp_path / "none.toml"))
    assert missing.returncode != 0
    assert "none.toml: No such file" in missing.stderr
    path = tmp_path / "broken.toml"
    path.write_text('name = "entry 1"\nzone = "east"\nunknown = 1\n')
    broken = processes.run_module("serve", "--settings", str(path))
    assert broken.returncode != 0
    assert f"{path}: name: found 'entry 1'; allowed:" in broken.stderr
    assert "found unknown key 'unknown'" in broken.stderr
    path.write_text("name = [")
    assert processes.run_module("serve", "--settings", str(path)).returncode != 0
    for result in (missing, broken):
        assert "Traceback" not in result.stderr


@pytest.mark.parametrize("which", ["caller", "peer"])
def test_port_in_use_is_reported(tmp_path, which):
    """Guards against a process that gives no reason, or serves on one port only."""
    caller, peer, platform = processes.find_ports(3)
    text = processes.SETTINGS_TEMPLATE.format(
        number=1, zone="east", caller=caller, peer=peer, platform=platform, peers=""
    )
    path = tmp_path / "settings.toml"
    path.write_text(text)
    port = {"caller": caller, "peer": peer}[which]
    with socket.socket() as held:
        held.bind(("127.0.0.1", port))
        held.listen()
        result = processes.run_module("serve", "--settings", str(path))
    assert result.returncode not in (0, None)
    assert "Traceback" not in result.stderr
    last = result.stderr.strip().splitlines()[-1]
    assert "ddress already in use" in last
    assert str(port) in last


def list_started_processes(report: pathlib.Path) -> list[str]:
    lines = report.read_text().splitlines()
    return [line for line in lines if line.startswith("process ")]


def test_help_starts_no_other_process(tmp_path):
    """Guards against a pager, which would be a second process and wait for keys."""
    report = tmp_path / "report"
    master, terminal = os.openpty()
    command = [sys.executable, "-c", processes.AUDIT_SCRIPT, str(report), "acacialatch"]
    environment = {**os.environ, "TERM": "xterm", "PAGER": "cat"}
    process = subprocess.Popen(
        [*command, "--help"],
        cwd=processes.ROOT,
        stdin=terminal,
        stdout=terminal,
        stderr=terminal,
        env=environment,
    )
    os.close(terminal)
    try:
        # Fails also if the process waits for a key.
        assert process.wait(processes.WAIT_S) == 0
        shown = os.read(master, 65536)
    finally:
        processes.kill(process)
        os.close(master)
    assert b"serve" in shown
    assert list_started_processes(report) == []


# Tests that terminate no process of the fleet.

BAD_BODIES = [
    (b"{", "malformed_request", 400),
    (b"", "malformed_request", 400),
    ({"kind": "urgent", "colour": 1}, "malformed_request", 400),
    ({"kind": "urgent", "deadline_ms": "soon"}, "malformed_request", 400),
    (b'{"kind": "urgent", "deadline_ms": 1e999}', "malformed_request", 400),
    ({"kind": "urgent", "deadline_ms": -1}, "bad_deadline", 400),
    ({"kind": "urgent", "deadline_ms": 0}, "bad_deadline", 400),
    ({"kind": "urgent", "deadline_ms": 10**12}, "bad_deadline", 400),
    (b" " * (BODY_BYTES_MAX + 1), "body_too_large", 413),
    (b" " * (16 * BODY_BYTES_MAX), "body_too_large", 413),
]

BAD_REQUESTS = [
    ("GET", "/v2/status", None, {}, "unknown_path", 404),
    ("POST", "/v1/query/barber", {"kind": "urgent"}, {}, "unknown_service", 404),
    ("PUT", QUERY_PATH, {"kind": "urgent"}, {}, "method_not_allowed", 405),
    ("GET", "/v1/keys", None, {}, "method_not_allowed", 405),
    ("POST", REQUEST_PATH, BOOKING, {}, "key_missing", 400),
    ("POST", REQUEST_PATH, BOOKING, {"idempotency-key": "1"}, "key_invalid", 400),
    *(
        ("POST", QUERY_PATH, body, {}, kind, status)
        for body, kind, status in BAD_BODIES
    ),
]

MALFORMED_REQUESTS = [
    b"nonsense\r\n\r\n",
    b"GET /v1/status HTTP/1.1\r\n\r\n",
    b"GET /v1/status HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\n",
    b"GET /v1/status HTTP/1.1\r\nhost: a\r\nfiller: " + b"a" * 65536 + b"\r\n\r\n",
    bytes(range(256)) + b"\r\n\r\n",
]


def send_raw(address: str, data: bytes) -> bytes:
    host, _, port = address.rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), 5) as stream:
        stream.sendall(data)
        while part := stream.recv(65536):
            received += part
    return received


def test_bad_input_gets_its_error_and_affects_no_other_caller(fleet):
    """Guards against bad input that ends the process or fails other callers."""
    address = fleet.entry(1)
    requests_run_before = fleet.count("requests_run", fleet.servers())
    with processes.Caller(address, fixed=True) as caller:
        wait_for_answers(caller, 5)
        for method, path, body, headers, kind, status in BAD_REQUESTS:
            answer = processes.send_request(address, method, path, body, headers)
            seen = (answer.status, answer.kind())
            assert seen == (status, kind), (method, path, str(body)[:60])
            assert answer.body["error"]["run_state"] == "not_run"
        for data in MALFORMED_REQUESTS:
            received = send_raw(address, data)
            assert received.startswith(b"HTTP/1.1 400 "), data[:60]
            assert b"malformed_request" in received
        no_deadline = processes.send_request(
            address, "POST", QUERY_PATH, {"kind": "urgent"}
        )
        assert no_deadline.status == 200
        wait_for_answers(caller, 5)
    assert caller.failures == []
    assert fleet.count("requests_run", fleet.servers()) == requests_run_before


def test_forged_keys_run_nothing(fleet):
    """Guards against a request that runs with a forged or altered key."""
    issued = processes.send_request(fleet.entry(1), "POST", "/v1/keys").body["key"]
    altered = issued[:-1] + ("0" if issued[-1] != "0" else "1")
    before = fleet.count("requests_run", fleet.servers())
    for key in (FORGED_KEY, altered):
        for number in (1, 2):
            headers = {"idempotency-key": key}
            answer = processes.send_request(
                fleet.entry(number), "POST", REQUEST_PATH, BOOKING, headers
            )
            # Only the issuer can check a key. The forged key names an unknown process,
            # which may have been its issuer, so the outcome is unknown.
            expected = {"key_invalid"}
            if key is FORGED_KEY:
                expected = {"outcome_unknown"}
            assert {answer.kind()} == expected, (number, key, answer)
    assert fleet.count("requests_run", fleet.servers()) == before


def test_serving_starts_no_other_process(fleet, tmp_path):
    """Guards against processes started by the start-up, a library or a request."""
    report = tmp_path / "report"
    process = fleet.start_entry(fleet.EXTRA, str(report))
    try:
        _check_serving_without_children(fleet, process.pid)
    finally:
        processes.kill(process)
    assert list_started_processes(report) == []


def _check_serving_without_children(fleet, pid: int) -> None:
    fleet.wait_ready(fleet.EXTRA)
    with processes.Caller(fleet.entry(fleet.EXTRA), fixed=True) as caller:
        end = caller.total() + 30
        while caller.total() < end:
            assert processes.list_children(pid) == []
            assert caller.failures == []
    assert processes.list_children(os.getpid()) != []


def test_silent_connections_are_replaced(fleet):
    """Guards against queries lost, or servers declared dead, on silent connections."""
    fleet.control(fleet.servers(), silence_connections=True)
    for _ in range(5):
        for number in range(1, fleet.SIZE + 1):
            answer = fleet.query(number)
            assert answer.status == 200, answer
            assert answer.body["coverage"] == {"covered": 3000, "total": 3000}
            assert "dead" not in fleet.status(number)["servers"]


def test_platform_outage_affects_no_query(fleet):
    """Guards against queries, or the start of a process, that need the platform."""
    fleet.set_faults(down=True)
    process = None
    try:
        with processes.Caller(fleet.entry(1), fixed=True) as caller:
            processes.wait_until(
                lambda: all(
                    fleet.status(number)["service_age_s"] > CONFIGURATION_SPREAD_S
                    for number in range(1, fleet.SIZE + 1)
                )
            )
            process = fleet.start_entry(fleet.EXTRA)
            # A configuration fetched from a peer is used once a digest confirms it.
            processes.wait_until(
                lambda: fleet.status(fleet.EXTRA)["current"], CONFIGURATION_SPREAD_S
            )
            answer = fleet.query(fleet.EXTRA, deadline_ms=5000)
            assert answer.status == 200, answer
            assert fleet.status(fleet.EXTRA)["sha256"] == fleet.status(1)["sha256"]
            wait_for_answers(caller)
        assert caller.failures == []
    finally:
        fleet.set_faults()
        if process is not None:
            processes.kill(process)


# Tests that suspend or terminate a process.


def test_resumed_process_sends_nothing_to_a_zone_out(fleet, extra):
    """Guards against work that a resumed process sends by its old configuration."""
    answers = []

    def query() -> None:
        answers.append(fleet.query(fleet.EXTRA, deadline_ms=10_000))

    callers = [threading.Thread(target=query) for _ in range(8)]
    os.kill(extra.pid, signal.SIGSTOP)
    try:
        for caller in callers:
            caller.start()
        published_at = time.monotonic()
        fleet.publish('"west"')
        processes.wait_until(
            lambda: all(
                fleet.status(number)["zones_out"] == ["west"]
                for number in range(1, fleet.SIZE + 1)
            ),
            CONFIGURATION_SPREAD_S,
        )
        # Until then the zone may still get work, so the count starts afterwards.
        processes.wait_until(
            lambda: time.monotonic() > published_at + CONFIGURATION_SPREAD_S
        )
        before = fleet.count("arrived", fleet.servers("west"))
        os.kill(extra.pid, signal.SIGCONT)
        for caller in callers:
            caller.join()
        # A process without contact for 3 s may refuse until a peer has answered.
        assert len(answers) == len(callers)
        assert {(answer.status, answer.kind()) for answer in answers} <= {
            (200, ""),
            (503, "not_current"),
        }
        processes.wait_until(lambda: fleet.status(fleet.EXTRA)["current"])
        with processes.Caller(fleet.entry(fleet.EXTRA), fixed=True) as caller:
            wait_for_answers(caller)
        assert caller.failures == []
        assert fleet.count("arrived", fleet.servers("west")) == before
    finally:
        fleet.publish()
        processes.wait_until(lambda: fleet.status(1)["zones_out"] == [])


def send_booking(fleet, key: str, outcomes: list) -> None:
    headers = {"idempotency-key": key}
    booking = {**BOOKING, "deadline_ms": 10_000}
    try:
        outcomes.append(
            processes.send_request(
                fleet.entry(fleet.EXTRA), "POST", REQUEST_PATH, booking, headers
            ).kind()
        )
    except OSError as error:
        outcomes.append(type(error).__name__)


@contextlib.contextmanager
def request_in_progress(fleet, latency_s: float):
    """Keep a request of the fourth entry instance unanswered for `latency_s`."""
    leaf = fleet.servers(leaf=0)
    key = processes.send_request(fleet.entry(fleet.EXTRA), "POST", "/v1/keys").body[
        "key"
    ]
    outcomes: list = []
    fleet.control(leaf, extra_latency_s=latency_s)
    before = fleet.count("arrived", leaf)
    caller = threading.Thread(target=send_booking, args=(fleet, key, outcomes))
    try:
        caller.start()
        processes.wait_until(lambda: fleet.count("arrived", leaf) > before)
        yield key, caller, outcomes
    finally:
        caller.join()
        fleet.control(leaf, extra_latency_s=0.0)


def test_killed_issuer_leaves_the_outcome_unknown(fleet, extra):
    """Guards against a second run, or a false "not run", after the issuer crashed."""
    with request_in_progress(fleet, 1.0) as (key, caller, outcomes):
        assert fleet.count_runs(key) == 0
        extra.kill()
        extra.wait()
        caller.join()
        assert outcomes in (["RemoteDisconnected"], ["ConnectionResetError"])
        headers = {"idempotency-key": key}
        for number in (1, 2, 3, 1):
            answer = processes.send_request(
                fleet.entry(number), "POST", REQUEST_PATH, BOOKING, headers
            )
            assert (answer.status, answer.kind()) == (504, "outcome_unknown")
            assert answer.body["error"]["run_state"] == "unknown"
        processes.wait_until(lambda: fleet.count_runs(key) > 0)
        again = processes.send_request(
            fleet.entry(2), "POST", REQUEST_PATH, BOOKING, headers
        )
        assert again.kind() == "outcome_unknown"
    assert fleet.count_runs(key) == 1


def test_second_signal_ends_the_process_at_once(fleet, extra):
    """Guards against a second signal that is ignored, or that gives a false outcome."""
    with request_in_progress(fleet, 4.0) as (key, caller, outcomes):
        extra.send_signal(signal.SIGTERM)
        processes.wait_until(lambda: fleet.status(fleet.EXTRA)["leaving"])
        extra.send_signal(signal.SIGTERM)
        # Less than the address lifetime: the process does not wait for callers.
        extra.wait(ADDRESS_LIFETIME_S)
        assert fleet.count_runs(key) == 0
        caller.join()
        assert outcomes == ["outcome_unknown"]


def test_graceful_shutdown_interrupts_no_request(fleet, extra):
    """Guards against requests that a graceful shutdown interrupts or refuses."""
    leaving = fleet.entry(fleet.EXTRA)
    with contextlib.ExitStack() as stack:
        callers = [
            stack.enter_context(processes.Caller(fleet.entry(1))) for _ in range(4)
        ]
        processes.wait_until(
            lambda: all(caller.answered.get(leaving, 0) > 10 for caller in callers)
        )
        extra.send_signal(signal.SIGTERM)
        assert extra.wait(processes.WAIT_S) == 0
        for caller in callers:
            wait_for_answers(caller)
    assert [caller.failures for caller in callers] == [[]] * len(callers)


def test_graceful_shutdown_awaits_a_slow_request(fleet, extra):
    """Guards against a shutdown that waits only for the address lifetime."""
    latency_s = 2 * ADDRESS_LIFETIME_S
    with request_in_progress(fleet, latency_s) as (key, caller, outcomes):
        extra.send_signal(signal.SIGTERM)
        assert extra.wait(processes.WAIT_S) == 0
        caller.join()
        assert outcomes == [""]
    assert fleet.count_runs(key) == 1


def test_no_process_logged_an_exception(fleet):
    """Guards against an exception that was logged but that no answer showed."""
    text = pathlib.Path(fleet.directory / "output.txt").read_text()
    assert "Traceback" not in text
    assert "request failed" not in text
