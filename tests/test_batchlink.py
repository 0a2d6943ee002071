"""Tests of the messages of batches between entry instances."""

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
GATHERED = forwarding.BatchReply(
    9, ((1, "s1"),), (forwarding.OpenShard(0, ("i-1",), True, True, True),), b"r" * 16
)


def make_message(body, path=batchlink.BATCH_PATH):
    return httpserver.Request("POST", path, "", {}, body, "10.1.0.8")


def test_batch_is_the_same_after_a_round_trip():
    head, _, body = batchlink.BatchProtocol().encode(SEND).partition(b"\r\n\r\n")
    assert head.startswith(b"POST /batch HTTP/1.1\r\n")
    assert f"content-length: {len(body)}".encode() in head
    assert batchlink.decode_request(make_message(body)) == BATCH


def test_question_for_the_rest_is_the_same_after_a_round_trip():
    rest = forwarding.BatchContinuation(9, "r-1", 0.03)
    data = batchlink.BatchProtocol().encode(SEND._replace(message=rest))
    body = data.partition(b"\r\n\r\n")[2]
    message = make_message(body, batchlink.REST_PATH)
    assert batchlink.decode_request(message) == rest


@pytest.mark.parametrize("body", [b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_malformed_batch_is_none(body):
    assert batchlink.decode_request(make_message(body)) is None


def test_other_path_is_no_batch():
    body = batchlink.BatchProtocol().encode(SEND).partition(b"\r\n\r\n")[2]
    assert batchlink.decode_request(make_message(body, "/other")) is None


def decode(response):
    return batchlink.BatchProtocol().decode(SEND, response.status, [], response.body)


def test_reply_is_the_same_after_a_round_trip():
    assert decode(batchlink.encode_answer(GATHERED)) == GATHERED


@pytest.mark.parametrize(
    ("kind", "expected"),
    [
        (errors.ErrorKind.NO_CONFIGURATION, forwarding.FailureKind.SHED),
        (errors.ErrorKind.UNKNOWN_PATH, forwarding.FailureKind.SHED),
        (errors.ErrorKind.OUTCOME_UNKNOWN, forwarding.FailureKind.CONNECTION_LOST),
    ],
)
def test_refusal_says_whether_the_batch_may_have_run(kind, expected):
    refused = batchlink.encode_answer(forwarding.ErrorReply(kind))
    assert decode(refused).kind is expected


@pytest.mark.parametrize(
    "wrong",
    [
        GATHERED._replace(open=(GATHERED.open[0]._replace(index=-1),)),
        GATHERED._replace(arrived=((1, "s"), (1, "t"))),
        GATHERED._replace(arrived=((2, "s"),)),
    ],
)
def test_reply_to_other_shards_does_not_count(wrong):
    failure = decode(batchlink.encode_answer(wrong))
    assert failure.kind is forwarding.FailureKind.MALFORMED_REPLY
