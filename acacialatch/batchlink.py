"""Protocol of batches between entry instances: HTTP with msgpack bodies."""

import msgspec
import result

from acacialatch import backendclient, decoding, errors, forwarding, httpserver

BATCH_PATH = "/batch"
CONTINUATION_PATH = "/batch/rest"
_ENCODER = msgspec.msgpack.Encoder()
_REQUEST_DECODERS = {
    BATCH_PATH: msgspec.msgpack.Decoder(forwarding.Batch),
    CONTINUATION_PATH: msgspec.msgpack.Decoder(forwarding.BatchContinuation),
}
_REPLY_DECODER = msgspec.msgpack.Decoder(forwarding.BatchReply)


class BatchProtocol(backendclient.BackendProtocol):
    """Encodes batches and decodes their replies, on the sending side."""

    def encode(self, send: forwarding.Outgoing) -> bytes:
        """Return the bytes of a batch or its continuation as an HTTP request."""
        assert isinstance(send, forwarding.SendBatch)
        body = _ENCODER.encode(send.message)
        is_batch = isinstance(send.message, forwarding.Batch)
        path = BATCH_PATH if is_batch else CONTINUATION_PATH
        head = f"POST {path} HTTP/1.1\r\nhost: {send.address}\r\n"
        return f"{head}content-length: {len(body)}\r\n\r\n".encode() + body

    def decode(
        self,
        send: forwarding.Outgoing,
        status: int,
        fields: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> forwarding.BatchReply | forwarding.SendFailure:
        """Return the reply, or the failure if it is no valid reply to the batch.

        The status of `NOT_RUN` means that nothing has run for the batch. After any
        other error status shards may have run, as after a lost connection. See
        `backendclient.BackendProtocol` for the parameters.
        """
        assert isinstance(send, forwarding.SendBatch)
        if status == errors.ANSWERS[errors.ErrorKind.NOT_RUN].status:
            return forwarding.SendFailure(forwarding.FailureKind.SHED, str(status))
        if status != 200:
            return forwarding.SendFailure(
                forwarding.FailureKind.CONNECTION_LOST, str(status)
            )
        decoded = decoding.decode(_REPLY_DECODER.decode, body)
        if isinstance(decoded, result.Err):
            return forwarding.SendFailure(
                forwarding.FailureKind.MALFORMED_REPLY, decoded.err_value
            )
        reply = decoded.ok_value
        indexes = [index for index, _ in reply.arrived]
        indexes += [shard.index for shard in reply.open]
        if not _are_distinct_indexes(indexes, send.shards):
            detail = "reply to other shards"
            return forwarding.SendFailure(
                forwarding.FailureKind.MALFORMED_REPLY, detail
            )
        return reply


def _are_distinct_indexes(indexes: list[int], shards: int) -> bool:
    """Return whether the indexes are distinct and within a batch of `shards`."""
    in_range = all(0 <= index < shards for index in indexes)
    return in_range and len(set(indexes)) == len(indexes)


def decode_request(
    message: httpserver.Request,
) -> forwarding.Batch | forwarding.BatchContinuation | None:
    """Return the batch or continuation in a request, or None if it is malformed."""
    decoder = _REQUEST_DECODERS.get(message.path)
    if decoder is None or message.method != "POST":
        return None
    return decoding.decode(decoder.decode, message.body).unwrap_or(None)


def encode_answer(answer: forwarding.Answer) -> httpserver.Response:
    """Return the HTTP response for the answer to a batch or its continuation.

    All errors after which nothing has run share the status of `NOT_RUN`.
    """
    if isinstance(answer, forwarding.BatchReply):
        return httpserver.Response(200, _ENCODER.encode(answer), (), "")
    assert isinstance(answer, forwarding.ErrorReply)
    kind = answer.kind
    if errors.ANSWERS[kind].run_state is errors.RunState.NOT_RUN:
        kind = errors.ErrorKind.NOT_RUN
    return httpserver.Response(errors.ANSWERS[kind].status, b"", (), "")
