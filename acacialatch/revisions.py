"""Order of configurations, and freshness of the one in force.

Configurations are ordered by revision and then by the SHA-256 of their text. The
verdict on a text depends on the text alone. `configuration.check_successor` looks
at the configuration in force, which differs between entry instances that skipped a
revision and is absent in a new process, so its problems are only warnings here:
as refusals they would split the fleet.
"""

import enum
import hashlib
import math
import typing

import result

from acacialatch import configuration, model, tables

SERVICE_SOURCE = "service"  # source name of the configuration service
PEER_PREFIX = "peer:"

LOOP_GAP_S = 1.0  # a longer gap in the event loop is a pause
ISOLATION_S = 3.0  # a change must be in force everywhere within this time
# Two periods of the exchange between peers: every reachable peer has answered by
# then, so a peer with a newer configuration would have been heard.
MUTUAL_DOUBT_S = 1.0

REFUSED_MAX = 64  # refused texts that are remembered
PROBLEMS_KEPT_MAX = 20  # problems remembered for each refused text


class ConfigurationVersion(typing.NamedTuple):
    """Place of a configuration in the total order.

    Attributes
    ----------
    revision : int
        Revision given by the configuration service.
    sha256 : str
        SHA-256 of the text in hexadecimal; empty if a source names no hash.
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
    """One change for the audit trail.

    Attributes
    ----------
    at : float
        Time on the runtime clock, in seconds.
    cause : Cause
        What happened.
    before : ConfigurationVersion or None
        Configuration in force before.
    after : ConfigurationVersion or None
        Configuration in force afterwards.
    source : str
        `SERVICE_SOURCE`, a name made by `make_peer_source`, or `"loop"` for a pause.
    offered : ConfigurationVersion or None
        Configuration that was offered, if the cause is an offer.
    notes : tuple of Problem
        Problems of a refused text, or warnings about an accepted one.
    """

    at: float
    cause: Cause
    before: ConfigurationVersion | None
    after: ConfigurationVersion | None
    source: str
    offered: ConfigurationVersion | None = None
    notes: tuple[tables.Problem, ...] = ()


class Verdict(enum.Enum):
    """What became of an offered text."""

    ACCEPTED = "accepted"
    SAME = "same"
    OLDER = "older"
    REFUSED = "refused"


class Outcome(typing.NamedTuple):
    """Result of an offer.

    `change` is None unless the text was accepted or refused for the first time.
    """

    verdict: Verdict
    problems: tuple[tables.Problem, ...] = ()
    change: Change | None = None


class ConfirmationStatus(enum.Enum):
    """What became of a confirmation."""

    CONFIRMED = "confirmed"
    BEHIND = "behind"  # the source has a newer configuration, which must be fetched
    AWAITING = "awaiting"  # another source has a newer one, not fetched yet
    OUTDATED = "outdated"  # asked before the end of the latest pause
    STALE_SOURCE = "stale_source"  # the service returned something older
    UNCONFIRMED_SOURCE = "unconfirmed_source"  # the peer is itself not current


class Confirmation(typing.NamedTuple):
    """Result of a confirmation; `change` is set when it ends a pause."""

    status: ConfirmationStatus
    change: Change | None = None


def make_peer_source(name: str) -> str:
    """Return the source name of the peer `name`."""
    return PEER_PREFIX + name


def hash_text(text: bytes) -> str:
    """Return the SHA-256 of a text in hexadecimal."""
    return hashlib.sha256(text).hexdigest()


class RevisionStore:
    """The configuration in force at one entry instance, and its freshness.

    All times are seconds on the runtime clock. The event loop must call
    `note_loop` before it handles anything else, at least every `LOOP_GAP_S`.
    """

    def __init__(self) -> None:
        self.configuration: model.Configuration | None = None
        self.text: bytes | None = None
        self.version: ConfigurationVersion | None = None
        self._refused: dict[str, tuple[tables.Problem, ...]] = {}
        self._refused_versions: dict[ConfigurationVersion, None] = {}
        self._service_refused = -1  # revision of the service's refused answer
        self._loop_at = -math.inf
        self._doubt_from = -math.inf  # end of the latest pause
        self._awaits_confirmation = True
        self._contact_at = -math.inf
        self._unconfirmed_from: float | None = None
        self._unconfirmed_at = -math.inf
        self._ahead: ConfigurationVersion | None = None
        self._ahead_at = -math.inf
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

        It passes over a text that the service offers and that was refused, since
        the watch would otherwise return that text in a loop.
        """
        return max(self.revision, self._service_refused)

    def offer(self, now: float, revision: int, text: bytes, source: str) -> Outcome:
        """Consider a text from the service or a peer.

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
            Accepted if it is valid and above the one in force.
        """
        if not _is_revision(revision):
            problems = tables.Problems("revision")
            problems.add("revision", revision, f"0 to {tables.INTEGER_MAX}")
            return Outcome(Verdict.REFUSED, problems.list_all())
        version = ConfigurationVersion(revision, hash_text(text))
        if source == SERVICE_SOURCE:
            self._service_refused = -1
        if self.version is not None and version <= self.version:
            return Outcome(Verdict.SAME if version == self.version else Verdict.OLDER)
        problems = self._refused.get(version.sha256)
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
        if source == SERVICE_SOURCE:
            self._service_refused = version.revision
        known = version in self._refused_versions
        for table, key, value in (
            (self._refused, version.sha256, problems),
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

    def note_loop(self, now: float) -> Change | None:
        """Note one turn of the event loop; return a change after a pause.

        Parameters
        ----------
        now : float
            Time at the start of the turn, in seconds.
        """
        gap = now - self._loop_at
        first = math.isinf(self._loop_at)
        self._loop_at = now
        if gap <= LOOP_GAP_S:
            return None
        self._doubt_from = now
        self._awaits_confirmation = True
        self._unconfirmed_from = None
        if first:
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
        """Note what a source holds, as told in its answer to our own request.

        Only an answer to a request sent after a pause confirms anything, since
        messages received during the pause wait in the socket buffers. An answer
        that carries a text is passed to `offer` first.

        Parameters
        ----------
        now : float
            Time, in seconds.
        source : str
            `SERVICE_SOURCE` or a name made by `make_peer_source`.
        requested_at : float
            Time at which the request was sent, in seconds.
        version : ConfigurationVersion or None
            Newest configuration that the source holds. None if a watch ended and
            named none: the service has nothing above the revision asked for.
        is_source_current : bool
            Whether a peer says that its own configuration is current. Answers of
            peers that are not count only after `MUTUAL_DOUBT_S` of them, so that
            peers that were paused together do not confirm an old configuration
            while another peer is about to report a newer one.

        Returns
        -------
        Confirmation
            Whether it counted, and what to do if it did not.
        """
        if self.version is None and version is None:
            return Confirmation(ConfirmationStatus.BEHIND)
        if version is not None and self._is_ahead(version):
            if self._ahead is None or version >= self._ahead or not self._awaits(now):
                self._ahead, self._ahead_at = version, now
            return Confirmation(ConfirmationStatus.BEHIND)
        if requested_at < self._doubt_from:
            return Confirmation(ConfirmationStatus.OUTDATED)
        if source == SERVICE_SOURCE and version is not None and self._is_below(version):
            return Confirmation(ConfirmationStatus.STALE_SOURCE)
        if source == SERVICE_SOURCE:
            self.note_service_read(requested_at)
        if self._awaits(now):
            return Confirmation(ConfirmationStatus.AWAITING)
        if source != SERVICE_SOURCE and not is_source_current:
            if not self._note_unconfirmed(now):
                return Confirmation(ConfirmationStatus.UNCONFIRMED_SOURCE)
        else:
            self._unconfirmed_from = None
        self._contact_at = max(self._contact_at, requested_at)
        if not self._awaits_confirmation:
            return Confirmation(ConfirmationStatus.CONFIRMED)
        self._awaits_confirmation = False
        change = Change(now, Cause.CONFIRMED, self.version, self.version, source)
        return Confirmation(ConfirmationStatus.CONFIRMED, change)

    def _is_ahead(self, version: ConfigurationVersion) -> bool:
        """Return whether `version` could replace the configuration in force."""
        if version in self._refused_versions or version.sha256 in self._refused:
            return False
        if not version.sha256:
            return version.revision > self.watch_after
        return self.version is None or version > self.version

    def _is_below(self, version: ConfigurationVersion) -> bool:
        if not version.sha256:
            return version.revision < self.revision
        return self.version is None or version < self.version

    def _awaits(self, now: float) -> bool:
        """Return whether a source lately named a newer one that is not here yet."""
        return (
            self._ahead is not None
            and now - self._ahead_at <= ISOLATION_S
            and self._is_ahead(self._ahead)
        )

    def _note_unconfirmed(self, now: float) -> bool:
        """Note an answer of a peer in doubt; return whether it counts."""
        since = self._unconfirmed_from
        if since is None or now - self._unconfirmed_at > ISOLATION_S:
            self._unconfirmed_from = since = now
        self._unconfirmed_at = now
        return now - since >= MUTUAL_DOUBT_S

    def is_current(self, now: float, peers_known: bool) -> bool:
        """Return whether new work may be sent under the configuration in force.

        Parameters
        ----------
        now : float
            Time, in seconds.
        peers_known : bool
            Whether other entry instances are known. With none, the configuration
            stays current while the service is down, since a service that is down
            accepts no change.
        """
        if self.version is None or self._awaits_confirmation:
            return False
        if now - self._loop_at > LOOP_GAP_S:
            return False  # a pause that note_loop has not seen yet
        return not peers_known or now - self._contact_at <= ISOLATION_S

    def note_service_read(self, now: float) -> None:
        """Note a successful read of the service at `now`."""
        self._service_read_at = max(self._service_read_at, now)

    def merge_service_age(self, now: float, age: float) -> None:
        """Take over the service age that a peer reported.

        Parameters
        ----------
        now : float
            Time, in seconds. For an answer, the time at which it was asked for.
        age : float
            Reported age, in seconds. Negative and undefined ages are ignored.
        """
        if age >= 0:
            self._service_read_at = max(self._service_read_at, now - age)

    def service_age(self, now: float) -> float:
        """Return the time since the latest known read of the service, in seconds.

        Infinite if no read is known.
        """
        return max(0.0, now - self._service_read_at)


def _is_revision(revision: object) -> bool:
    return tables.is_integer(revision) and 0 <= revision <= tables.INTEGER_MAX
