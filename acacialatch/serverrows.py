"""Row of the server table: the knowledge about one backend server."""

import dataclasses
import enum

from acacialatch import facts as server_facts
from acacialatch import model

# First and largest delay between probes of a dead server, in seconds.
PROBE_BASE_S = 0.25
PROBE_MAX_S = 5.0
# Interval of probes of a leaving server, which detect its restart, in seconds.
LEAVING_PROBE_INTERVAL_S = 5.0
# Time without a send after which a cold server is probed, in seconds.
COLD_PROBE_DELAY_S = 0.25
# Interval between sends to a silent server that does not answer, in seconds.
SILENT_RETRY_S = 1.0
# Bounds of the delay that a server requests when it sheds load, in seconds.
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 30.0
# Consecutive failures on new connections after which a server counts as dead.
CONNECTION_FAILURES_MAX = 2
# Consecutive bad replies after which a server counts as dead.
BAD_REPLIES_MAX = 3
# Time after which a configuration is in force everywhere, in seconds. Until then a
# peer may still report a server of a returned zone as warm from before the outage.
CONFIGURATION_ROLLOUT_S = 3.0


class Cause(enum.Enum):
    """Kind of failure of a send to a backend server."""

    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    NO_REPLY = "no_reply"
    CONNECTION_LOST = "connection_lost"
    SHED = "shed"
    BAD_REPLY = "bad_reply"


@dataclasses.dataclass(slots=True)
class ServerRow:
    """One row of the server table.

    Attributes
    ----------
    address, zone, service, shape
        From the configuration.
    is_listed : bool
        Whether the server is in the configuration and its zone is in service.
    is_removed : bool
        Whether the server is no longer in the configuration.
    incarnations : facts.IncarnationSet
        Incarnations that may be the running one.
    in_flight : int
        Sends that have not ended.
    latency_s : float or None
        Average latency, in seconds.
    last_reply : float or None
        Time of the last reply, in seconds.
    drained_at : float or None
        Time of a drain signal that came while no incarnation was known.
    is_listed_leaving : bool
        Whether the platform lists the server as leaving.
    dead_at, shed_at, silent_at : float or None
        Time of the failure that last confirmed this state, in seconds; None if it
        does not apply.
    last_sent : float
        Time of the last send, in seconds.
    sent_since_failure : bool
        Whether a request or probe was sent since the last failure.
    next_probe : float
        Time from which a probe may be sent, in seconds.
    failed_probes : int
        Consecutive failed probes of a dead server.
    connection_failures, bad_replies : int
        Consecutive failures on new connections, and consecutive bad replies.
    ignore_warm_until : float
        Time until which a warm phase and the counts in facts of peers are ignored,
        in seconds.
    """

    address: str
    zone: str
    service: str
    shape: model.Shape
    is_listed: bool = False
    is_removed: bool = False
    incarnations: server_facts.IncarnationSet = dataclasses.field(
        default_factory=server_facts.IncarnationSet
    )
    in_flight: int = 0
    latency_s: float | None = None
    last_reply: float | None = None
    drained_at: float | None = None
    is_listed_leaving: bool = False
    dead_at: float | None = None
    shed_at: float | None = None
    silent_at: float | None = None
    last_sent: float = float("-inf")
    sent_since_failure: bool = False
    next_probe: float = float("-inf")
    failed_probes: int = 0
    connection_failures: int = 0
    bad_replies: int = 0
    ignore_warm_until: float = float("-inf")

    def state(self) -> model.ServerState:
        """Return the most restrictive state that applies."""
        if not self.is_listed:
            return model.ServerState.UNLISTED
        if self.is_leaving():
            return model.ServerState.LEAVING
        if self.dead_at is not None:
            return model.ServerState.DEAD
        if self.shed_at is not None:
            return model.ServerState.SHEDDING
        if self.silent_at is not None:
            return model.ServerState.SILENT
        if self.incarnations.is_cold():
            return model.ServerState.COLD
        return model.ServerState.READY

    def is_leaving(self) -> bool:
        """Return whether the server or the platform reports it as leaving."""
        is_drained = self.drained_at is not None
        reports_leaving = self.incarnations.has_phase(server_facts.Phase.LEAVING)
        return self.is_listed_leaving or is_drained or reports_leaving

    def may_retry_silent(self, now: float) -> bool:
        """Return whether a silent server may be sent one request or probe now."""
        return not self.sent_since_failure or now >= self.last_sent + SILENT_RETRY_S

    def probe_delay(self) -> float:
        """Return the delay to the next probe without jitter, in seconds."""
        state = self.state()
        if state is model.ServerState.LEAVING:
            return LEAVING_PROBE_INTERVAL_S
        if state is model.ServerState.COLD:
            return COLD_PROBE_DELAY_S
        return min(PROBE_MAX_S, PROBE_BASE_S * 2.0 ** min(self.failed_probes, 16))

    def count_failure(self, cause: Cause, is_new_connection: bool) -> bool:
        """Count a failure; return whether the server counts as dead now."""
        if cause is Cause.BAD_REPLY:
            self.bad_replies += 1
        elif cause is Cause.CONNECT_TIMEOUT or is_new_connection:
            self.connection_failures += 1
        return (
            self.dead_at is not None
            or cause is Cause.CONNECT_REFUSED
            or self.connection_failures >= CONNECTION_FAILURES_MAX
            or self.bad_replies >= BAD_REPLIES_MAX
        )

    def record_dead(self, now: float, jitter: float) -> None:
        """Mark the server as dead and schedule the next probe.

        Failures of sends that were in progress when the server died do not
        increase the back-off.
        """
        if self.dead_at is not None and not self.sent_since_failure:
            return
        if self.dead_at is not None:
            self.failed_probes += 1
        self.dead_at = now
        self.next_probe = now + self.probe_delay() * jitter

    def record_shed(self, now: float, retry_after_s: float) -> None:
        """Mark the server as shedding and schedule the next probe.

        A dead server stays dead, since it may have restarted.
        """
        delay_s = min(max(retry_after_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        self.shed_at = now
        self.next_probe = now + delay_s
        self.connection_failures = 0

    def clear_failures(self, sent: float) -> None:
        """Clear failures that were seen before the answered request was sent.

        Parameters
        ----------
        sent : float
            Time at which the answered request was sent, in seconds.
        """
        if self.dead_at is not None and self.dead_at <= sent:
            self.dead_at = None
            self.failed_probes = 0
        if self.shed_at is not None and self.shed_at <= sent:
            self.shed_at = None
        if self.silent_at is not None and self.silent_at <= sent:
            self.silent_at = None
        if self.drained_at is not None and self.drained_at <= sent:
            self.drained_at = None
        self.connection_failures = 0
        self.bad_replies = 0

    def reset_to_cold(self, now: float, was_known: bool) -> None:
        """Count the server as cold and clear its failures, when it becomes listed."""
        for record in self.incarnations.possible.values():
            record.restart_warm_up()
        self.dead_at = self.shed_at = self.silent_at = None
        self.failed_probes = self.connection_failures = self.bad_replies = 0
        self.next_probe = now
        if was_known:
            self.ignore_warm_until = now + CONFIGURATION_ROLLOUT_S

    def update_phases(self, now: float) -> None:
        """Mark each possible incarnation as warm if its warm-up is complete."""
        shape = self.shape
        for record in self.incarnations.possible.values():
            record.update_phase(now, shape.warm_after_requests, shape.warm_up_s)
