"""Non-idempotent requests that are forwarded to the issuer of their key."""

import dataclasses

from acacialatch import callers, keys, requestdata

FORWARD_ATTEMPTS_MAX = 3


@dataclasses.dataclass(slots=True)
class _Forwarding:
    """A request whose answer is awaited from the issuer of its key."""

    key: str
    issuer: str
    deadline: float
    attempts: int = 1


class ForwardTable:
    """Forwards requests and passes on the answers of the issuers.

    Whatever goes wrong here is `outcome_unknown`, never "not run": the caller may
    have sent the same key to the issuer before or on another way.

    Parameters
    ----------
    callers_max : int
        Forwarded requests that may wait for an answer at the same time.
    """

    def __init__(self, callers_max: int) -> None:
        self._callers: callers.CallerTable[_Forwarding] = callers.CallerTable(
            callers_max
        )
        self._is_stopped = False

    def __contains__(self, caller: str) -> bool:
        return caller in self._callers

    def begin(
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
            # One hop at most, so that a request cannot circulate.
            detail = "this entry instance did not issue the key"
        elif self._is_stopped:
            detail = "this entry instance is shutting down"
        elif request.deadline <= now:
            detail = "the deadline has passed"
        elif self._callers.is_full():
            detail = "too many forwarded requests are waiting"
        if detail:
            return [
                requestdata.Answer(request.caller, requestdata.make_unknown(detail))
            ]
        forwarding = _Forwarding(request.key, key.issuer, request.deadline)
        self._callers.add(request.caller, request.deadline, forwarding)
        return [requestdata.Forward(request.caller, key.issuer, request.deadline)]

    def note_failed(
        self, now: float, caller: str, has_left: bool
    ) -> list[requestdata.Action]:
        """Take the failure of a forward.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        caller : str
            Caller whose request was forwarded.
        has_left : bool
            Whether any byte of the request may have left this process.
        """
        actions = self.expire(now)
        forwarding = self._callers.get(caller)
        if forwarding is None:
            return actions
        if has_left or forwarding.attempts >= FORWARD_ATTEMPTS_MAX:
            return actions + self._give_up(caller, "the issuer did not answer")
        forwarding.attempts += 1
        forward = requestdata.Forward(caller, forwarding.issuer, forwarding.deadline)
        return [*actions, forward]

    def note_answered(
        self, now: float, caller: str, key: str, outcome: requestdata.Outcome
    ) -> list[requestdata.Action]:
        """Pass on what the issuer answered, a reply or a typed refusal.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        caller : str
            Caller whose request was forwarded.
        key : str
            Text of the key that the issuer's answer names.
        outcome : requestdata.Outcome
            Outcome that the issuer's answer carries.
        """
        forwarding = self._callers.get(caller)
        if forwarding is None:
            return self.expire(now)
        if key != forwarding.key:
            actions = self._give_up(caller, "the issuer answered for another key")
            return actions + self.expire(now)
        self._callers.remove(caller)
        return [requestdata.Answer(caller, outcome), *self.expire(now)]

    def drop_caller(self, caller: str) -> None:
        """Take that a caller has gone; a later answer for it is ignored."""
        self._callers.remove(caller)

    def expire(self, now: float) -> list[requestdata.Action]:
        """Answer the callers whose deadlines have passed by `now`, in seconds."""
        actions: list[requestdata.Action] = []
        while (caller := self._callers.find_due(now)) is not None:
            actions += self._give_up(caller, "the deadline passed")
        return actions

    def next_timer(self) -> float | None:
        """Return the time at which `expire` has work next, in seconds."""
        return self._callers.next_deadline()

    def stop(self) -> list[requestdata.Action]:
        """Answer every caller, and forward nothing from now on."""
        self._is_stopped = True
        actions: list[requestdata.Action] = []
        for caller in self._callers.list_callers():
            actions += self._give_up(caller, "the process was stopped")
        return actions

    def _give_up(self, caller: str, detail: str) -> list[requestdata.Action]:
        self._callers.remove(caller)
        return [requestdata.Answer(caller, requestdata.make_unknown(detail))]
