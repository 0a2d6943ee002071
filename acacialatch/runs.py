"""State of one idempotency key at its issuer."""

import dataclasses
import enum

from acacialatch import keys, requestdata

# A pooled connection that has been quiet for longer may be stale.
CONNECTION_PROOF_S = 1.0

# The largest service has 6 replicas; the rest allows for stale connections.
ATTEMPTS_MAX = 8


class Stage(enum.Enum):
    """How far a request has come.

    `CONNECTING`: no byte of the current attempt has been sent. `SENT`: permission
    to send was given. `SETTLED`: the outcome is recorded, known or unknown.
    """

    CONNECTING = "connecting"
    SENT = "sent"
    SETTLED = "settled"


@dataclasses.dataclass(slots=True)
class Run:
    """State from the first request with a key to the end of the key's lifetime.

    Attributes
    ----------
    key : keys.Key
        The key.
    body_digest : bytes
        Digest of the body that came first.
    callers : dict
        Deadlines of the waiting callers, in seconds, by caller.
    stage : Stage
        How far the request has come.
    outcome : requestdata.Outcome or None
        Recorded outcome, once settled.
    request_id : str
        Identifier of the current attempt, empty if there is none.
    address : str
        Replica of the current attempt.
    attempts : int
        Attempts so far.
    tried : set of str
        Replicas that are not tried again.
    """

    key: keys.Key
    body_digest: bytes
    callers: dict[str, float] = dataclasses.field(default_factory=dict)
    stage: Stage = Stage.CONNECTING
    outcome: requestdata.Outcome | None = None
    request_id: str = ""
    address: str = ""
    attempts: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)

    def is_unsent(self) -> bool:
        """Return whether no server can run the request unless it is sent anew."""
        return self.stage is Stage.CONNECTING

    def is_offered(self, view: requestdata.View) -> bool:
        """Return whether the replica of the current attempt is still usable."""
        return any(option.address == self.address for option in view.replicas)

    def start_attempt(
        self, now: float, view: requestdata.View
    ) -> requestdata.Send | None:
        """Choose the next replica, None if there is none or after the last attempt.

        Parameters
        ----------
        now : float
            Time on the monotonic clock, in seconds.
        view : requestdata.View
            Usable replicas, best first.
        """
        untried = (item for item in view.replicas if item.address not in self.tried)
        option = next(untried, None)
        if option is None or self.attempts >= ATTEMPTS_MAX:
            return None
        self.stage, self.outcome = Stage.CONNECTING, None
        self.attempts += 1
        self.address = option.address
        self.tried.add(option.address)
        self.request_id = f"{self.key.incarnation}-{self.key.serial}-{self.attempts}"
        caller = next(iter(self.callers))
        is_new = option.last_active_at is None or is_stale(now, option.last_active_at)
        return requestdata.Send(self.request_id, caller, option.address, is_new)


def is_stale(now: float, last_active_at: float) -> bool:
    """Return whether a connection must not be used.

    Parameters
    ----------
    now : float
        Time on the monotonic clock, in seconds.
    last_active_at : float
        Time of the last exchange on the connection or of its set-up, in seconds.
    """
    return now - last_active_at > CONNECTION_PROOF_S
