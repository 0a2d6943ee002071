"""Tests for the adapter to the platform."""

import base64
import json
import math
import platform as standard_platform

import pytest
import result
from adapter import bootfile, callers, kvstore, servers

from acacialatch import (
    backendclient,
    backends,
    decoding,
    deployment,
    entryinstance,
    errors,
    forwarding,
    httpserver,
    registry,
)

SETTINGS_TEXT = """
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
REGISTRATION = {
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
DEPLOYMENT = {
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
    """Guards against a directory `platform` that shadows the standard module."""
    assert standard_platform.system() == "Linux"


def test_settings_are_decoded():
    """Guards against wrong units, ports or time limits in the decoded settings."""
    settings = bootfile.decode(SETTINGS_TEXT).ok_value
    assert settings.caller_address == "10.1.0.9:8104"
    assert settings.gossip_address == "10.1.0.9:7380"
    assert settings.seeds == ("10.1.0.9:7380", "10.2.0.21:7380")
    assert settings.budgets == (0.2, 54.0, 10.0)
    assert settings.stop_s < 6
    assert settings.capacity == pytest.approx(2.151)
    assert settings.reads.bound_s == 3.0
    assert settings.reads.pause_s == pytest.approx(0.45)
    assert settings.reads.idle_pause_s == pytest.approx(1.35)


@pytest.mark.parametrize(
    ("drain_ms", "evacuation_ms", "bound_s"),
    [(3000, 5000, 2.6), (5000, 3000, 2.6), (9000, 9000, 3.0)],
)
def test_reads_leave_time_for_the_last_request_to_a_leaving_server(
    drain_ms, evacuation_ms, bound_s
):
    """Guards against a bound that the reads use up before a connection is open."""
    bounds = f"[bounds]\ndrain_ms = {drain_ms}\nevacuation_ms = {evacuation_ms}"
    text = SETTINGS_TEXT.replace("[bounds]", bounds)
    settings = bootfile.decode(text).ok_value
    assert settings.reads.bound_s == pytest.approx(bound_s)
    last_send_s = settings.reads.bound_s + backendclient.CONNECT_TIMEOUT_S
    assert last_send_s < min(drain_ms, evacuation_ms) / 1000


@pytest.mark.parametrize(
    ("old", "new", "expected_text"),
    [
        ('zone = "a"', "", "zone"),
        ("grace_s = 6", 'grace_s = "soon"', "soon"),
        ("[bounds]", "[bounds", ""),
        ("[7380, 7395]", "[]", "valid"),
        ("config_apply_ms = 3000", "config_apply_ms = 400", "0.4"),
    ],
)
def test_invalid_settings_are_refused(old, new, expected_text):
    """Guards against a settings error that raises or does not name the problem."""
    refused = bootfile.decode(SETTINGS_TEXT.replace(old, new))
    assert isinstance(refused, result.Err)
    assert expected_text in refused.err_value


def test_registration_is_decoded():
    """Guards against mixed-up fields or units of a registration."""
    change = kvstore.decode_item(make_item("servers/i-1", REGISTRATION))
    entry = backends.Entry(
        "i-1", "huvo11a", "10.128.0.9:8080", "a", 3, False, 1.5, 17, 4
    )
    assert change == registry.BackendPut("servers/i-1", 5, entry)


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"state": "resting"},
        {"state": None},
        {"address": "nowhere"},
        {"address": "10.0.0.1:99999"},
        {"address": "10.0.0.1:\u00b2"},
        {"address": "host:80"},
        {"address": 7},
        {"slots": "3"},
        {"slots": True},
        {"cold_remaining_ms": "soon"},
        {"service": ["a"]},
        {"born": 1.5},
        {"sequence": "4"},
    ],
)
def test_invalid_registration_is_refused(invalid_fields):
    """Guards against a backend server made from a registration with invalid fields."""
    change = kvstore.decode_item(
        make_item("servers/i-1", {**REGISTRATION, **invalid_fields})
    )
    assert isinstance(change, registry.InvalidValue)


@pytest.mark.parametrize("identity", ["", "i 1", "i-1\r\nx: y", "\u00e9"])
def test_registration_with_an_unusable_identity_is_refused(identity):
    """Guards against an identity that splits a header or cannot be encoded."""
    change = kvstore.decode_item(make_item(f"servers/{identity}", REGISTRATION))
    assert isinstance(change, registry.InvalidValue)


ODD_VALUES = {
    "nested lists": b'{"service": "a", "zone": %s%s}' % (b"[" * 9000, b"]" * 9000),
    "nested objects": b'{"a":' * 9000 + b"1" + b"}" * 9000,
    "nested in a field that is not used": json.dumps(REGISTRATION).encode()[:-1]
    + b', "other": %s%s}' % (b"[" * 9000, b"]" * 9000),
    "large number": b'{"slots": 1%s}' % (b"0" * 5000),
    "large exponent": b'{"slots": 1e99999}',
    "not UTF-8": b'{"zone": "\xff\xfe"}',
    "unpaired surrogate": b'{"state": "\\ud800"}',
    "long text": b'{"state": "%s"}' % (b"x" * 1_000_000),
    "NUL": b"\0" * 10,
}


@pytest.mark.parametrize("key", ["servers/i-1", "op/config"])
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_value_of_another_writer_is_refused(key, value):
    """Guards against a value whose decoder raises an exception that is not expected."""
    text = base64.b64encode(value).decode()
    change = kvstore.decode_item({"key": key, "value": text, "revision": 5})
    assert isinstance(change, registry.InvalidValue)
    assert len(change.reason) <= decoding.DETAIL_LENGTH_MAX


@pytest.mark.parametrize("value", ["%%%", "AAAA", "", 5, None])
def test_undecodable_registration_is_refused(value):
    """Guards against a value that is not base64 or JSON and stops the store watch."""
    item = {"key": "servers/i-1", "value": value, "revision": 5}
    assert isinstance(kvstore.decode_item(item), registry.InvalidValue)


def test_deployment_is_decoded():
    """Guards against mixed-up fields, units or targets of routes."""
    change = kvstore.decode_item(make_item("op/config", DEPLOYMENT))
    fan_out, non_idempotent, split = change.deployment.routes
    assert fan_out.target == deployment.ShardTarget(("s1", "s2"), 5, 0.75)
    assert fan_out.objective_s == 0.095
    assert non_idempotent.kind is deployment.RequestKind.NON_IDEMPOTENT
    assert split.target.shares == (("s1", 3.0), ("s2", 1.0))
    assert change.deployment.services["s1"].cold_requests_per_s == 0.5
    assert change.deployment.limits.idle_timeout_s == 15.0


@pytest.mark.parametrize(
    "invalid_fields",
    [
        {"version": "7"},
        {"routes": [{}]},
        {"limits": None},
        {"services": 1},
        {"routes": [{**ROUTE, "service": "s1", "max_attempts": "2"}]},
        {"routes": [{**ROUTE, "fan_out_services": [[]], "top_k": 1}]},
        {"routes": [{**ROUTE, "traffic_split": [{"service": "s1", "weight": 0}]}]},
    ],
)
def test_invalid_deployment_is_refused(invalid_fields):
    """Guards against a deployment in force although a field is invalid."""
    item = make_item("op/config", {**DEPLOYMENT, **invalid_fields})
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
    """Guards against missed removals and evacuations, and errors for unknown keys."""
    assert kvstore.decode_item(item) == expected


def test_caller_request_is_decoded():
    """Guards against hop-by-hop or forged header fields passed to backend servers."""
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
def test_invalid_request_is_refused(fields):
    """Guards against a request without one identifier, or with an invalid deadline."""
    refused = callers.PlatformCallers().decode(make_message(fields))
    assert isinstance(refused, errors.ErrorKind)


def test_merged_answer_is_encoded():
    """Guards against a merged answer without its signatures or missing shards."""
    request = make_send().request
    answer = forwarding.MergedReply(("s1", "s2"), 1, b"records")
    response = callers.PlatformCallers().encode(request, answer)
    fields = dict(response.headers)
    assert (response.status, response.body) == (200, b"records")
    assert fields[b"x-part-stamps"] == b"s1, s2"
    assert fields[b"x-missing-parts"] == b"1"


def test_server_reply_is_passed_on_unchanged():
    """Guards against an error reply of a server that is rewritten for the caller."""
    reply = forwarding.Reply(500, "s", ((b"x-server-stamp", b"s"),), b"no")
    response = callers.PlatformCallers().encode(None, forwarding.ForwardedReply(reply))
    assert response == httpserver.Response(500, b"no", reply.fields, "")


@pytest.mark.parametrize("kind", errors.ErrorKind)
def test_error_status_matches_run_state(kind):
    """Guards against a status that says "not run" for a request that may have run."""
    response = callers.PlatformCallers().encode(None, forwarding.ErrorReply(kind, 0.5))
    error_answer = errors.ANSWERS[kind]
    assert response.status == error_answer.status
    if response.status in (408, 421, 429, 503):
        assert error_answer.run_state is not errors.RunState.UNKNOWN


def test_addresses_are_encoded():
    """Guards against a changed format of the addresses told to callers."""
    response = callers.PlatformCallers().encode_addresses(["10.1.0.9:8104"], 2.0)
    assert json.loads(response.body) == {"addrs": ["10.1.0.9:8104"], "ttl_s": 2.0}


@pytest.mark.parametrize(
    ("target", "question"),
    [
        ("/resolution?name=a&region=r&zone=ba-c", entryinstance.AddressRequest("ba-c")),
        ("/resolution?name=a&zone=ba%2Dc", entryinstance.AddressRequest("ba-c")),
        ("/resolution", entryinstance.AddressRequest("")),
        ("/readiness", None),
    ],
)
def test_address_query_is_decoded(target, question):
    """Guards against a zone that is ignored, or another path taken for a query."""
    path, _, query = target.partition("?")
    message = httpserver.Request("GET", path, query, {}, b"", "10.9.0.1", target)
    assert callers.PlatformCallers().decode_address_request(message) == question


def test_server_request_is_encoded():
    """Guards against missing or duplicate header fields, and a wrong body length."""
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
OWN = (b"X-Request-Id", b"9c41")
OTHER = (b"X-Request-Id", b"else")


@pytest.mark.parametrize(
    ("status", "fields", "kind"),
    [
        (421, [OWN, (b"X-Instance-Id", b"i-2")], forwarding.FailureKind.WRONG_SERVER),
        (503, [OWN, (b"X-Not-Executed", b"1")], forwarding.FailureKind.SHED),
        (503, [OWN, SIGNED], forwarding.FailureKind.CONNECTION_LOST),
        (200, [OWN], forwarding.FailureKind.MALFORMED_REPLY),
        (200, [SIGNED, OTHER], forwarding.FailureKind.OTHER_REQUEST),
        (421, [OTHER], forwarding.FailureKind.OTHER_REQUEST),
        (503, [OTHER, (b"X-Not-Executed", b"1")], forwarding.FailureKind.OTHER_REQUEST),
        (200, [SIGNED], forwarding.FailureKind.MALFORMED_REPLY),
        (421, [], forwarding.FailureKind.MALFORMED_REPLY),
        (503, [(b"X-Not-Executed", b"1")], forwarding.FailureKind.MALFORMED_REPLY),
        (200, [SIGNED, OWN, OTHER], forwarding.FailureKind.MALFORMED_REPLY),
        (
            200,
            [OWN, SIGNED, (b"Content-Encoding", b"gzip")],
            forwarding.FailureKind.MALFORMED_REPLY,
        ),
    ],
)
def test_unusable_reply_is_a_failure(status, fields, kind):
    """Guards against a passed-on reply that is invalid or from another server."""
    outcome = servers.PlatformBackends().decode(make_send(), status, fields, b"")
    assert outcome.kind is kind


@pytest.mark.parametrize("status", [200, 404, 500, 504])
def test_server_reply_is_decoded(status):
    """Guards against a valid reply refused, and hop-by-hop fields passed on."""
    fields = [SIGNED, (b"X-Request-Id", b"9c41"), (b"Connection", b"close")]
    reply = servers.PlatformBackends().decode(make_send(), status, fields, b"body")
    assert (reply.status, reply.signature, reply.body) == (status, "s", b"body")
    assert (b"connection", b"close") not in reply.fields


@pytest.mark.parametrize(
    ("values", "limit"),
    [
        ([], math.inf),
        ([b"2"], 2.0),
        ([b"0.25"], 0.25),
        ([b"0"], 0.0),
        ([b"7", b"2.5"], 2.5),
        ([b"7, 2.5"], 2.5),
        ([b"x", b"3"], 3.0),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e3"], None),
        ([b"9" * 400], None),
        ([b""], None),
    ],
)
def test_rate_limit_of_a_reply_is_decoded(values, limit):
    """Guards against a malformed limit that is believed or ends another one."""
    fields = [SIGNED, (b"X-Request-Id", b"9c41")]
    fields += [(b"Server-Limit", value) for value in values]
    reply = servers.PlatformBackends().decode(make_send(), 200, fields, b"body")
    assert reply.rate_limit == limit


def test_refused_request_tells_the_limit_but_not_its_end():
    """Guards against a limit that ends with a refusal that does not name it."""
    fields = [(b"X-Request-Id", b"9c41"), (b"X-Not-Executed", b"1")]
    decode = servers.PlatformBackends().decode
    assert decode(make_send(), 429, fields, b"").rate_limit is None
    fields.append((b"Server-Limit", b"2"))
    assert decode(make_send(), 429, fields, b"").rate_limit == 2.0


@pytest.mark.parametrize(
    ("values", "era"), [([], None), ([b"1"], 1), ([b"7", b"7"], 7), ([b"0"], 0)]
)
def test_era_of_the_store_is_decoded(values, era):
    """Guards against an answer that is taken for one of another era."""
    fields = tuple((b"store-era", value) for value in values)
    assert kvstore.read_era(fields) == era


@pytest.mark.parametrize("values", [[b"-1"], [b"x"], [b""], [b"1", b"2"], [b"9" * 30]])
def test_malformed_era_is_refused(values):
    """Guards against an answer of an unknown era that is believed."""
    fields = tuple((b"store-era", value) for value in values)
    with pytest.raises(kvstore.FormatError):
        kvstore.read_era(fields)
