"""Order of configurations, and freshness of the one in force.

Configurations are ordered by revision and then by the SHA-256 of their text. The
verdict on a text depends on the text alone, so that all entry instances agree.
`configuration.check_successor` also looks at the configuration in force, which
differs between instances that skipped a revision and is absent in a new process.
Its problems are therefore only warnings here: as refusals they would leave
instances on different configurations.
"""

import enum
import hashlib
import math
import typing

import result

from acacialatch import configuration, model, tables

SERVICE_SOURCE = "service"  # source name of the configuration service
PEER_PREFIX = "peer:"

# A longer gap between turns of the event loop means that the process was paused.
PAUSE_THRESHOLD_S = 1.0
# Without a confirmation for longer, an instance that knows peers sends no new work.
# A change must be in force everywhere within this time.
ISOLATION_TIMEOUT_S = 3.0
# Two digest periods: every reachable peer has answered by then, so a peer with a
# newer configuration would have reported it.
UNCONFIRMED_PEERS_DELAY_S = 1.0

REFUSED_MAX = 64  # refused texts remembered
PROBLEMS_KEPT_MAX = 20  # problems remembered for each refused text


class ConfigurationVersion(typing.NamedTuple):
    """Version of a configuration; versions are totally ordered.

    Attributes
    ----------
    revision : int
        Revision given by the configuration service.
    sha256 : str
        SHA-256 of the text in hexadecimal; empty if a source reports none.
    """

    revision: int
    sha256: str


class Cause(enum.Enum):
    """Why the state of a store changed."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    PAUSED = "paused"
    CONFIRMED = "confirmed"


class Change(typing.NamedTuple):
    """A change of the state of a store, for the audit trail.

    Attributes
    ----------
    at : float
        Time on the runtime clock, in seconds.
    cause : Cause
        Why the state changed.
    before : ConfigurationVersion or None
        Configuration in force before.
    after : ConfigurationVersion or None
        Configuration in force afterwards.
    source : str
        `SERVICE_SOURCE`, a name made by `make_peer_source`, or `"loop"` for a pause.
    offered : ConfigurationVersion or None
        Configuration that was accepted or refused; None for other causes.
    problems : tuple of Problem
        Problems of a refused text, or warnings about an accepted one.
    """

    at: float
    cause: Cause
    before: ConfigurationVersion | None
    after: ConfigurationVersion | None
    source: str
    offered: ConfigurationVersion | None = None
    problems: tuple[tables.Problem, ...] = ()


class Verdict(enum.Enum):
    """Result of checking an offered text."""

    ACCEPTED = "accepted"
    SAME = "same"
    OLDER = "older"
    REFUSED = "refused"


class Outcome(typing.NamedTuple):
    """Result of an offer.

    `change` is None unless the text was accepted, or refused for the first time.
    """

    verdict: Verdict
    problems: tuple[tables.Problem, ...] = ()
    change: Change | None = None


class ConfirmationStatus(enum.Enum):
    """Whether an answer confirms the configuration in force, or why it does not."""

    CONFIRMED = "confirmed"
    BEHIND = "behind"  # the source has a newer configuration, which must be fetched
    AWAITING = "awaiting"  # another source has a newer one, not fetched yet
    OUTDATED = "outdated"  # requested before the end of the latest pause
    STALE_SOURCE = "stale_source"  # the service returned something older
    UNCONFIRMED_SOURCE = (
        "unconfirmed_source"  # the peer's own configuration is not current
    )


class Confirmation(typing.NamedTuple):
    """Result of `RevisionStore.confirm`.

    `change` is set if this is the first confirmation after a start or a pause.
    """

    status: ConfirmationStatus
    change: Change | None = None


def make_peer_source(name: str) -> str:
    """Return the source name that stands for the peer `name`."""
    return PEER_PREFIX + name


def hash_text(text: bytes) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text).hexdigest()


class RevisionStore:
    """The configuration in force at one entry instance, and its freshness.

    All times are seconds on the runtime clock. The event loop must call
    `record_loop_turn` before it handles anything else, and at least once in
    `PAUSE_THRESHOLD_S`.
    """

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = None
        self.text: bytes | None = None
        self.version: ConfigurationVersion | None = None
        self._refused_texts: dict[str, tuple[tables.Problem, ...]] = {}
        self._refused_versions: dict[ConfigurationVersion, None] = {}
        self._service_refused_revision = -1  # last answer of the service, if refused
        self._last_turn_at = -math.inf
        self._resumed_at = -math.inf  # end of the latest pause
        self._awaits_confirmation = True
        self._last_confirmed_at = -math.inf
        self._unconfirmed_since: float | None = None
        self._last_unconfirmed_at = -math.inf
        self._announced: ConfigurationVersion | None = None
        self._announced_at = -math.inf
        self._service_read_at = -math.inf

    @property
    def revision(self) -> int:
        """Revision in force; -1 before the first."""
        return self.version.revision if self.version else -1

    @property
    def digest(self) -> str:
        """SHA-256 of the text in force in hexadecimal; empty before the first."""
        return self.version.sha256 if self.version else ""

    @property
    def watch_after(self) -> int:
        """Revision after which to watch the service.

        It skips a refused text that the service offers, since the watch would
        otherwise return that text again and again.
        """
        return max(self.revision, self._service_refused_revision)

    def offer(self, now: float, revision: int, text: bytes, source: str) -> Outcome:
        """Check a text from the service or a peer and put it in force if newer.

        Parameters
        ----------
        now : float
            Time, in seconds.
        revision : int
            Revision under which the source holds the text.
        text : bytes
            The text.
        source : str
            `SERVICE_SOURCE` or a name made by `make_peer_source`.

        Returns
        -------
        Outcome
            `ACCEPTED` if the text is valid and its version is above the one in
            force; `SAME` or `OLDER` if the version is not above it; `REFUSED`
            with the problems if the revision or the text is invalid.
        """
        if not _is_valid_revision(revision):
            problems = tables.Problems("revision")
            problems.add("revision", revision, f"0 to {tables.INTEGER_MAX}")
            return Outcome(Verdict.REFUSED, problems.list_all())
        version = ConfigurationVersion(revision, hash_text(text))
        if source == SERVICE_SOURCE:
            self._service_refused_revision = -1
        if self.version is not None and version <= self.version:
            return Outcome(Verdict.SAME if version == self.version else Verdict.OLDER)
        problems = self._refused_texts.get(version.sha256)
        if problems is None:
            parsed = configuration.parse(text)
            if isinstance(parsed, result.Ok):
                return self._accept(now, version, text, parsed.ok_value, source)
            problems = parsed.err_value[:PROBLEMS_KEPT_MAX]
        return self._refuse(now, version, problems, source)

    def _accept(
        self,
        now: float,
        version: ConfigurationVersion,
        text: bytes,
        accepted: model.Configuration,
        source: str,
    ) -> Outcome:
        """Put a configuration in force; successor problems become warnings."""
        warnings: tuple[tables.Problem, ...] = ()
        if self.configuration is not None:
            warnings = configuration.check_successor(self.configuration, accepted)
        change = Change(
            now, Cause.ACCEPTED, self.version, version, source, version, warnings
        )
        self.configuration, self.text, self.version = accepted, text, version
        return Outcome(Verdict.ACCEPTED, (), change)

    def _refuse(
        self,
        now: float,
        version: ConfigurationVersion,
        problems: tuple[tables.Problem, ...],
        source: str,
    ) -> Outcome:
        """Remember a refused text; the first time, the outcome has a change."""
        if source == SERVICE_SOURCE:
            self._service_refused_revision = version.revision
        known = version in self._refused_versions
        for table, key, value in (
            (self._refused_texts, version.sha256, problems),
            (self._refused_versions, version, None),
        ):
            table.pop(key, None)  # moves a known text to the end
            table[key] = value
            if len(table) > REFUSED_MAX:
                del table[next(iter(table))]
        if known:
            return Outcome(Verdict.REFUSED, problems)
        change = Change(
            now, Cause.REFUSED, self.version, self.version, source, version, problems
        )
        return Outcome(Verdict.REFUSED, problems, change)

    def record_loop_turn(self, now: float) -> Change | None:
        """Record one turn of the event loop and detect a pause of the process.

        After a pause the configuration is not current until an answer to a later
        request confirms it.

        Parameters
        ----------
        now : float
            Time at the start of the turn, in seconds.

        Returns
        -------
        Change or None
            The change if the process was paused; None otherwise and for the first
            turn.
        """
        gap_s = now - self._last_turn_at
        is_first = math.isinf(self._last_turn_at)
        self._last_turn_at = now
        if gap_s <= PAUSE_THRESHOLD_S:
            return None
        self._resumed_at = now
        self._awaits_confirmation = True
        self._unconfirmed_since = None
        if is_first:
            return None
        return Change(now, Cause.PAUSED, self.version, self.version, "loop")

    def confirm(
        self,
        now: float,
        source: str,
        *,
        requested_at: float,
        version: ConfigurationVersion | None = None,
        is_source_current: bool = False,
    ) -> Confirmation:
        """Decide whether an answer confirms the configuration in force.

        Only an answer to a request that was sent after the latest pause counts,
        since answers that arrived during the pause waited in socket buffers and
        may be outdated. If an answer carries a text, call `offer` first.

        Parameters
        ----------
        now : float
            Time, in seconds.
        source : str
            `SERVICE_SOURCE` or a name made by `make_peer_source`.
        requested_at : float
            Time at which the request was sent, in seconds.
        version : ConfigurationVersion or None
            Newest configuration that the source holds. None if the service
            answered that it has nothing above the requested revision.
        is_source_current : bool
            Whether a peer reports that its own configuration is current. Answers
            of other peers count only once they have arrived for
            `UNCONFIRMED_PEERS_DELAY_S`, so that peers that were paused together
            do not confirm an old configuration to each other while another peer
            is about to report a newer one.

        Returns
        -------
        Confirmation
            Whether the answer counts, or why it does not.
        """
        if self.version is None and version is None:
            return Confirmation(ConfirmationStatus.BEHIND)
        if version is not None and self._is_newer(version):
            if (
                self._announced is None
                or version >= self._announced
                or not self._awaits_announced(now)
            ):
                self._announced, self._announced_at = version, now
            return Confirmation(ConfirmationStatus.BEHIND)
        if requested_at < self._resumed_at:
            return Confirmation(ConfirmationStatus.OUTDATED)
        if source == SERVICE_SOURCE and version is not None and self._is_older(version):
            return Confirmation(ConfirmationStatus.STALE_SOURCE)
        if source == SERVICE_SOURCE:
            self.record_service_read(requested_at)
        if self._awaits_announced(now):
            return Confirmation(ConfirmationStatus.AWAITING)
        if source != SERVICE_SOURCE and not is_source_current:
            if not self._count_unconfirmed_peer(now):
                return Confirmation(ConfirmationStatus.UNCONFIRMED_SOURCE)
        else:
            self._unconfirmed_since = None
        self._last_confirmed_at = max(self._last_confirmed_at, requested_at)
        if not self._awaits_confirmation:
            return Confirmation(ConfirmationStatus.CONFIRMED)
        self._awaits_confirmation = False
        change = Change(now, Cause.CONFIRMED, self.version, self.version, source)
        return Confirmation(ConfirmationStatus.CONFIRMED, change)

    def _is_newer(self, version: ConfigurationVersion) -> bool:
        """Return whether `version` is above the one in force and not refused."""
        if version in self._refused_versions or version.sha256 in self._refused_texts:
            return False
        if not version.sha256:
            return version.revision > self.watch_after
        return self.version is None or version > self.version

    def _is_older(self, version: ConfigurationVersion) -> bool:
        """Return whether `version` is below the one in force."""
        if not version.sha256:
            return version.revision < self.revision
        return self.version is None or version < self.version

    def _awaits_announced(self, now: float) -> bool:
        """Return whether a newer configuration was reported but not received.

        Reports older than `ISOLATION_TIMEOUT_S` do not count.
        """
        return (
            self._announced is not None
            and now - self._announced_at <= ISOLATION_TIMEOUT_S
            and self._is_newer(self._announced)
        )

    def _count_unconfirmed_peer(self, now: float) -> bool:
        """Record an answer of a peer that is not current; return whether it counts.

        It counts once such answers have arrived for `UNCONFIRMED_PEERS_DELAY_S`
        without a gap of more than `ISOLATION_TIMEOUT_S`.
        """
        since = self._unconfirmed_since
        if since is None or now - self._last_unconfirmed_at > ISOLATION_TIMEOUT_S:
            self._unconfirmed_since = since = now
        self._last_unconfirmed_at = now
        return now - since >= UNCONFIRMED_PEERS_DELAY_S

    def is_current(self, now: float, peers_known: bool) -> bool:
        """Return whether new work may be sent under the configuration in force.

        Parameters
        ----------
        now : float
            Time, in seconds.
        peers_known : bool
            Whether other entry instances are known. If none is, the configuration
            stays current while the service is down, since a service that is down
            accepts no change.
        """
        if self.version is None or self._awaits_confirmation:
            return False
        if now - self._last_turn_at > PAUSE_THRESHOLD_S:
            return False  # a pause that record_loop_turn has yet to detect
        return not peers_known or now - self._last_confirmed_at <= ISOLATION_TIMEOUT_S

    def record_service_read(self, now: float) -> None:
        """Record a successful read of the service.

        `now` is the time at which the read was requested, in seconds.
        """
        self._service_read_at = max(self._service_read_at, now)

    def merge_service_age(self, now: float, age: float) -> None:
        """Record the latest service read that a peer knows of.

        Parameters
        ----------
        now : float
            Time, in seconds. For an answer, the time at which it was requested.
        age : float
            Age of that read, in seconds. Negative and NaN values are ignored.
        """
        if age >= 0:
            self._service_read_at = max(self._service_read_at, now - age)

    def service_age(self, now: float) -> float:
        """Return the time since the latest known read of the service, in seconds.

        Infinite if no read is known.
        """
        return max(0.0, now - self._service_read_at)


def _is_valid_revision(revision: object) -> bool:
    return tables.is_integer(revision) and 0 <= revision <= tables.INTEGER_MAX
