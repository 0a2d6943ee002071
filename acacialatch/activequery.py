"""State of one query in progress."""

from acacialatch import attempts, errors, events, model, records, routing, scatter


class ActiveQuery:
    """A query in progress.

    Parameters
    ----------
    now : float
        Start time, in seconds.
    query : model.Query
        The query.
    configuration : model.Configuration
        Configuration in force at the start.
    plan : attempts.Plan
        First plan.
    seed : int
        Seed of its random choices.
    policy : routing.ReplicaPolicy
        Policy that chooses replicas.

    Attributes
    ----------
    started_at : float
        Start time, in seconds.
    configuration : model.Configuration
        Configuration of the plan in use.
    offered_configuration : model.Configuration
        Configuration of the last plan passed to `scatter`, which may refuse it.
    writer : records.RecordWriter or None
        Explanation record.
    wake_at : float
        Time at which `scatter` requested a timer event, in seconds.
    send_ids : dict
        Identifiers of the sends, by attempt number.
    timeouts_s : dict
        Timeouts in seconds of the attempts that time out before the deadline of the
        query, by attempt number.
    purposes : dict
        Purpose of the last requested view, by part number.
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
        self.started_at = now
        self.query = query
        self.configuration = configuration
        self.offered_configuration = configuration
        self.floor = configuration.kinds[query.kind].floor
        self.seed = seed
        self.scatter = scatter.Scatter(query, self.floor, seed, policy)
        self.writer: records.RecordWriter | None = None
        self.plan = plan
        self.wake_at = query.deadline
        self.send_ids: dict[int, int] = {}
        self.timeouts_s: dict[int, float] = {}
        self.purposes: dict[int, attempts.Purpose] = {}
        self.finished = False


def make_failure_answer(
    query: model.Query, revision: int, failure: errors.Failure
) -> events.AnswerQuery:
    """Return an answer without rows, for a query that failed outside `scatter`."""
    outcome = attempts.Outcome(failure, (), (), (), 0, 0, ())
    return events.AnswerQuery(query.answer_id, revision, outcome)
