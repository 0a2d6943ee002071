"""Tests of the adapter to the platform, and of its folder's name."""

import base64
import json
import platform as standard_platform

import pytest
import result
from adapter import bootfile, callers, kvstore, servers

from acacialatch import (
    backends,
    deployment,
    entrance,
    errors,
    forwarding,
    httpserver,
    registry,
)

BOOT = """
node_name = "front-a-1"
zone = "a"
ip_address = "10.1.0.9"
internal_port_range = [7380, 7395]
seed_nodes = ["10.1.0.9:8106", "10.2.0.21:8106"]
unknown = 3
[listen_addresses]
front = "10.1.0.9:8104"
ready = "10.1.0.9:8108"
control = "10.1.0.9:8106"
directory = "10.1.0.9:8100"
[limits]
cpu_share = 0.717
cpu_cores = 3
[bounds]
grace_s = 6
config_apply_ms = 3000
retry_budget_ratio = 0.2
budget_window_s = 10
budget_extra_retries = 54
ttl_max_s = 5
[platform]
address = "10.200.1.7:8102"
"""
SERVER = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 3,
    "state": "ready",
    "cold_remaining_ms": 1500,
    "sequence": 4,
    "born": 17,
}
ROUTE = {
    "name": "r-1",
    "host": "pupu76.example",
    "prefix": "/bapu561/",
    "route_kind": "idempotent",
    "timeout_ms": 800,
    "target_latency_ms": 95,
    "priority": 2,
    "max_attempts": 2,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            **ROUTE,
            "fan_out_services": ["s1", "s2"],
            "top_k": 5,
            "min_shard_fraction": 0.75,
        },
        {**ROUTE, "route_kind": "non_idempotent", "service": "s1"},
        {
            **ROUTE,
            "traffic_split": [
                {"service": "s1", "weight": 3},
                {"service": "s2", "weight": 1},
            ],
        },
    ],
    "services": [{"name": "s1", "max_connections": 31, "cold_per_s": 0.5}],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 262144,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
}


def make_item(key, value, revision=5):
    text = base64.b64encode(json.dumps(value).encode()).decode()
    return {"key": key, "value": text, "revision": revision}


def make_message(fields=(), target="/bapu561/2f?x=1", method="GET", body=b""):
    path, _, query = target.partition("?")
    headers = {name.decode(): value.decode() for name, value in fields}
    return httpserver.Request(
        method, path, query, headers, body, "10.0.0.1", target, tuple(fields)
    )


def make_send(timeout_s=0.5, method="GET", body=b"", fields=()):
    request = forwarding.Request(
        "9c41", "pupu76.example", method, "/a/b?x=1", "/a/b", fields, body, 1.0
    )
    return forwarding.Send(1, "10.1.1.1:80", "i-1", request, timeout_s, False, 4)


def test_standard_module_keeps_its_name():
    """Guards against an adapter folder that hides a module of Python."""
    assert standard_platform.system() == "Linux"


def test_settings_are_decoded():
    settings = bootfile.decode(BOOT).ok_value
    assert settings.caller_address == "10.1.0.9:8104"
    assert settings.gossip_address == "10.1.0.9:7380"
    assert settings.seeds == ("10.1.0.9:7380", "10.2.0.21:7380")
    assert settings.budgets == (0.2, 54.0, 10.0)
    assert settings.stop_s < 6
    assert settings.capacity == pytest.approx(2.151)
    assert settings.watch_s + kvstore.CALL_TIMEOUT_S < 3.3
    assert settings.pause_s == pytest.approx(0.45)


@pytest.mark.parametrize(
    ("old", "new", "named"),
    [
        ('zone = "a"', "", "zone"),
        ("grace_s = 6", 'grace_s = "soon"', "soon"),
        ("[bounds]", "[bounds", ""),
        ("[7380, 7395]", "[]", "valid"),
    ],
)
def test_wrong_settings_get_a_clear_error(old, new, named):
    refused = bootfile.decode(BOOT.replace(old, new))
    assert isinstance(refused, result.Err)
    assert named in refused.err_value


def test_registration_is_decoded():
    change = kvstore.decode_item(make_item("servers/i-1", SERVER))
    entry = backends.Entry("i-1", "huvo11a", "10.128.0.9:8080", "a", 3, False, 1.5, 17)
    assert change == registry.BackendPut("servers/i-1", 5, entry)


@pytest.mark.parametrize(
    "wrong",
    [
        {"state": "resting"},
        {"state": None},
        {"address": "nowhere"},
        {"address": 7},
        {"slots": "3"},
        {"slots": True},
        {"cold_remaining_ms": "soon"},
        {"service": ["a"]},
        {"born": 1.5},
    ],
)
def test_foreign_registration_names_no_server(wrong):
    change = kvstore.decode_item(make_item("servers/i-1", {**SERVER, **wrong}))
    assert isinstance(change, registry.InvalidValue)


@pytest.mark.parametrize("value", ["%%%", "AAAA", "", 5, None])
def test_bytes_that_cannot_be_read_name_no_server(value):
    item = {"key": "servers/i-1", "value": value, "revision": 5}
    assert isinstance(kvstore.decode_item(item), registry.InvalidValue)


def test_configuration_is_decoded():
    change = kvstore.decode_item(make_item("op/config", CONFIGURATION))
    fan_out, booking, split = change.deployment.routes
    assert fan_out.target == deployment.ShardTarget(("s1", "s2"), 5, 0.75)
    assert fan_out.objective_s == 0.095
    assert booking.kind is deployment.RequestKind.NON_IDEMPOTENT
    assert split.target.shares == (("s1", 3.0), ("s2", 1.0))
    assert change.deployment.services["s1"].cold_requests_per_s == 0.5
    assert change.deployment.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    "wrong", [{"version": "7"}, {"routes": [{}]}, {"limits": None}, {"services": 1}]
)
def test_unreadable_configuration_is_refused(wrong):
    item = make_item("op/config", {**CONFIGURATION, **wrong})
    assert isinstance(kvstore.decode_item(item), registry.InvalidValue)


@pytest.mark.parametrize(
    ("item", "expected"),
    [
        (
            {"key": "servers/i-1", "revision": 9, "compacted": True},
            registry.Removed("servers/i-1", 9),
        ),
        (make_item("op/evacuate/a", {}), registry.ZoneOut("op/evacuate/a", 5, "a")),
        (make_item("op/other", {}), registry.IgnoredKey("op/other", 5)),
        (make_item("my/leader", {}), registry.IgnoredKey("my/leader", 5)),
    ],
)
def test_other_items_are_decoded(item, expected):
    assert kvstore.decode_item(item) == expected


def test_request_of_a_caller_is_decoded():
    fields = (
        (b"host", b"pupu76.example"),
        (b"x-request-id", b"9c41"),
        (b"x-deadline-ms", b"2000"),
        (b"x-expect-instance", b"forged"),
        (b"connection", b"keep-alive, x-hop"),
        (b"x-hop", b"1"),
        (b"accept", b"*/*"),
    )
    request = callers.PlatformCallers().decode(make_message(fields))
    assert request.timeout_s == 2.0
    assert request.target == "/bapu561/2f?x=1"
    assert [name for name, _ in request.fields] == [b"host", b"x-request-id", b"accept"]


@pytest.mark.parametrize(
    "fields",
    [
        ((b"host", b"a"),),
        ((b"x-request-id", b"1"), (b"x-request-id", b"2")),
        ((b"x-request-id", b"1"), (b"x-deadline-ms", b"soon")),
        ((b"x-request-id", b"1"), (b"x-deadline-ms", b"-5")),
    ],
)
def test_wrong_request_is_refused(fields):
    refused = callers.PlatformCallers().decode(make_message(fields))
    assert isinstance(refused, errors.ErrorKind)


def test_merged_answer_is_encoded():
    request = make_send().request
    answer = forwarding.MergedReply(("s1", "s2"), 1, b"records")
    response = callers.PlatformCallers().encode(request, answer)
    fields = dict(response.headers)
    assert (response.status, response.body) == (200, b"records")
    assert fields[b"x-part-stamps"] == b"s1, s2"
    assert fields[b"x-missing-parts"] == b"1"


def test_reply_of_a_server_is_passed_on_unchanged():
    reply = forwarding.Reply(500, "s", ((b"x-server-stamp", b"s"),), b"no")
    response = callers.PlatformCallers().encode(None, forwarding.ForwardedReply(reply))
    assert response == httpserver.Response(500, b"no", reply.fields, "")


@pytest.mark.parametrize("kind", errors.ErrorKind)
def test_refusal_promises_only_what_is_true(kind):
    """Guards against a status that says "not run" for a request that may have run."""
    response = callers.PlatformCallers().encode(None, forwarding.ErrorReply(kind, 0.5))
    shown = errors.ANSWERS[kind]
    assert response.status == shown.status
    if response.status in (408, 421, 429, 503):
        assert shown.run_state is not errors.RunState.UNKNOWN


def test_addresses_are_encoded():
    response = callers.PlatformCallers().encode_addresses(["10.1.0.9:8104"], 2.0)
    assert json.loads(response.body) == {"addrs": ["10.1.0.9:8104"], "ttl_s": 2.0}


@pytest.mark.parametrize(
    ("target", "question"),
    [
        ("/resolution?name=a&region=r&zone=ba-c", entrance.AddressRequest("ba-c")),
        ("/resolution?name=a&zone=ba%2Dc", entrance.AddressRequest("ba-c")),
        ("/resolution", entrance.AddressRequest("")),
        ("/readiness", None),
    ],
)
def test_question_for_addresses_is_decoded(target, question):
    path, _, query = target.partition("?")
    message = httpserver.Request("GET", path, query, {}, b"", "10.9.0.1", target)
    assert callers.PlatformCallers().decode_address_request(message) == question


def test_request_to_a_server_is_encoded():
    fields = ((b"host", b"pupu76.example"), (b"x-request-id", b"9c41"))
    data = servers.PlatformBackends().encode(
        make_send(method="POST", body=b"{}", fields=fields)
    )
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /a/b?x=1 HTTP/1.1"
    assert set(lines[1:]) == {
        b"host: pupu76.example",
        b"x-request-id: 9c41",
        b"x-deadline-ms: 500",
        b"x-expect-instance: i-1",
        b"content-length: 2",
    }
    assert body == b"{}"


SIGNED = (b"X-Server-Stamp", b"s")


@pytest.mark.parametrize(
    ("status", "fields", "kind"),
    [
        (421, [(b"X-Instance-Id", b"i-2")], forwarding.FailureKind.WRONG_SERVER),
        (503, [(b"X-Not-Executed", b"1")], forwarding.FailureKind.SHED),
        (503, [SIGNED], forwarding.FailureKind.CONNECTION_LOST),
        (200, [], forwarding.FailureKind.MALFORMED_REPLY),
        (
            200,
            [SIGNED, (b"X-Request-Id", b"else")],
            forwarding.FailureKind.MALFORMED_REPLY,
        ),
        (
            200,
            [SIGNED, (b"Content-Encoding", b"gzip")],
            forwarding.FailureKind.MALFORMED_REPLY,
        ),
    ],
)
def test_reply_that_does_not_count_is_a_failure(status, fields, kind):
    outcome = servers.PlatformBackends().decode(make_send(), status, fields, b"")
    assert outcome.kind is kind


@pytest.mark.parametrize("status", [200, 404, 500, 504])
def test_reply_of_a_server_is_decoded(status):
    fields = [SIGNED, (b"X-Request-Id", b"9c41"), (b"Connection", b"close")]
    reply = servers.PlatformBackends().decode(make_send(), status, fields, b"body")
    assert (reply.status, reply.signature, reply.body) == (status, "s", b"body")
    assert (b"connection", b"close") not in reply.fields
