"""State of one forwarded request: its calls to services, attempts and progress."""

import dataclasses
import math

from acacialatch import backends, completion, deployment, forwarding, merging


@dataclasses.dataclass(slots=True)
class Attempt:
    """One request in flight to one backend server.

    Attributes
    ----------
    number : int
        Identifies the attempt in this process.
    backend : backends.Backend
        Server that was asked.
    started : float
        Time at which it was sent, in seconds.
    hedge : bool
        Whether an earlier attempt of the same call was still in flight.
    """

    number: int
    backend: backends.Backend
    started: float
    hedge: bool


@dataclasses.dataclass(slots=True, eq=False)
class ServiceCall:
    """Part of a request that one service answers, such as one shard of a query.

    Attributes
    ----------
    service : str
        Service that answers.
    open_attempts : dict of int to Attempt
        Attempts in flight, by number.
    tried : set of str
        Identities of servers that must not be asked again.
    possible_runs : int
        Attempts that a server may have run, those in flight included.
    may_have_arrived : bool
        Whether any attempt may have arrived at a server. The next one then counts as
        a retry against the resend budget.
    reply : forwarding.Reply or None
        First successful reply.
    error_reply : forwarding.Reply or None
        Last reply with an error status.
    failed : bool
        Whether the call ended without a successful reply.
    awaits_peer : bool
        Whether another entry instance calls the service and may still reply.
    returned_to_peer : bool
        For a call of a batch: whether the reply was returned to the entry instance
        that sent the batch.
    hedge_at : float
        Time at which a hedge is due, in seconds; infinity if none is.
    retry_at : float
        Time at which a call without a usable server looks for one again, in seconds;
        infinity if it does not wait.
    trace : list of str
        Outcome of each attempt, and why the call failed, for the log.
    """

    service: str
    open_attempts: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    possible_runs: int = 0
    may_have_arrived: bool = False
    reply: forwarding.Reply | None = None
    error_reply: forwarding.Reply | None = None
    failed: bool = False
    awaits_peer: bool = False
    returned_to_peer: bool = False
    hedge_at: float = math.inf
    retry_at: float = math.inf
    trace: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_finished(self) -> bool:
        """Return whether the call has failed or has a successful reply."""
        return self.failed or self.reply is not None


@dataclasses.dataclass(slots=True)
class BatchCall:
    """Calls of a request that another entry instance makes.

    Attributes
    ----------
    peer : backends.Backend
        The other entry instance.
    calls : list of ServiceCall
        The calls, in the order of the batch.
    acknowledged : bool
        Whether the peer has replied, which shows that it received the batch.
    """

    peer: backends.Backend
    calls: list[ServiceCall]
    acknowledged: bool = False


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a caller or of a peer, from its arrival to its answer.

    Attributes
    ----------
    number : int
        Identifies the request in this process.
    request : forwarding.Request
        Request to send to the backend servers.
    route : deployment.Route
        Route of the request.
    version : int
        Version of the deployment that has this route.
    started, deadline : float
        Arrival, and the time by which it must be answered, in seconds.
    calls : list of ServiceCall
        One call for each service.
    answered : bool
        Whether the request has ended.
    hedges, retries, batches : int
        Hedges, retries and batches sent.
    batch_due_at : float or None
        Only for a batch from a peer: time at which the replies received so far are
        returned. While `awaits_continuation` holds, the time at which the batch ends
        unless the peer has asked for the rest.
    awaits_continuation : bool
        Whether a batch was answered in part, so that the peer may ask for the rest.
    batch_calls : dict of int to BatchCall
        Batches in progress at peers, by the number of the message.
    batch_bodies : list of bytes
        Merged records of the shards that peers called.
    failed_count, arrived : int
        Calls that failed, and calls with a successful reply.
    timer_at : float
        Time of the next timer that is set; infinity if none is.
    """

    number: int
    request: forwarding.Request
    route: deployment.Route
    version: int
    started: float
    deadline: float
    calls: list[ServiceCall]
    answered: bool = False
    hedges: int = 0
    retries: int = 0
    batches: int = 0
    batch_due_at: float | None = None
    awaits_continuation: bool = False
    batch_calls: dict[int, BatchCall] = dataclasses.field(default_factory=dict)
    batch_bodies: list[bytes] = dataclasses.field(default_factory=list)
    failed_count: int = 0
    arrived: int = 0
    timer_at: float = math.inf

    @property
    def is_idempotent(self) -> bool:
        """Return whether the request may be sent again after it may have run."""
        return self.route.kind is deployment.RequestKind.IDEMPOTENT

    @property
    def is_finished(self) -> bool:
        """Return whether all calls have finished."""
        return self.arrived + self.failed_count == len(self.calls)

    @property
    def may_have_run(self) -> bool:
        """Return whether any backend server may have run a part of the request."""
        return any(call.possible_runs > 0 for call in self.calls)

    def build_progress(self, target: deployment.ShardTarget) -> completion.Progress:
        """Return the inputs of the decision when to answer."""
        return completion.Progress(
            len(self.calls),
            self.arrived,
            self.failed_count,
            target.coverage_min,
            self.started,
            self.route.objective_s,
            self.deadline,
        )

    def next_time(self, now: float) -> float:
        """Return the time in seconds of the next hedge, retry or answer."""
        times = [self.deadline]
        if self.batch_due_at is not None:
            times.append(self.batch_due_at)
        target = self.route.target
        if isinstance(target, deployment.ShardTarget):
            answer_times = completion.compute_answer_times(self.build_progress(target))
            times += [at for at in answer_times if at > now]
        for call in self.calls:
            if not call.is_finished:
                times += (call.hedge_at, call.retry_at)
        return min(times)

    def make_batch_reply(self, records_max: int) -> forwarding.BatchReply:
        """Return the reply to a batch with the replies not yet returned.

        Marks these replies as returned, so that a continuation gets only later ones.
        """
        arrived = []
        bodies = []
        for index, call in enumerate(self.calls):
            if call.reply is not None and not call.returned_to_peer:
                call.returned_to_peer = True
                arrived.append((index, call.reply.signature))
                bodies.append(call.reply.body)
        return forwarding.BatchReply(
            self.number,
            tuple(arrived),
            tuple(
                forwarding.OpenShard(
                    index,
                    tuple(call.tried),
                    call.may_have_arrived,
                    call.possible_runs > 0,
                    bool(call.open_attempts),
                )
                for index, call in enumerate(self.calls)
                if call.reply is None
            ),
            merging.merge_records(bodies, records_max),
        )

    def merge_replies(self, records_max: int) -> bytes:
        """Return the greatest records of all replies, greatest first."""
        bodies = [call.reply.body for call in self.calls if call.reply is not None]
        return merging.merge_records([*bodies, *self.batch_bodies], records_max)

    def make_log_entry(
        self, now: float, outcome: str, instances: int
    ) -> forwarding.LogEntry:
        """Return the log entry of a request that has ended.

        Parameters
        ----------
        now : float
            Time in seconds.
        outcome : str
            How the request ended.
        instances : int
            Entry instances that share limits and budgets.
        """
        unusual = [
            f"{call.service}: {', '.join(call.trace) or 'no reply'}"
            for call in self.calls
            if call.reply is None or len(call.trace) > 1
        ]
        return forwarding.LogEntry(
            "request:",
            "ended",
            {
                "id": self.request.identity,
                "outcome": outcome,
                "route": self.route.name,
                "version": self.version,
                "ms": round(1000 * (now - self.started), 1),
                "arrived": self.arrived,
                "shards": len(self.calls),
                "hedges": self.hedges,
                "retries": self.retries,
                "batches": self.batches,
                "instances": instances,
                "unusual": unusual,
            },
        )
