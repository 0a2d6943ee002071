"""Forwarding of non-idempotent requests to the issuers of their keys."""

import dataclasses

from acacialatch import callers, keys, requestdata

FORWARD_ATTEMPTS_MAX = 3


@dataclasses.dataclass(slots=True)
class _PendingForward:
    """A forwarded request that the issuer of its key has not answered yet."""

    key: str
    issuer: str
    deadline: float
    attempts: int = 1


class ForwardTable:
    """Forwards requests and passes on the answers of the issuers.

    Each failure here is answered with `outcome_unknown`, never with "not run": the
    request may have reached the issuer earlier or through another entry instance.

    Parameters
    ----------
    callers_max : int
        Maximum number of forwarded requests that wait for an answer.
    """

    def __init__(self, callers_max: int) -> None:
        self._callers: callers.CallerTable[_PendingForward] = callers.CallerTable(
            callers_max
        )
        self._is_shut_down = False

    def __contains__(self, caller: str) -> bool:
        return caller in self._callers

    def handle_request(
        self, now: float, request: requestdata.Request, key: keys.Key
    ) -> list[requestdata.Action]:
        """Forward a request, unless a peer has forwarded it already.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        request : requestdata.Request
            Request as received.
        key : keys.Key
            Its key, issued by another entry instance.
        """
        detail = ""
        if request.is_forwarded:
            # Limited to one hop, so that a request cannot be forwarded in a loop.
            detail = "this entry instance did not issue the key"
        elif self._is_shut_down:
            detail = "this entry instance is shutting down"
        elif request.deadline <= now:
            detail = "the deadline has passed"
        elif self._callers.is_full():
            detail = "too many forwarded requests are waiting"
        if detail:
            return [
                requestdata.Answer(request.caller, requestdata.make_unknown(detail))
            ]
        pending = _PendingForward(request.key, key.issuer, request.deadline)
        self._callers.add(request.caller, request.deadline, pending)
        return [requestdata.Forward(request.caller, key.issuer, request.deadline)]

    def handle_failure(
        self, now: float, caller: str, may_be_sent: bool
    ) -> list[requestdata.Action]:
        """Forward a request again if it was not sent, else answer `outcome_unknown`.

        After `FORWARD_ATTEMPTS_MAX` attempts it is answered in either case.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        caller : str
            Caller whose request was forwarded.
        may_be_sent : bool
            Whether any byte of the request may have been sent.
        """
        actions = self.expire(now)
        pending = self._callers.get(caller)
        if pending is None:
            return actions
        if may_be_sent or pending.attempts >= FORWARD_ATTEMPTS_MAX:
            return actions + self._answer_unknown(caller, "the issuer did not answer")
        pending.attempts += 1
        forward = requestdata.Forward(caller, pending.issuer, pending.deadline)
        return [*actions, forward]

    def handle_answer(
        self, now: float, caller: str, key: str, outcome: requestdata.Outcome
    ) -> list[requestdata.Action]:
        """Pass on the issuer's answer, or `outcome_unknown` if it names another key.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        caller : str
            Caller whose request was forwarded.
        key : str
            Text of the key that the issuer's answer names.
        outcome : requestdata.Outcome
            Reply or failure that the issuer's answer carries.
        """
        pending = self._callers.get(caller)
        if pending is None:
            return self.expire(now)
        if key != pending.key:
            actions = self._answer_unknown(
                caller, "the issuer answered for another key"
            )
            return actions + self.expire(now)
        self._callers.remove(caller)
        return [requestdata.Answer(caller, outcome), *self.expire(now)]

    def remove_caller(self, caller: str) -> None:
        """Remove a caller that disconnected; a later answer for it is ignored."""
        self._callers.remove(caller)

    def expire(self, now: float) -> list[requestdata.Action]:
        """Answer the callers whose deadlines have passed by `now`, in seconds."""
        actions: list[requestdata.Action] = []
        while (caller := self._callers.find_overdue(now)) is not None:
            actions += self._answer_unknown(caller, "the deadline passed")
        return actions

    def next_timer(self) -> float | None:
        """Return the time in seconds at which `expire` is due, None if it is not."""
        return self._callers.next_deadline()

    def shut_down(self) -> list[requestdata.Action]:
        """Answer every waiting caller, and forward nothing from now on."""
        self._is_shut_down = True
        actions: list[requestdata.Action] = []
        for caller in self._callers.list_callers():
            actions += self._answer_unknown(caller, "the process was stopped")
        return actions

    def _answer_unknown(self, caller: str, detail: str) -> list[requestdata.Action]:
        self._callers.remove(caller)
        return [requestdata.Answer(caller, requestdata.make_unknown(detail))]
