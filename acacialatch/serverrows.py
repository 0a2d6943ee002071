"""What one entry instance knows of one backend server."""

import dataclasses
import enum

from acacialatch import facts as server_facts
from acacialatch import model

# First and largest delay between probes of a dead server, in seconds.
PROBE_BASE_S = 0.25
PROBE_MAX_S = 5.0
# Delay between probes of a leaving server, to learn of its restart, in seconds.
LEAVING_PROBE_S = 5.0
# Time without a send after which a cold server is probed, in seconds.
COLD_PROBE_S = 0.25
# Time for which the one send to a silent server keeps others back, in seconds.
TRIAL_S = 1.0
# Bounds of a delay asked for by a server that sheds load, in seconds.
RETRY_AFTER_MIN_S = 0.05
RETRY_AFTER_MAX_S = 30.0
# New connections in sequence without a reply after which a server is dead.
NEW_CONNECTIONS_MAX = 2
# Bad replies in sequence after which a server is treated as dead.
BAD_REPLIES_MAX = 3
# Time in which a configuration is in force everywhere, in seconds. Until then a
# peer may report a server of a returned zone as warm from before the outage.
CONFIGURATION_SPREAD_S = 3.0


class Cause(enum.Enum):
    """Ways in which a send to a backend server fails."""

    CONNECT_REFUSED = "connect_refused"
    CONNECT_TIMEOUT = "connect_timeout"
    NO_REPLY = "no_reply"
    CONNECTION_LOST = "connection_lost"
    SHED = "shed"
    BAD_REPLY = "bad_reply"


@dataclasses.dataclass(slots=True)
class Row:
    """One row of the server table.

    Attributes
    ----------
    address, zone, service, shape
        From the configuration.
    is_listed : bool
        Whether the server is in the configuration and its zone is in service.
    is_removed : bool
        Whether the server is no longer in the configuration.
    runs : facts.Runs
        Incarnations that may be the running one.
    in_flight : int
        Sends that have not ended.
    latency_s : float or None
        Latency average, in seconds.
    heard : float or None
        Time of the last reply.
    drained : float or None
        Time of a drain signal while no incarnation was known.
    listed_leaving : bool
        Whether the platform lists the server as leaving.
    dead, shed, silent : float or None
        Time of the failure that put the server into this state.
    last_sent : float
        Time of the last send.
    is_tried : bool
        Whether something was sent since the last failure.
    next_probe : float
        Time from which a probe may be sent.
    probes : int
        Probes of a dead server that failed in sequence.
    new_failures, bad_replies : int
        Failures in sequence.
    distrust_until : float
        Time until which warm reports of peers are not believed.
    """

    address: str
    zone: str
    service: str
    shape: model.Shape
    is_listed: bool = False
    is_removed: bool = False
    runs: server_facts.Runs = dataclasses.field(default_factory=server_facts.Runs)
    in_flight: int = 0
    latency_s: float | None = None
    heard: float | None = None
    drained: float | None = None
    listed_leaving: bool = False
    dead: float | None = None
    shed: float | None = None
    silent: float | None = None
    last_sent: float = float("-inf")
    is_tried: bool = False
    next_probe: float = float("-inf")
    probes: int = 0
    new_failures: int = 0
    bad_replies: int = 0
    distrust_until: float = float("-inf")

    def state(self) -> model.ServerState:
        """Return the most restrictive state that applies."""
        if not self.is_listed:
            return model.ServerState.UNLISTED
        if self.is_leaving():
            return model.ServerState.LEAVING
        if self.dead is not None:
            return model.ServerState.DEAD
        if self.shed is not None:
            return model.ServerState.SHEDDING
        if self.silent is not None:
            return model.ServerState.SILENT
        if self.runs.is_cold():
            return model.ServerState.COLD
        return model.ServerState.READY

    def is_leaving(self) -> bool:
        """Return whether the server or the platform says that it is leaving."""
        is_drained = self.drained is not None
        has_left = self.runs.has_phase(server_facts.Phase.LEAVING)
        return self.listed_leaving or is_drained or has_left

    def may_try(self, now: float) -> bool:
        """Return whether a silent server may get its one send."""
        return not self.is_tried or now >= self.last_sent + TRIAL_S

    def probe_delay(self) -> float:
        """Return the delay to the next probe before jitter, in seconds."""
        state = self.state()
        if state is model.ServerState.LEAVING:
            return LEAVING_PROBE_S
        if state is model.ServerState.COLD:
            return COLD_PROBE_S
        return min(PROBE_MAX_S, PROBE_BASE_S * 2.0 ** min(self.probes, 16))

    def is_deadly(self, cause: Cause, is_new_connection: bool) -> bool:
        """Count a failure and return whether the server is dead with it."""
        if cause is Cause.BAD_REPLY:
            self.bad_replies += 1
        elif cause is Cause.CONNECT_TIMEOUT or is_new_connection:
            self.new_failures += 1
        return (
            self.dead is not None
            or cause is Cause.CONNECT_REFUSED
            or self.new_failures >= NEW_CONNECTIONS_MAX
            or self.bad_replies >= BAD_REPLIES_MAX
        )

    def note_dead(self, now: float, jitter: float) -> None:
        """Become or stay dead.

        Failures of sends that were in progress when the server died do not
        lengthen the delay to the next probe.
        """
        if self.dead is not None and not self.is_tried:
            return
        if self.dead is not None:
            self.probes += 1
        self.dead = now
        self.next_probe = now + self.probe_delay() * jitter

    def note_shed(self, now: float, retry_after_s: float) -> None:
        """Note a refusal. A dead server stays dead, as it may have restarted."""
        delay_s = min(max(retry_after_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
        self.shed = now
        self.next_probe = now + delay_s
        self.new_failures = 0

    def clear_failures(self, sent: float) -> None:
        """Forget failures that were seen before the answered request was sent."""
        if self.dead is not None and self.dead <= sent:
            self.dead = None
            self.probes = 0
        if self.shed is not None and self.shed <= sent:
            self.shed = None
        if self.silent is not None and self.silent <= sent:
            self.silent = None
        if self.drained is not None and self.drained <= sent:
            self.drained = None
        self.new_failures = 0
        self.bad_replies = 0

    def return_cold(self, now: float, was_known: bool) -> None:
        """Count as cold from now on, when the server becomes listed."""
        for run in self.runs.open.values():
            run.restart_warm_up()
        self.dead = self.shed = self.silent = None
        self.probes = self.new_failures = self.bad_replies = 0
        self.next_probe = now
        if was_known:
            self.distrust_until = now + CONFIGURATION_SPREAD_S

    def raise_phase(self, now: float) -> None:
        """Let each possible incarnation become warm if its warm-up is complete."""
        shape = self.shape
        for run in self.runs.open.values():
            run.raise_phase(now, shape.warm_after_requests, shape.warm_up_s)
