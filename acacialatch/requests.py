"""Non-idempotent requests: which one is sent, and what each caller is told.

A key is closed when its request was refused as not run. A closed key stays
refused, since a copy of the request that is still under way must not run after a
caller was told that nothing ran. A caller that tries again gets a new key.
"""

import heapq
import typing

import result

from acacialatch import callers, errors, forwards, keys, requestdata, runs

# Records with their stored replies take about 64 MiB at most, a quarter of the
# 256 MB that an entry instance may use for control work.
RECORDS_MAX = 8192
STORED_REPLY_BYTES_MAX = 8192

CALLERS_MAX = 4096

_STATUS_OK_MIN = 200
_STATUS_SERVER_ERROR_MIN = 500
_STATUS_UNAVAILABLE = 503

_REFUSED_KEYS = {
    keys.Verdict.FORGED: errors.Failure(errors.ErrorKind.KEY_INVALID, "forged key"),
    keys.Verdict.WRONG_INCARNATION: requestdata.make_unknown(
        "the issuer has restarted"
    ),
}
_ENDED_KEYS = {
    keys.Verdict.FORGOTTEN: requestdata.make_unknown("the key expired too long ago"),
    keys.Verdict.EXPIRED: errors.Failure(errors.ErrorKind.KEY_EXPIRED),
}


class Limits(typing.NamedTuple):
    """Bounds on the memory of a ledger.

    Attributes
    ----------
    records : int
        Keys with a record.
    reply_bytes : int
        Largest body of a stored reply, in bytes.
    callers : int
        Callers that wait for an answer; as many again for forwarded requests.
    keys : int
        Issued keys that may be remembered.
    """

    records: int = RECORDS_MAX
    reply_bytes: int = STORED_REPLY_BYTES_MAX
    callers: int = CALLERS_MAX
    keys: int = keys.KEYS_MAX


class RequestLedger:
    """Decides about the non-idempotent requests of one entry instance.

    Each method returns the actions for the engine, in order. The engine must pass
    every request that carries a key, including those it would refuse itself (as
    `View.refusal`): only the ledger can tell whether "not run" is true.

    Parameters
    ----------
    issuer : str
        Identifier of this entry instance, by which peers reach it.
    incarnation : bytes
        16 random bytes made at process start.
    secret : bytes
        At least 32 random bytes made at process start.
    limits : Limits
        Bounds on memory.

    Attributes
    ----------
    forwards : forwards.ForwardTable
        Requests forwarded to other entry instances; takes the events of forwards.

    Raises
    ------
    ValueError
        If the issuer, incarnation or secret does not have the stated form.
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
        self._ring = keys.KeyRing(issuer, incarnation, secret, limits.keys)
        self._is_stopped = False
        self._runs: dict[int, runs.Run] = {}
        self._attempts: dict[str, runs.Run] = {}
        self._closed: dict[int, errors.Failure] = {}
        self._callers: callers.CallerTable[runs.Run] = callers.CallerTable(
            limits.callers
        )
        # Time, serial and time of forgetting; one item for each used key.
        self._expiries: list[tuple[float, int, float]] = []

    def issue_key(self, now: float) -> result.Result[str, errors.Failure]:
        """Make a key; `overloaded` or `shutting_down` if none can be made."""
        if self._is_stopped:
            return result.Err(errors.Failure(errors.ErrorKind.SHUTTING_DOWN))
        return self._ring.issue(now)

    def begin(
        self, now: float, request: requestdata.Request, view: requestdata.View
    ) -> list[requestdata.Action]:
        """Take a request from a caller or a peer.

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
            for the request in progress; also what the passing of time causes.

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
        verdict = self._ring.judge(now, key)
        if verdict is keys.Verdict.WRONG_ISSUER:
            return actions + self.forwards.begin(now, request, key)
        if verdict in _REFUSED_KEYS:
            return [
                *actions,
                requestdata.Answer(request.caller, _REFUSED_KEYS[verdict]),
            ]
        if key.serial in self._runs:
            return actions + self._repeat(now, request, self._runs[key.serial])
        failure = self._closed.get(key.serial, _ENDED_KEYS.get(verdict))
        if failure is not None:
            return [*actions, requestdata.Answer(request.caller, failure)]
        return actions + self._begin_run(now, request, key, view)

    def note_sent(
        self, now: float, request_id: str, last_active_at: float, view: requestdata.View
    ) -> result.Result[float, list[requestdata.Action]]:
        """Ask for permission directly before the first byte is written.

        The permission counts as the first byte sent, whatever the write does.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds, read after the last wait.
        request_id : str
            Identifier of the attempt.
        last_active_at : float
            Time of the last exchange on the connection or of its set-up, in seconds.
        view : requestdata.View
            State at this moment, with the replica of the attempt among the usable
            ones unless it has become unusable since, for example with its zone.

        Returns
        -------
        result.Result
            The deadline for the backend server, in seconds; or the actions to take
            instead, in which case nothing may be written.
        """
        run = self._attempts.get(request_id)
        if run is None or not run.is_unsent():
            return result.Err(self.expire(now))
        failure = self._find_obstacle(now, run, view)
        if failure is not None:
            return result.Err(self._close(run, failure) + self.expire(now))
        is_usable = run.is_offered(view)
        if not is_usable or runs.is_stale(now, last_active_at):
            self._end_attempt(run)
            if is_usable:
                run.tried.discard(run.address)
            actions = self._try_next(now, run, view) + self.expire(now)
            return result.Err([requestdata.Close(request_id), *actions])
        run.stage = runs.Stage.SENT
        return result.Ok(max(run.callers.values()))

    def note_refused(
        self,
        now: float,
        request_id: str,
        reply: requestdata.Reply,
        view: requestdata.View,
    ) -> list[requestdata.Action]:
        """Take a reply with `x-refused: before-run` and try another replica.

        `now` is in seconds; `view` offers the replicas that are left. A reply that
        does not match the attempt `request_id` is handled as by `note_reply`.
        """
        actions = self.expire(now)
        run = self._attempts.get(request_id)
        is_match = reply.request_id == request_id
        is_refusal = is_match and reply.status == _STATUS_UNAVAILABLE
        if run is None or run.is_unsent() or not is_refusal:
            return actions + self.note_reply(now, request_id, reply)
        self._end_attempt(run)
        return actions + self._try_next(now, run, view)

    def note_reply(
        self, now: float, request_id: str, reply: requestdata.Reply
    ) -> list[requestdata.Action]:
        """Take a reply, also a late one, and answer the callers that wait.

        A reply is verified if it is whole and carries the identifier of the
        attempt. A `5xx` does not say whether the request ran.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        request_id : str
            Identifier of the attempt whose connection carried the reply.
        reply : requestdata.Reply
            Reply as read.
        """
        run = self._attempts.get(request_id)
        if run is None or run.is_unsent():
            return [requestdata.Close(request_id), *self.expire(now)]
        if reply.request_id != request_id or not reply.is_complete:
            unknown = requestdata.make_unknown("the reply could not be verified")
            actions = [*self._settle(run, unknown), requestdata.Close(request_id)]
            return actions + self.expire(now)
        self._end_attempt(run)
        if not _STATUS_OK_MIN <= reply.status < _STATUS_SERVER_ERROR_MIN:
            unknown = requestdata.make_unknown(f"the reply has status {reply.status}")
            return self._settle(run, unknown) + self.expire(now)
        actions = self._settle(run, reply)
        if len(reply.body) > self._limits.reply_bytes:
            run.outcome = requestdata.make_unknown(
                "the reply was too large to be stored"
            )
        return actions + self.expire(now)

    def note_lost(
        self, now: float, request_id: str, view: requestdata.View
    ) -> list[requestdata.Action]:
        """Take the failure of an attempt: connect failed, closed or timed out.

        Another replica is tried only if `note_sent` gave no permission for this
        attempt. `now` is in seconds; `view` offers the replicas that are left.
        """
        actions = self.expire(now)
        run = self._attempts.get(request_id)
        if run is None or run.stage is runs.Stage.SETTLED:
            return actions
        if run.stage is runs.Stage.SENT:
            unknown = requestdata.make_unknown("the connection was lost")
            return actions + self._settle(run, unknown)
        self._end_attempt(run)
        return actions + self._try_next(now, run, view)

    def drop_caller(self, now: float, caller: str) -> list[requestdata.Action]:
        """Take that a caller has gone; an unsent request without caller is closed."""
        self.forwards.drop_caller(caller)
        actions: list[requestdata.Action] = []
        run = self._callers.remove(caller)
        if run is not None:
            del run.callers[caller]
            if run.is_unsent() and not run.callers:
                actions = self._close(run, requestdata.make_not_run("the caller left"))
        return actions + self.expire(now)

    def expire(self, now: float) -> list[requestdata.Action]:
        """Apply the deadlines and key lifetimes that have passed by `now`, in s."""
        actions = self.forwards.expire(now)
        while (caller := self._callers.find_due(now)) is not None:
            actions += self._pass_deadline(now, caller)
        while self._expiries and self._expiries[0][0] <= now:
            _, serial, forgotten_at = heapq.heappop(self._expiries)
            actions += self._pass_expiry(now, serial, forgotten_at)
        return actions

    def next_timer(self) -> float | None:
        """Return the time at which `expire` has work next, in seconds."""
        times = [self.forwards.next_timer(), self._callers.next_deadline()]
        if self._expiries:
            times.append(self._expiries[0][0])
        return min((time for time in times if time is not None), default=None)

    def shut_down(self, now: float) -> list[requestdata.Action]:
        """Answer every caller truthfully at once, and send nothing from now on."""
        actions = self.expire(now) + self.forwards.stop()
        self._is_stopped = True
        for run in list(self._runs.values()):
            if run.is_unsent():
                stopped = errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
                actions += self._close(run, stopped)
            elif run.stage is runs.Stage.SENT:
                unknown = requestdata.make_unknown("the process was stopped")
                actions += self._settle(run, unknown)
        return actions

    def _begin_run(
        self,
        now: float,
        request: requestdata.Request,
        key: keys.Key,
        view: requestdata.View,
    ) -> list[requestdata.Action]:
        expiry = (key.expires_at(), key.serial, key.forgotten_at())
        heapq.heappush(self._expiries, expiry)
        failure = self._find_refusal(now, request)
        if failure is not None:
            self._closed[key.serial] = failure
            return [requestdata.Answer(request.caller, failure)]
        run = self._runs[key.serial] = runs.Run(key, request.body_digest)
        self._wait(request, run)
        return self._try_next(now, run, view)

    def _find_refusal(
        self, now: float, request: requestdata.Request
    ) -> errors.Failure | None:
        if self._is_stopped:
            return errors.Failure(errors.ErrorKind.SHUTTING_DOWN)
        if request.deadline <= now:
            return requestdata.make_not_run("the deadline passed before the send")
        if len(self._runs) >= self._limits.records or self._callers.is_full():
            return errors.Failure(errors.ErrorKind.OVERLOADED)
        return None

    def _repeat(
        self, now: float, request: requestdata.Request, run: runs.Run
    ) -> list[requestdata.Action]:
        """Answer or join a request whose key has a record."""
        outcome = run.outcome
        if request.body_digest != run.body_digest:
            outcome = errors.Failure(errors.ErrorKind.KEY_REUSED)
        elif outcome is None and (request.deadline <= now or self._callers.is_full()):
            outcome = requestdata.make_unknown("the request is in progress")
        if outcome is not None:
            return [requestdata.Answer(request.caller, outcome)]
        self._wait(request, run)
        return []

    def _wait(self, request: requestdata.Request, run: runs.Run) -> None:
        run.callers[request.caller] = request.deadline
        self._callers.add(request.caller, request.deadline, run)

    def _find_obstacle(
        self, now: float, run: runs.Run, view: requestdata.View
    ) -> errors.Failure | None:
        """Return why a request must not be sent, None if it may be sent."""
        if now >= run.key.expires_at():
            return errors.Failure(errors.ErrorKind.KEY_EXPIRED)
        if max(run.callers.values(), default=now) <= now:
            return requestdata.make_not_run("no caller waits any longer")
        if view.refusal is not None:
            return errors.Failure(view.refusal)
        if not view.is_current:
            return errors.Failure(errors.ErrorKind.NOT_CURRENT)
        return None

    def _try_next(
        self, now: float, run: runs.Run, view: requestdata.View
    ) -> list[requestdata.Action]:
        """Start an attempt at the next replica, or close the key as not run."""
        failure = self._find_obstacle(now, run, view)
        send = None if failure is not None else run.start_attempt(now, view)
        if send is None:
            return self._close(
                run, failure or requestdata.make_not_run("no usable replica")
            )
        self._attempts[run.request_id] = run
        return [send]

    def _end_attempt(self, run: runs.Run) -> None:
        self._attempts.pop(run.request_id, None)
        run.request_id = ""

    def _settle(
        self, run: runs.Run, outcome: requestdata.Outcome
    ) -> list[requestdata.Action]:
        """Record an outcome and give it to every caller that waits."""
        run.stage = runs.Stage.SETTLED
        run.outcome = outcome
        waiting, run.callers = run.callers, {}
        for caller in waiting:
            self._callers.remove(caller)
        return [requestdata.Answer(caller, outcome) for caller in waiting]

    def _close(
        self, run: runs.Run, failure: errors.Failure
    ) -> list[requestdata.Action]:
        """Refuse the key as not run, for good."""
        actions = self._settle(run, failure)
        if run.request_id:
            actions.append(requestdata.Close(run.request_id))
        self._end_attempt(run)
        del self._runs[run.key.serial]
        self._closed[run.key.serial] = failure
        return actions

    def _pass_deadline(self, now: float, caller: str) -> list[requestdata.Action]:
        """Answer a caller whose deadline has passed.

        While others wait for an unsent request it may still run, so that only the
        last caller can be told that it was not run.
        """
        run = self._callers.get(caller)
        deadlines = run.callers.values()
        if run.is_unsent() and all(deadline <= now for deadline in deadlines):
            failure = requestdata.make_not_run("the deadline passed before the send")
            return self._close(run, failure)
        self._callers.remove(caller)
        del run.callers[caller]
        return [
            requestdata.Answer(caller, requestdata.make_unknown("the deadline passed"))
        ]

    def _pass_expiry(
        self, now: float, serial: int, forgotten_at: float
    ) -> list[requestdata.Action]:
        """End the lifetime of a key, or forget it altogether."""
        actions: list[requestdata.Action] = []
        due = forgotten_at
        run = self._runs.get(serial)
        if run is None and now >= forgotten_at:
            self._closed.pop(serial, None)
            return actions
        if run is not None and run.is_unsent():
            expired = errors.Failure(errors.ErrorKind.KEY_EXPIRED)
            actions = self._close(run, expired)
        elif run is not None and run.callers:
            due = max(run.callers.values())
        elif run is not None:
            self._end_attempt(run)
            del self._runs[serial]
            self._closed[serial] = requestdata.make_unknown(
                "the outcome is not stored longer"
            )
        heapq.heappush(self._expiries, (due, serial, forgotten_at))
        return actions
