"""State of one forwarded request: its shards, its sends and its progress."""

import dataclasses
import math

from acacialatch import backends, completion, deployment, forwarding, merging


@dataclasses.dataclass(slots=True)
class Attempt:
    """One send to one backend server that is still open."""

    number: int
    backend: backends.Backend
    started: float
    hedge: bool


@dataclasses.dataclass(slots=True)
class Leg:
    """Part of a request that one service answers.

    Attributes
    ----------
    service : str
        Service that answers.
    open : dict of int to Attempt
        Sends without an outcome yet.
    tried : set of str
        Identities that were sent the request, or refused it.
    runs : int
        Sends after which a server may have run the request, open ones included.
    reached : bool
        Whether any send may have arrived, so that the next one is a repeat.
    reply : forwarding.Reply or None
        The reply that counts.
    failure : forwarding.Reply or None
        The last failure that a server gave itself.
    lost : bool
        Whether no reply is to be hoped for.
    delegated : bool
        Whether another entry instance asks a server and may still reply.
    told : bool
        Whether the reply was returned to the entry instance that sent the batch.
    hedge_at : float
        When a second send is due.
    retry_at : float
        When a leg that waits for a server looks again.
    """

    service: str
    open: dict[int, Attempt] = dataclasses.field(default_factory=dict)
    tried: set[str] = dataclasses.field(default_factory=set)
    runs: int = 0
    reached: bool = False
    reply: forwarding.Reply | None = None
    failure: forwarding.Reply | None = None
    lost: bool = False
    delegated: bool = False
    told: bool = False
    hedge_at: float = math.inf
    retry_at: float = math.inf
    trace: list[str] = dataclasses.field(default_factory=list)

    @property
    def is_settled(self) -> bool:
        """Return whether nothing more is expected of the leg."""
        return self.lost or self.reply is not None


@dataclasses.dataclass(slots=True)
class Delegation:
    """Shards of a request that another entry instance asks.

    Attributes
    ----------
    peer : backends.Backend
        The entry instance.
    legs : list of Leg
        The shards, in the order of the batch.
    confirmed : bool
        Whether it has replied, so that it has got the batch.
    """

    peer: backends.Backend
    legs: list[Leg]
    confirmed: bool = False


@dataclasses.dataclass(slots=True)
class Exchange:
    """One request of a caller from its arrival to its answer.

    A request that came as a batch from another entry instance returns the replies that
    are in at `gather_until`. While it is parked, it ends at that time unless the other
    instance asks for the rest.
    """

    number: int
    request: forwarding.Request
    route: deployment.Route
    version: int
    started: float
    deadline: float
    legs: list[Leg]
    answered: bool = False
    hedges: int = 0
    retries: int = 0
    batches: int = 0
    gather_until: float | None = None
    parked: bool = False
    delegations: dict[int, Delegation] = dataclasses.field(default_factory=dict)
    # Merged records of shards that other entry instances asked.
    gathered: list[bytes] = dataclasses.field(default_factory=list)
    # Legs that are settled without a reply, and with one.
    lost: int = 0
    arrived: int = 0
    # Time of the timer that is set.
    scheduled_at: float = math.inf

    @property
    def may_repeat(self) -> bool:
        """Return whether a request that may have run may be sent again."""
        return self.route.kind is deployment.RequestKind.IDEMPOTENT

    @property
    def is_settled(self) -> bool:
        """Return whether nothing more is expected of any leg."""
        return self.arrived + self.lost == len(self.legs)

    @property
    def may_have_run(self) -> bool:
        """Return whether any backend server may have run a part of the request."""
        return any(leg.runs > 0 for leg in self.legs)

    def progress(self, target: deployment.ShardTarget) -> completion.Progress:
        """Return the inputs of the decision when to answer."""
        return completion.Progress(
            len(self.legs),
            self.arrived,
            self.lost,
            target.coverage_min,
            self.started,
            self.route.objective_s,
            self.deadline,
        )

    def next_time(self, now: float) -> float:
        """Return the time at which the exchange must be looked at again."""
        times = [self.deadline]
        if self.gather_until is not None:
            times.append(self.gather_until)
        target = self.route.target
        if isinstance(target, deployment.ShardTarget):
            answer_times = completion.answer_times(self.progress(target))
            times += [at for at in answer_times if at > now]
        for leg in self.legs:
            if not leg.is_settled:
                times += (leg.hedge_at, leg.retry_at)
        return min(times)

    def gather(self, records_max: int) -> forwarding.BatchReply:
        """Return the reply to a batch with what has come in since the last one."""
        arrived = []
        bodies = []
        for index, leg in enumerate(self.legs):
            if leg.reply is not None and not leg.told:
                leg.told = True
                arrived.append((index, leg.reply.signature))
                bodies.append(leg.reply.body)
        return forwarding.BatchReply(
            self.number,
            tuple(arrived),
            tuple(
                forwarding.OpenShard(
                    index,
                    tuple(leg.tried),
                    leg.reached,
                    leg.runs > 0,
                    bool(leg.open),
                )
                for index, leg in enumerate(self.legs)
                if leg.reply is None
            ),
            merging.merge_records(bodies, records_max),
        )

    def merge(self, records_max: int) -> bytes:
        """Return the greatest records of the replies."""
        bodies = [leg.reply.body for leg in self.legs if leg.reply is not None]
        return merging.merge_records([*bodies, *self.gathered], records_max)

    def describe(self, now: float, outcome: str, instances: int) -> forwarding.LogEntry:
        """Return the log line of the request when it has ended.

        Parameters
        ----------
        now : float
            Time in seconds.
        outcome : str
            How it ended.
        instances : int
            Entry instances that share limits and budgets.
        """
        unusual = [
            f"{leg.service}: {', '.join(leg.trace) or 'no reply'}"
            for leg in self.legs
            if leg.reply is None or len(leg.trace) > 1
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
                "shards": len(self.legs),
                "hedges": self.hedges,
                "retries": self.retries,
                "batches": self.batches,
                "instances": instances,
                "unusual": unusual,
            },
        )
