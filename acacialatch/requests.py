"""At-most-once execution of non-idempotent requests under idempotency keys.

The ledger decides whether a request is sent, repeated on another replica, forwarded
or refused, and what each caller is answered.

A key is closed when its request is refused as not run. Every later request with a
closed key is refused as well, since a copy that is still in transit must not run
after a caller was told that nothing ran. A caller that retries needs a new key.
"""

import heapq
import typing

import result

from acacialatch import callers, errors, forwards, idempotency, keys, requestdata

# With the largest stored replies, the records take about 64 MiB: a quarter of the
# 256 MB that an entry instance may use for control work.
RECORDS_MAX = 8192
STORED_REPLY_BYTES_MAX = 8192

CALLERS_MAX = 4096

_STATUS_OK_MIN = 200
_STATUS_SERVER_ERROR_MIN = 500
_STATUS_UNAVAILABLE = 503

_UNVERIFIED_KEY_FAILURES = {
    keys.KeyStatus.FORGED: errors.Failure(errors.ErrorKind.KEY_INVALID, "forged key"),
    keys.KeyStatus.WRONG_INCARNATION: requestdata.make_unknown(
        "the issuer has restarted"
    ),
}
_EXPIRED_KEY_FAILURES = {
    keys.KeyStatus.FORGOTTEN: requestdata.make_unknown("the key expired too long ago"),
    keys.KeyStatus.EXPIRED: errors.Failure(errors.ErrorKind.KEY_EXPIRED),
}


class Limits(typing.NamedTuple):
    """Memory limits of a ledger.

    Attributes
    ----------
    records : int
        Maximum number of idempotency records.
    reply_bytes : int
        Largest body of a stored reply, in bytes.
    callers : int
        Maximum number of waiting callers, counted separately for the requests that
        this entry instance runs and for those that it forwards.
    keys : int
        Maximum number of issued keys within their retention period.
    """

    records: int = RECORDS_MAX
    reply_bytes: int = STORED_REPLY_BYTES_MAX
    callers: int = CALLERS_MAX
    keys: int = keys.KEYS_MAX


class RequestLedger:
    """Runs each non-idempotent request of one entry instance at most once.

    Methods that handle events return the actions that the engine must carry out, in
    order. The engine must pass every request that carries a key, also one that it
    would refuse itself (it gives the reason as `View.refusal`): only the ledger
    knows whether "not run" is a true answer.

    Parameters
    ----------
    issuer : str
        Identifier of this entry instance: its address for peers.
    incarnation : bytes
        16 random bytes generated at process start.
    secret : bytes
        At least 32 random bytes generated at process start.
    limits : Limits
        Memory limits.

    Attributes
    ----------
    forwards : forwards.ForwardTable
        Requests forwarded to other entry instances; handles the events of forwards.

    Raises
    ------
    ValueError
        If the issuer, incarnation or secret does not have the stated format.
    """

    def __init__(
        self,
        issuer: str,
        incarnation: bytes,
        secret: bytes,
        limits: Limits = Limits(),  # noqa: B008
    ) -> None:
        self.forwards = forwards.ForwardTable(limits.callers)
        self._limits = limits
        self._key_issuer = keys.KeyIssuer(issuer, incarnation, secret, limits.keys)
        self._is_shut_down = False
        self._records: dict[int, idempotency.IdempotencyRecord] = {}
        self._records_by_attempt: dict[str, idempotency.IdempotencyRecord] = {}
        # Answers to all further requests with a key, by serial: for closed keys and
        # for expired keys whose record was dropped.
        self._closed_keys: dict[int, errors.Failure] = {}
        self._callers: callers.CallerTable[idempotency.IdempotencyRecord] = (
            callers.CallerTable(limits.callers)
        )
        # Heap of (time of the next check, serial, end of retention), with one item
        # for each key that was used.
        self._key_expiries: list[tuple[float, int, float]] = []

    def issue_key(self, now: float) -> result.Result[str, errors.Failure]:
        """Issue a key, or fail with `overloaded` or `shutting_down`.

        `now` is the time on the monotonic clock, in seconds.
        """
        if self._is_shut_down:
            return result.Err(errors.Failure(errors.ErrorKind.SHUTTING_DOWN))
        return self._key_issuer.issue(now)

    def handle_request(
        self, now: float, request: requestdata.Request, view: requestdata.View
    ) -> list[requestdata.Action]:
        """Decide what happens to a request of a caller or a peer.

        The first request with a key is sent. A repeat gets the recorded outcome or
        waits for the request in progress. A request whose key another entry instance
        issued is forwarded to it.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        request : requestdata.Request
            Request as received.
        view : requestdata.View
            Usable replicas and reasons not to send.

        Returns
        -------
        list
            `Send`, `Forward` or `Answer` for this caller, or nothing if it waits
            for the request in progress; also the actions of `expire`.

        Raises
        ------
        ValueError
            If the caller identifier is in use.
        """
        if request.caller in self._callers or request.caller in self.forwards:
            raise ValueError(f"caller {request.caller!r} is already waiting")
        actions = self.expire(now)
        parsed = keys.parse(request.key)
        if isinstance(parsed, result.Err):
            return [*actions, requestdata.Answer(request.caller, parsed.err_value)]
        key = parsed.ok_value
        status = self._key_issuer.verify(now, key)
        if status is keys.KeyStatus.WRONG_ISSUER:
            return actions + self.forwards.handle_request(now, request, key)
        if status in _UNVERIFIED_KEY_FAILURES:
            return [
                *actions,
                requestdata.Answer(request.caller, _UNVERIFIED_KEY_FAILURES[status]),
            ]
        if key.serial in self._records:
            return actions + self._handle_duplicate(
                now, request, self._records[key.serial]
            )
        failure = self._closed_keys.get(key.serial, _EXPIRED_KEY_FAILURES.get(status))
        if failure is not None:
            return [*actions, requestdata.Answer(request.caller, failure)]
        return actions + self._open_record(now, request, key, view)

    def authorize_send(
        self, now: float, request_id: str, last_active_at: float, view: requestdata.View
    ) -> result.Result[float, list[requestdata.Action]]:
        """Decide whether the first byte of an attempt may be written now.

        Must be called directly before the write. From then on the request counts as
        sent, even if the write fails.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds, read with no wait between the
            reading and the write.
        request_id : str
            Identifier of the attempt.
        last_active_at : float
            Time of the last exchange on the connection or of its set-up, in seconds.
        view : requestdata.View
            State at `now`. The replica of the attempt must be among the usable ones
            unless it has become unusable since, for example because its zone was
            taken out.

        Returns
        -------
        result.Result
            The deadline for the backend server, in seconds; or, if nothing may be
            written, the actions to carry out instead.
        """
        record = self._records_by_attempt.get(request_id)
        if record is None or not record.is_unsent():
            return result.Err(self.expire(now))
        failure = self._check_send(now, record, view)
        if failure is not None:
            return result.Err(self._close_key(record, failure) + self.expire(now))
        is_usable = record.is_replica_usable(view)
        if not is_usable or idempotency.is_connection_stale(now, last_active_at):
            self._end_attempt(record)
            if is_usable:
                record.tried.discard(record.address)
            actions = self._start_next_attempt(now, record, view) + self.expire(now)
            return result.Err([requestdata.CancelAttempt(request_id), *actions])
        record.stage = idempotency.Stage.SENT
        return result.Ok(max(record.callers.values()))

    def handle_refusal(
        self,
        now: float,
        request_id: str,
        reply: requestdata.Reply,
        view: requestdata.View,
    ) -> list[requestdata.Action]:
        """Handle a reply with `x-refused: before-run` by trying another replica.

        With it the backend server states that it did not run the request. The
        statement counts only with status 503 and the identifier of the attempt;
        any other reply is passed to `handle_reply`.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        request_id : str
            Identifier of the attempt whose connection carried the reply.
        reply : requestdata.Reply
            Reply as read.
        view : requestdata.View
            Usable replicas and reasons not to send.
        """
        actions = self.expire(now)
        record = self._records_by_attempt.get(request_id)
        is_match = reply.request_id == request_id
        is_refusal = is_match and reply.status == _STATUS_UNAVAILABLE
        if record is None or record.is_unsent() or not is_refusal:
            return actions + self.handle_reply(now, request_id, reply)
        self._end_attempt(record)
        return actions + self._start_next_attempt(now, record, view)

    def handle_reply(
        self, now: float, request_id: str, reply: requestdata.Reply
    ) -> list[requestdata.Action]:
        """Record the outcome that a reply gives and answer the waiting callers.

        A reply that arrives after the callers were answered replaces their unknown
        outcome for later repeats of the key. A reply that is incomplete or carries the
        identifier of another attempt leaves the outcome unknown, and so does a status
        below 200 or from 500 up: a `5xx` does not say whether the request ran.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        request_id : str
            Identifier of the attempt whose connection carried the reply.
        reply : requestdata.Reply
            Reply as read.
        """
        record = self._records_by_attempt.get(request_id)
        if record is None or record.is_unsent():
            return [requestdata.CancelAttempt(request_id), *self.expire(now)]
        if reply.request_id != request_id or not reply.is_complete:
            unknown = requestdata.make_unknown("the reply could not be verified")
            actions = [
                *self._settle(record, unknown),
                requestdata.CancelAttempt(request_id),
            ]
            return actions + self.expire(now)
        self._end_attempt(record)
        if not _STATUS_OK_MIN <= reply.status < _STATUS_SERVER_ERROR_MIN:
            unknown = requestdata.make_unknown(f"the reply has status {reply.status}")
            return self._settle(record, unknown) + self.expire(now)
        actions = self._settle(record, reply)
        if len(reply.body) > self._limits.reply_bytes:
            record.outcome = requestdata.make_unknown(
                "the reply was too large to be stored"
            )
        return actions + self.expire(now)

    def handle_attempt_failure(
        self, now: float, request_id: str, view: requestdata.View
    ) -> list[requestdata.Action]:
        """Handle an attempt that failed to connect, lost its connection or timed out.

        Another replica is tried only if `authorize_send` has not allowed this attempt.
        Otherwise the request may have run, and the outcome is unknown.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        request_id : str
            Identifier of the attempt.
        view : requestdata.View
            Usable replicas and reasons not to send.
        """
        actions = self.expire(now)
        record = self._records_by_attempt.get(request_id)
        if record is None or record.stage is idempotency.Stage.SETTLED:
            return actions
        if record.stage is idempotency.Stage.SENT:
            unknown = requestdata.make_unknown("the connection was lost")
            return actions + self._settle(record, unknown)
        self._end_attempt(record)
        return actions + self._start_next_attempt(now, record, view)

    def handle_caller_gone(self, now: float, caller: str) -> list[requestdata.Action]:
        """Forget a caller that closed its connection.

        If it was the last one that waited for an unsent request, the key is closed.
        """
        self.forwards.remove_caller(caller)
        actions: list[requestdata.Action] = []
        record = self._callers.remove(caller)
        if record is not None:
            del record.callers[caller]
            if record.is_unsent() and not record.callers:
                actions = self._close_key(
                    record, requestdata.make_not_run("the caller left")
                )
        return actions + self.expire(now)

    def expire(self, now: float) -> list[requestdata.Action]:
        """Handle the caller deadlines and key expiries due by `now`, in seconds."""
        actions = self.forwards.expire(now)
        while (caller := self._callers.find_overdue(now)) is not None:
            actions += self._handle_deadline(now, caller)
        while self._key_expiries and self._key_expiries[0][0] <= now:
            _, serial, retained_until = heapq.heappop(self._key_expiries)
            actions += self._handle_key_expiry(now, serial, retained_until)
        return actions

    def next_timer(self) -> float | None:
        """Return the time in seconds at which `expire` is due, None if it is not."""
        times = [self.forwards.next_timer(), self._callers.next_deadline()]
        if self._key_expiries:
            times.append(self._key_expiries[0][0])
        return min((time for time in times if time is not None), default=None)

    def shut_down(self, now: float) -> list[requestdata.Action]:
        """Answer every waiting caller, and send nothing from now on.

        A request that was not sent is refused with `shutting_down`; the outcome of one
        that was sent is unknown.
        """
        actions = self.expire(now) + self.forwards.shut_down()
        self._is_shut_down = True
        for record in list(self._records.values()):
            if record.is_unsent():
                stopped = errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
                actions += self._close_key(record, stopped)
            elif record.stage is idempotency.Stage.SENT:
                unknown = requestdata.make_unknown("the process was stopped")
                actions += self._settle(record, unknown)
        return actions

    def _open_record(
        self,
        now: float,
        request: requestdata.Request,
        key: keys.Key,
        view: requestdata.View,
    ) -> list[requestdata.Action]:
        """Handle the first request with a key: start an attempt or close the key."""
        expiry = (key.expires_at(), key.serial, key.retained_until())
        heapq.heappush(self._key_expiries, expiry)
        failure = self._check_admission(now, request)
        if failure is not None:
            self._closed_keys[key.serial] = failure
            return [requestdata.Answer(request.caller, failure)]
        record = self._records[key.serial] = idempotency.IdempotencyRecord(
            key, request.body_digest
        )
        self._add_caller(request, record)
        return self._start_next_attempt(now, record, view)

    def _check_admission(
        self, now: float, request: requestdata.Request
    ) -> errors.Failure | None:
        """Return why a request with a new key is refused, None if it is not."""
        if self._is_shut_down:
            return errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
        if request.deadline <= now:
            return requestdata.make_not_run("the deadline passed before the send")
        if len(self._records) >= self._limits.records or self._callers.is_full():
            return errors.Failure(errors.ErrorKind.OVERLOADED)
        return None

    def _handle_duplicate(
        self,
        now: float,
        request: requestdata.Request,
        record: idempotency.IdempotencyRecord,
    ) -> list[requestdata.Action]:
        """Answer a request whose key has a record, or let it wait for the outcome.

        Another body under the same key is refused with `key_reused`. A caller that
        cannot wait is told that the outcome is unknown, since the request may still
        run.
        """
        outcome = record.outcome
        if request.body_digest != record.body_digest:
            outcome = errors.Failure(errors.ErrorKind.KEY_REUSED)
        elif outcome is None and (request.deadline <= now or self._callers.is_full()):
            outcome = requestdata.make_unknown("the request is in progress")
        if outcome is not None:
            return [requestdata.Answer(request.caller, outcome)]
        self._add_caller(request, record)
        return []

    def _add_caller(
        self, request: requestdata.Request, record: idempotency.IdempotencyRecord
    ) -> None:
        record.callers[request.caller] = request.deadline
        self._callers.add(request.caller, request.deadline, record)

    def _check_send(
        self, now: float, record: idempotency.IdempotencyRecord, view: requestdata.View
    ) -> errors.Failure | None:
        """Return why a request must not be sent now, None if it may be sent."""
        if now >= record.key.expires_at():
            return errors.Failure(errors.ErrorKind.KEY_EXPIRED)
        if max(record.callers.values(), default=now) <= now:
            return requestdata.make_not_run("no caller waits any longer")
        if view.refusal is not None:
            return errors.Failure(view.refusal)
        if not view.is_current:
            return errors.Failure(errors.ErrorKind.NOT_CURRENT)
        return None

    def _start_next_attempt(
        self, now: float, record: idempotency.IdempotencyRecord, view: requestdata.View
    ) -> list[requestdata.Action]:
        """Start an attempt at the next replica, or close the key as not run."""
        failure = self._check_send(now, record, view)
        send = None if failure is not None else record.start_attempt(now, view)
        if send is None:
            return self._close_key(
                record, failure or requestdata.make_not_run("no usable replica")
            )
        self._records_by_attempt[record.request_id] = record
        return [send]

    def _end_attempt(self, record: idempotency.IdempotencyRecord) -> None:
        self._records_by_attempt.pop(record.request_id, None)
        record.request_id = ""

    def _settle(
        self, record: idempotency.IdempotencyRecord, outcome: requestdata.Outcome
    ) -> list[requestdata.Action]:
        """Record the outcome and answer every waiting caller with it."""
        record.stage = idempotency.Stage.SETTLED
        record.outcome = outcome
        waiting, record.callers = record.callers, {}
        for caller in waiting:
            self._callers.remove(caller)
        return [requestdata.Answer(caller, outcome) for caller in waiting]

    def _close_key(
        self, record: idempotency.IdempotencyRecord, failure: errors.Failure
    ) -> list[requestdata.Action]:
        """Refuse this and all later requests with the key as not run.

        `failure` must be of a kind whose answer says "not run".
        """
        actions = self._settle(record, failure)
        if record.request_id:
            actions.append(requestdata.CancelAttempt(record.request_id))
        self._end_attempt(record)
        del self._records[record.key.serial]
        self._closed_keys[record.key.serial] = failure
        return actions

    def _handle_deadline(self, now: float, caller: str) -> list[requestdata.Action]:
        """Answer a caller whose deadline has passed.

        While others wait for an unsent request, it may still be sent. So only the
        last caller can be told that it did not run.
        """
        record = self._callers.get(caller)
        deadlines = record.callers.values()
        if record.is_unsent() and all(deadline <= now for deadline in deadlines):
            failure = requestdata.make_not_run("the deadline passed before the send")
            return self._close_key(record, failure)
        self._callers.remove(caller)
        del record.callers[caller]
        return [
            requestdata.Answer(caller, requestdata.make_unknown("the deadline passed"))
        ]

    def _handle_key_expiry(
        self, now: float, serial: int, retained_until: float
    ) -> list[requestdata.Action]:
        """Drop the record of an expired key, or all state after its retention.

        A record whose callers still wait for a reply is kept until the last of their
        deadlines.
        """
        actions: list[requestdata.Action] = []
        next_check = retained_until
        record = self._records.get(serial)
        if record is None and now >= retained_until:
            self._closed_keys.pop(serial, None)
            return actions
        if record is not None and record.is_unsent():
            expired = errors.Failure(errors.ErrorKind.KEY_EXPIRED)
            actions = self._close_key(record, expired)
        elif record is not None and record.callers:
            next_check = max(record.callers.values())
        elif record is not None:
            self._end_attempt(record)
            del self._records[serial]
            self._closed_keys[serial] = requestdata.make_unknown(
                "the outcome is not stored longer"
            )
        heapq.heappush(self._key_expiries, (next_check, serial, retained_until))
        return actions
