"""Tests for acacialatch.batchlink."""

import pytest

from acacialatch import batchlink, errors, forwarding, httpserver

REQUEST = forwarding.Request(
    "r-1",
    "search.example",
    "GET",
    "/page/1?x=%20",
    "/page/1",
    ((b"x-odd", b"\xff\x00"),),
    b"\x00\x01",
    0.5,
)
BATCH = forwarding.Batch(REQUEST, ("shard-0", "shard-1"), 3, 0.05, 0.4)
SEND = forwarding.SendBatch(1, "10.1.0.9:7380", BATCH, 2, 4)
BATCH_REPLY = forwarding.BatchReply(
    9, ((1, "s1"),), (forwarding.OpenShard(0, ("i-1",), True, True, True),), b"r" * 16
)


def make_message(body, path=batchlink.BATCH_PATH):
    return httpserver.Request("POST", path, "", {}, body, "10.1.0.8")


def test_batch_survives_a_round_trip():
    """Guards against fields of a batch that are lost or changed on the wire."""
    head, _, body = batchlink.BatchProtocol().encode(SEND).partition(b"\r\n\r\n")
    assert head.startswith(b"POST /batch HTTP/1.1\r\n")
    assert f"content-length: {len(body)}".encode() in head
    assert batchlink.decode_request(make_message(body)) == BATCH


def test_continuation_survives_a_round_trip():
    """Guards against a continuation decoded as a batch or with wrong fields."""
    continuation = forwarding.BatchContinuation(9, "r-1", 0.03)
    data = batchlink.BatchProtocol().encode(SEND._replace(message=continuation))
    body = data.partition(b"\r\n\r\n")[2]
    message = make_message(body, batchlink.CONTINUATION_PATH)
    assert batchlink.decode_request(message) == continuation


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_malformed_batch_is_none(body):
    """Guards against an exception, or a batch made up, from malformed bytes."""
    assert batchlink.decode_request(make_message(body)) is None


def test_other_path_is_no_batch():
    """Guards against requests to other paths that are taken for batches."""
    body = batchlink.BatchProtocol().encode(SEND).partition(b"\r\n\r\n")[2]
    assert batchlink.decode_request(make_message(body, "/other")) is None


def decode_reply(response):
    return batchlink.BatchProtocol().decode(SEND, response.status, [], response.body)


def test_reply_survives_a_round_trip():
    """Guards against fields of a reply that are lost or changed on the wire."""
    assert decode_reply(batchlink.encode_answer(BATCH_REPLY)) == BATCH_REPLY


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (errors.ErrorKind.NO_CONFIGURATION, forwarding.FailureKind.SHED),
        (errors.ErrorKind.UNKNOWN_PATH, forwarding.FailureKind.SHED),
        (errors.ErrorKind.OUTCOME_UNKNOWN, forwarding.FailureKind.CONNECTION_LOST),
    ],
)
def test_error_reply_shows_whether_the_batch_may_have_run(kind, expected):
    """Guards against a second send of shards that may have run already."""
    refused = batchlink.encode_answer(forwarding.ErrorReply(kind))
    assert decode_reply(refused).kind is expected


@pytest.mark.parametrize(
    "wrong",
    [
        BATCH_REPLY._replace(open=(BATCH_REPLY.open[0]._replace(index=-1),)),
        BATCH_REPLY._replace(arrived=((1, "s"), (1, "t"))),
        BATCH_REPLY._replace(arrived=((2, "s"),)),
    ],
)
def test_reply_with_invalid_shard_indexes_is_malformed(wrong):
    """Guards against replies for shards that were not in the batch or come twice."""
    failure = decode_reply(batchlink.encode_answer(wrong))
    assert failure.kind is forwarding.FailureKind.MALFORMED_REPLY
