"""Configuration texts and engines at sizes up to the two-year size."""

import collections
import itertools
import time
import typing

import msgspec

from acacialatch import (
    bodies,
    control,
    engine,
    events,
    facts,
    instances,
    membership,
    messages,
    model,
    revisions,
)

DAEMONS = 470
REPLICAS = 2_700
QUERIES_PER_S = 68_000
PARTS = 59
"""Replicas that one query is sent to."""

ZONES = ("east-a", "east-b", "east-c", "west-a", "west-b")
"""Availability zones of the two regions."""

GROUP_REPLICAS = 2 * PARTS
KEYS = 65_536
CONNECTIONS = 1_000
"""Above `DAEMONS`, since a text in which a share is 0 is refused."""

SERVER_INCARNATION = "5e" * 16
INDEX_VERSION = 7
SETTLE_TICKS = 10

EPOCH_S = 1000.0
"""Time on the clock of an engine at its start."""


def render(replicas: int) -> bytes:
    """Return a configuration text with about that many replicas.

    Each leaf service has two replicas. Each composite service depends on up to
    `PARTS` leaf services, which tile one index.

    Parameters
    ----------
    replicas : int
        Number of replicas; an odd one is rounded down.
    """
    zones = ", ".join(f'"{zone}"' for zone in ZONES)
    texts = [
        f'title = "capacity"\nentry_instances_max = {DAEMONS + 1}\n'
        f"zones = [{zones}]\nzones_out = []\n"
        "[kinds.full_page]\ndeadline_ms = 2000\n"
        "[kinds.urgent]\ndeadline_ms = 150\n[kinds.lookup]\ndeadline_ms = 10000\n"
        f"[shapes.desk]\nslots = 4\nconnections = {CONNECTIONS}\nconnect_ms = 6\n"
        "cold_requests = 2\ncold_window_ms = 1000\nwarm_up_ms = 3000\n"
        "warm_after_requests = 4\n"
    ]
    number = 0
    for group, first in enumerate(range(0, replicas - 1, GROUP_REPLICAS)):
        leaves = min(GROUP_REPLICAS, replicas - first) // 2
        texts.append(_render_group(group, leaves, number))
        number += leaves
    return "".join(texts).encode()


def _render_group(group: int, leaves: int, number: int) -> str:
    names = ", ".join(f'"g{group:02}-{leaf:02}"' for leaf in range(leaves))
    text = f"[indexes.i{group:02}]\nkeys = {KEYS}\npartition_map = 1\n"
    text += f"[services.g{group:02}]\ndepends_on = [{names}]\n"
    for leaf in range(leaves):
        replicas = ", ".join(
            f'{{ address = "{_place(number + leaf, copy)}",'
            f' zone = "{ZONES[(number + leaf + copy) % len(ZONES)]}" }}'
            for copy in range(2)
        )
        text += (
            f'[services.g{group:02}-{leaf:02}]\nindex = "i{group:02}"\n'
            f"start = {KEYS * leaf // leaves}\nend = {KEYS * (leaf + 1) // leaves}\n"
            f'shape = "desk"\nreplicas = [{replicas}]\n'
        )
    return text


def _place(leaf: int, copy: int) -> str:
    return f"127.{1 + copy}.{leaf // 250}.{1 + leaf % 250}:7001"


def list_entries(count: int) -> tuple[model.ListedInstance, ...]:
    """Return the platform's list of that many other entry instances."""
    return tuple(
        model.ListedInstance(
            f"entry-{number:03}",
            model.InstanceRole.ENTRY,
            ZONES[number % len(ZONES)],
            f"127.9.{number // 250}.{1 + number % 250}:7800",
            f"127.9.{number // 250}.{1 + number % 250}:7900",
            model.InstanceState.LIVE,
        )
        for number in range(count)
    )


def list_warm(configuration: model.Configuration) -> tuple[facts.Fact, ...]:
    """Return facts by which every replica of a configuration is warm."""
    return tuple(
        facts.Fact(
            replica.address,
            SERVER_INCARNATION,
            facts.Phase.WARM,
            10,
            60.0,
            0.1,
            ((service.index, (INDEX_VERSION,)),),
        )
        for service in configuration.services.values()
        for replica in service.replicas
    )


class Driver:
    """An engine at a given size, in a world that answers everything at once.

    Only the time inside the engine is counted.

    Parameters
    ----------
    text : bytes
        Configuration text.
    peers : int
        Other entry instances. They all stay known as live.

    Attributes
    ----------
    now : float
        Time on the clock of the engine, in seconds.
    spent_s : collections.Counter
        Processor time in the engine since the last `reset` by type of event, in
        seconds.
    counts : collections.Counter
        Number of events since the last `reset` by type.
    sent : list of messages.Digest
        Digests that the engine sent since the last `reset`.
    records : list of bytes
        Explanation records that it wrote since the last `reset`.
    """

    def __init__(self, text: bytes, peers: int):
        self.text = text
        self.now = EPOCH_S
        self.listed = list_entries(peers)
        identity = engine.Identity(
            "entry-own",
            ZONES[0],
            "127.9.9.9:7800",
            "127.9.9.9:7900",
            b"\x01" * 16,
            b"\x02" * 32,
        )
        self.core = engine.Engine(self.now, identity, 1)
        self.reset()
        self._numbers = itertools.count(1)
        self._started = self.now
        self.feed(events.InstancesListed(self.listed))
        self.feed(events.ConfigurationRead(1, text, revisions.SERVICE_SOURCE, self.now))
        if peers:
            warm = list_warm(self.configuration)
            self.hear(0, msgspec.msgpack.encode(((), warm)))

    @property
    def configuration(self) -> model.Configuration:
        """Configuration in force."""
        assert self.core.configuration is not None
        return self.core.configuration

    def reset(self) -> None:
        """Start to count anew."""
        self.spent_s: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.sent: list[messages.Digest] = []
        self.records: list[bytes] = []

    def feed(self, event: events.Event) -> list[events.Action]:
        """Feed an event, count its processor time and return the actions."""
        started = time.process_time()
        actions = self.core.handle(self.now, event)
        name = type(event).__name__
        self.spent_s[name] += time.process_time() - started
        self.counts[name] += 1
        return actions

    def make_digest(
        self, number: int, facts_sent: bytes = b"", votes_given: bytes = b""
    ) -> messages.Digest:
        """Return the digest of a peer that holds the same configuration."""
        entry = self.listed[number]
        assert self.core.version is not None
        return messages.Digest(
            instance=entry.name,
            incarnation=f"{number:032x}",
            zone=entry.zone,
            caller_address=entry.address,
            peer_address=entry.peer_address,
            leaving=False,
            uptime_s=3600.0 + self.now - self._started,
            revision=self.core.version.revision,
            digest=self.core.version.sha256,
            is_current=True,
            service_age_s=0.5,
            facts=facts_sent or msgspec.msgpack.encode(((), ())),
            votes_given=votes_given,
        )

    def hear(self, number: int, facts_sent: bytes = b"") -> list[events.Action]:
        """Take the digest that a peer sent; return the actions."""
        digest = self.make_digest(number, facts_sent)
        # The strings of a received digest are not shared with the sender.
        digest = messages.decode(messages.encode(digest), messages.Digest)
        return self.feed(events.DigestRequested(f"call-{number}", digest))

    def hear_all(self) -> None:
        """Take a digest of every peer, so that all of them are live."""
        for number in range(len(self.listed)):
            self.hear(number)

    def settle(self) -> None:
        """Go on until the facts of all replicas were sent and all leaves heard."""
        replicas = len(list_warm(self.configuration))
        for number in range(replicas * facts.FACT_REPEATS // facts.FACTS_MAX + 1):
            self.hear(number % len(self.listed))
        for _ in range(SETTLE_TICKS):
            self.tick()
        self.query_all()

    def query(self) -> int:
        """Run a query; return the number of sub-requests."""
        return self.run_query(next(self._numbers))

    def query_all(self) -> None:
        """Run one query to each composite service, so that all leaves are heard."""
        for name, service in self.configuration.services.items():
            if not service.is_leaf():
                self.run_query(next(self._numbers), name)

    def mean_s(self, event: type) -> float:
        """Return the mean processor time of one type of event, in seconds."""
        name = event.__name__
        return self.spent_s[name] / max(1, self.counts[name])

    def tick(self, is_answered: bool = True) -> None:
        """Advance by one tick and answer what the engine sends out.

        Parameters
        ----------
        is_answered : bool
            Whether the peers answer its digests.
        """
        self.now += control.TICK_S
        for action in self.feed(events.LoopTicked()):
            self._answer(action, is_answered)

    def _answer(self, action: events.Action, is_answered: bool) -> None:
        match action:
            case events.ReadService():
                self.feed(events.ServiceUnchanged(self.now))
            case events.ListInstances():
                self.feed(events.InstancesListed(self.listed))
            case events.ExchangeDigest():
                self.sent.append(action.digest)
                if is_answered:
                    self._answer_digest(action)
            case events.SendToServer():
                if action.path == "/status":
                    self.feed(make_reply(action))
            case events.WriteRecord():
                self.records.append(action.data)

    def _answer_digest(self, action: events.ExchangeDigest) -> None:
        addresses = [entry.peer_address for entry in self.listed]
        digest = self.make_digest(addresses.index(action.peer_address))
        answered = events.DigestAnswered(action.peer_address, digest, self.now)
        self.feed(answered)

    def start_query(self, number: int, service: str = "g00") -> list[events.Action]:
        """Start a full page; return the actions, sends included."""
        query = model.Query(
            f"answer-{number}",
            service,
            model.QueryKind.FULL_PAGE,
            self.now + 2.0,
            None,
            100,
            "",
        )
        return self.feed(events.QueryArrived(query))

    def run_query(self, number: int, service: str = "g00") -> int:
        """Run a full page to its answer; return the number of sub-requests."""
        pending = self.start_query(number, service)
        sends = 0
        while pending:
            action = pending.pop(0)
            if isinstance(action, events.SendToServer):
                sends += 1
                self.feed(events.PoolChanged(action.address, 1))
                pending += self.feed(make_reply(action))
            elif isinstance(action, events.WriteRecord):
                self.records.append(action.data)
        return sends


def make_reply(send: events.SendToServer) -> events.ServerReplied:
    """Return the reply of a warm backend server to a sub-request or probe."""
    headers = dict(send.headers)
    body = b""
    if send.path == "/query":
        start, _, end = headers["x-key-ranges"].partition("-")
        body = encode_reply(headers, int(start), int(end))
    report = bodies.ServerReport(SERVER_INCARNATION, "ready", (INDEX_VERSION,), 0.0)
    return events.ServerReplied(send.send_id, 200, report, headers, body, 0.004, False)


def encode_reply(headers: typing.Mapping[str, str], start: int, end: int) -> bytes:
    """Return the body of a reply with two rows."""
    reply: bodies.ServerReply = {
        "request_id": headers["x-request-id"],
        "index": headers["x-index"],
        "version": int(headers["x-index-version"]),
        "partition_map": int(headers["x-partition-map"]),
        "ranges": [(start, end)],
        "rows": [(start, f"row {start}"), (start + 1, f"row {start + 1}")],
    }
    return msgspec.json.encode(reply)


def make_members(count: int) -> list[membership.Membership]:
    """Return the membership views of a fleet that has read the platform's list."""
    entries = list_entries(count)
    places = [
        instances.ListEntry(e.name, e.zone, e.address, e.peer_address, False)
        for e in entries
    ]
    fleet = []
    for number, entry in enumerate(entries):
        own = instances.Announcement(
            entry.name,
            f"{number:032x}",
            entry.zone,
            entry.address,
            entry.peer_address,
            False,
            0.0,
        )
        member = membership.Membership(own)
        member.apply_instance_list(EPOCH_S, places)
        fleet.append(member)
    return fleet
