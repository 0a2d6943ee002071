"""Record of one idempotency key at its issuer."""

import dataclasses
import enum

from acacialatch import keys, requestdata

# The server may have closed a pooled connection that was idle for longer.
CONNECTION_STALE_AFTER_S = 1.0

# The largest service has 6 replicas; the others are retries on a new connection
# after a stale one.
ATTEMPTS_MAX = 8


class Stage(enum.Enum):
    """Progress of a request.

    `CONNECTING`: no byte of the current attempt has been sent. `SENT`: the current
    attempt was allowed to write. `SETTLED`: an outcome, known or unknown, is recorded.
    """

    CONNECTING = "connecting"
    SENT = "sent"
    SETTLED = "settled"


@dataclasses.dataclass(slots=True)
class IdempotencyRecord:
    """Record from the first request with a key to the end of the key's lifetime.

    Attributes
    ----------
    key : keys.Key
        Idempotency key.
    body_digest : bytes
        Digest of the body of the first request.
    callers : dict
        Deadlines of the waiting callers, in seconds, by caller identifier.
    stage : Stage
        Progress of the request.
    outcome : requestdata.Outcome or None
        Recorded outcome; None until settled.
    request_id : str
        Identifier of the current attempt, empty if there is none.
    address : str
        Replica of the current attempt.
    attempts : int
        Number of attempts so far.
    tried : set of str
        Addresses of the replicas that are not tried again.
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
        """Return whether nothing sent so far can make a server run the request."""
        return self.stage is Stage.CONNECTING

    def is_replica_usable(self, view: requestdata.View) -> bool:
        """Return whether the current attempt's replica is among the usable ones."""
        return any(option.address == self.address for option in view.replicas)

    def start_attempt(
        self, now: float, view: requestdata.View
    ) -> requestdata.Send | None:
        """Start an attempt at the best usable replica that was not tried yet.

        Returns None if there is no such replica or no attempt is left.

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
        is_new = option.last_active_at is None or is_connection_stale(
            now, option.last_active_at
        )
        return requestdata.Send(self.request_id, caller, option.address, is_new)


def is_connection_stale(now: float, last_active_at: float) -> bool:
    """Return whether a connection was idle for too long to be used.

    A write on a connection that the server has closed would fail and leave the
    outcome unknown.

    Parameters
    ----------
    now : float
        Time on the monotonic clock, in seconds.
    last_active_at : float
        Time of the last exchange on the connection or of its set-up, in seconds.
    """
    return now - last_active_at > CONNECTION_STALE_AFTER_S
