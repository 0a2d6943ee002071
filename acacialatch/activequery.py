"""State of one query in progress at the engine."""

from acacialatch import attempts, errors, events, model, records, routing, scatter


class ActiveQuery:
    """A query in progress.

    Parameters
    ----------
    now : float
        Time of the start, in seconds.
    query : model.Query
        The query.
    configuration : model.Configuration
        Configuration in force at the start.
    plan : attempts.Plan
        First plan.
    seed : int
        Seed of its pseudo-random choices.
    policy : routing.ReplicaPolicy
        Choice of replicas.

    Attributes
    ----------
    next_configuration : model.Configuration
        Configuration of the plan that scatter was offered last.
    writer : records.RecordWriter or None
        Explanation record.
    wake_at : float
        Time for which scatter asked, in seconds.
    sends : dict
        Identifiers of sends by attempt.
    timeouts : dict
        Time limits of attempts that end before the deadline, in seconds.
    purposes : dict
        Purpose of the last choice by part.
    finished : bool
        Whether the query was answered.
    """

    def __init__(
        self,
        now: float,
        query: model.Query,
        configuration: model.Configuration,
        plan: attempts.Plan,
        seed: int,
        policy: routing.ReplicaPolicy,
    ):
        self.started = now
        self.query = query
        self.configuration = configuration
        self.next_configuration = configuration
        self.floor = configuration.kinds[query.kind].floor
        self.seed = seed
        self.scatter = scatter.Scatter(query, self.floor, seed, policy)
        self.writer: records.RecordWriter | None = None
        self.plan = plan
        self.wake_at = query.deadline
        self.sends: dict[int, int] = {}
        self.timeouts: dict[int, float] = {}
        self.purposes: dict[int, attempts.Purpose] = {}
        self.finished = False


def make_failure_answer(
    query: model.Query, revision: int, failure: errors.Failure
) -> events.AnswerQuery:
    """Return the answer to a query that was refused before it started."""
    outcome = attempts.Outcome(failure, (), (), (), 0, 0, ())
    return events.AnswerQuery(query.answer_id, revision, outcome)
