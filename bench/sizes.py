"""Configuration texts and engines of given sizes, for the capacity model.

The largest one, the two-year size, has `ENTRY_INSTANCES` entry instances,
`REPLICA_COUNT` replicas and `QUERIES_PER_S` queries per second.
"""

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

ENTRY_INSTANCES = 470
REPLICA_COUNT = 2_700
QUERIES_PER_S = 68_000
PARTS_PER_QUERY = 59
"""Parts of one query, each sent to one replica."""

ZONES = ("east-a", "east-b", "east-c", "west-a", "west-b")
"""Availability zones of the two regions."""

REPLICAS_PER_GROUP = 2 * PARTS_PER_QUERY
KEYS_PER_INDEX = 65_536
CONNECTIONS_PER_SERVER = 1_000
"""More than `ENTRY_INSTANCES`, since a text is refused if the share of one is 0."""

SERVER_INCARNATION = "5e" * 16
INDEX_VERSION = 7
WARM_UP_TICKS = 10

START_TIME_S = 1000.0
"""Start time of an engine on its clock."""


def render_text(replicas: int) -> bytes:
    """Return a configuration text with a given number of replicas.

    Each leaf service has two replicas. Each composite service depends on up to
    `PARTS_PER_QUERY` leaf services, which tile one index.

    Parameters
    ----------
    replicas : int
        Number of replicas; an odd one is rounded down.
    """
    zones = ", ".join(f'"{zone}"' for zone in ZONES)
    sections = [
        f'title = "capacity"\nentry_instances_max = {ENTRY_INSTANCES + 1}\n'
        f"zones = [{zones}]\nzones_out = []\n"
        "[kinds.full_page]\ndeadline_ms = 2000\n"
        "[kinds.urgent]\ndeadline_ms = 150\n[kinds.lookup]\ndeadline_ms = 10000\n"
        f"[shapes.desk]\nslots = 4\nconnections = {CONNECTIONS_PER_SERVER}\n"
        "connect_ms = 6\n"
        "cold_requests = 2\ncold_window_ms = 1000\nwarm_up_ms = 3000\n"
        "warm_after_requests = 4\n"
    ]
    number = 0
    for group, first_replica in enumerate(range(0, replicas - 1, REPLICAS_PER_GROUP)):
        leaf_count = min(REPLICAS_PER_GROUP, replicas - first_replica) // 2
        sections.append(_render_group(group, leaf_count, number))
        number += leaf_count
    return "".join(sections).encode()


def _render_group(group: int, leaf_count: int, number: int) -> str:
    names = ", ".join(f'"g{group:02}-{leaf:02}"' for leaf in range(leaf_count))
    text = f"[indexes.i{group:02}]\nkeys = {KEYS_PER_INDEX}\npartition_map = 1\n"
    text += f"[services.g{group:02}]\ndepends_on = [{names}]\n"
    for leaf in range(leaf_count):
        replicas = ", ".join(
            f'{{ address = "{_make_address(number + leaf, replica)}",'
            f' zone = "{ZONES[(number + leaf + replica) % len(ZONES)]}" }}'
            for replica in range(2)
        )
        text += (
            f'[services.g{group:02}-{leaf:02}]\nindex = "i{group:02}"\n'
            f"start = {KEYS_PER_INDEX * leaf // leaf_count}\n"
            f"end = {KEYS_PER_INDEX * (leaf + 1) // leaf_count}\n"
            f'shape = "desk"\nreplicas = [{replicas}]\n'
        )
    return text


def _make_address(leaf: int, replica: int) -> str:
    return f"127.{1 + replica}.{leaf // 250}.{1 + leaf % 250}:7001"


def make_listed_instances(count: int) -> tuple[model.ListedInstance, ...]:
    """Return an instance list of the platform with `count` entry instances."""
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


def make_warm_facts(configuration: model.Configuration) -> tuple[facts.Fact, ...]:
    """Return a fact for each replica of a configuration that says it is warm."""
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


class EngineDriver:
    """Engine of a given size whose actions are all answered at once.

    Only processor time inside the engine is counted.

    Parameters
    ----------
    text : bytes
        Configuration text.
    peers : int
        Number of other entry instances. The engine knows all of them as live.

    Attributes
    ----------
    now : float
        Time on the clock of the engine, in seconds.
    cpu_time_s : collections.Counter
        Processor time in the engine since the last `reset` by type of event, in
        seconds.
    counts : collections.Counter
        Number of events since the last `reset` by type.
    sent_digests : list of messages.Digest
        Digests that the engine sent since the last `reset`.
    records : list of bytes
        Explanation records that it wrote since the last `reset`.
    """

    def __init__(self, text: bytes, peers: int):
        self.text = text
        self.now = START_TIME_S
        self.listed_instances = make_listed_instances(peers)
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
        self._query_numbers = itertools.count(1)
        self._started_at = self.now
        self.feed(events.InstancesListed(self.listed_instances))
        self.feed(events.ConfigurationRead(1, text, revisions.SERVICE_SOURCE, self.now))
        if peers:
            warm = make_warm_facts(self.configuration)
            self.receive_digest(0, msgspec.msgpack.encode(((), warm)))

    @property
    def configuration(self) -> model.Configuration:
        """Configuration in force."""
        assert self.core.configuration is not None
        return self.core.configuration

    def reset(self) -> None:
        """Reset all counts and collected output."""
        self.cpu_time_s: collections.Counter[str] = collections.Counter()
        self.counts: collections.Counter[str] = collections.Counter()
        self.sent_digests: list[messages.Digest] = []
        self.records: list[bytes] = []

    def feed(self, event: events.Event) -> list[events.Action]:
        """Pass an event to the engine, count its time and return the actions."""
        started_at = time.process_time()
        actions = self.core.handle(self.now, event)
        name = type(event).__name__
        self.cpu_time_s[name] += time.process_time() - started_at
        self.counts[name] += 1
        return actions

    def make_digest(
        self, number: int, facts_sent: bytes = b"", votes_given: bytes = b""
    ) -> messages.Digest:
        """Return the digest of a peer that holds the same configuration."""
        entry = self.listed_instances[number]
        assert self.core.version is not None
        return messages.Digest(
            instance=entry.name,
            incarnation=f"{number:032x}",
            zone=entry.zone,
            caller_address=entry.address,
            peer_address=entry.peer_address,
            leaving=False,
            uptime_s=3600.0 + self.now - self._started_at,
            revision=self.core.version.revision,
            digest=self.core.version.sha256,
            is_current=True,
            service_age_s=0.5,
            facts=facts_sent or msgspec.msgpack.encode(((), ())),
            votes_given=votes_given,
        )

    def receive_digest(
        self, number: int, facts_sent: bytes = b""
    ) -> list[events.Action]:
        """Pass a digest of a peer to the engine and return the actions."""
        digest = self.make_digest(number, facts_sent)
        # The strings of a received digest are not shared with the sender.
        digest = messages.decode(messages.encode(digest), messages.Digest)
        return self.feed(events.DigestRequested(f"call-{number}", digest))

    def receive_all_digests(self) -> None:
        """Pass a digest of every peer to the engine, so that all of them are live."""
        for number in range(len(self.listed_instances)):
            self.receive_digest(number)

    def warm_up(self) -> None:
        """Run until all facts were sent and each leaf service has replied."""
        replicas = len(make_warm_facts(self.configuration))
        for number in range(replicas * facts.FACT_REPEATS // facts.FACTS_MAX + 1):
            self.receive_digest(number % len(self.listed_instances))
        for _ in range(WARM_UP_TICKS):
            self.tick()
        self.run_query_to_all()

    def run_next_query(self) -> int:
        """Run a query under the next number; return the number of sub-requests."""
        return self.run_query(next(self._query_numbers))

    def run_query_to_all(self) -> None:
        """Run a query to each composite service, so that each leaf service replies."""
        for name, service in self.configuration.services.items():
            if not service.is_leaf():
                self.run_query(next(self._query_numbers), name)

    def get_mean_s(self, event: type) -> float:
        """Return the mean processor time of one type of event, in seconds."""
        name = event.__name__
        return self.cpu_time_s[name] / max(1, self.counts[name])

    def tick(self, is_answered: bool = True) -> None:
        """Advance by one tick and answer the actions of the engine.

        Parameters
        ----------
        is_answered : bool
            Whether the peers answer its digests.
        """
        self.now += control.TICK_S
        for action in self.feed(events.LoopTicked()):
            self._answer_action(action, is_answered)

    def _answer_action(self, action: events.Action, is_answered: bool) -> None:
        match action:
            case events.ReadService():
                self.feed(events.ServiceUnchanged(self.now))
            case events.ListInstances():
                self.feed(events.InstancesListed(self.listed_instances))
            case events.ExchangeDigest():
                self.sent_digests.append(action.digest)
                if is_answered:
                    self._answer_digest(action)
            case events.SendToServer():
                if action.path == "/status":
                    self.feed(make_reply(action))
            case events.WriteRecord():
                self.records.append(action.data)

    def _answer_digest(self, action: events.ExchangeDigest) -> None:
        addresses = [entry.peer_address for entry in self.listed_instances]
        digest = self.make_digest(addresses.index(action.peer_address))
        answered = events.DigestAnswered(action.peer_address, digest, self.now)
        self.feed(answered)

    def start_query(self, number: int, service: str = "g00") -> list[events.Action]:
        """Start a full-page query and return the actions, sends included."""
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
        """Run a full-page query to its answer; return the number of sub-requests."""
        actions = self.start_query(number, service)
        sends = 0
        while actions:
            action = actions.pop(0)
            if isinstance(action, events.SendToServer):
                sends += 1
                self.feed(events.PoolChanged(action.address, 1))
                actions += self.feed(make_reply(action))
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


def make_memberships(count: int) -> list[membership.Membership]:
    """Return the memberships of `count` entry instances after an instance list."""
    entries = make_listed_instances(count)
    listed = [
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
        member.apply_instance_list(START_TIME_S, listed)
        fleet.append(member)
    return fleet
