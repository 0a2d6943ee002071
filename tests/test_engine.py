"""Tests for acacialatch.engine: several engines, stand-in servers, virtual time."""

import typing

import pytest
import result
import trio

from acacialatch import configuration, events, records, replay, routing
from bench import fakes, naive

DEADLINE_S = 3.0
"""Bound of the design page for a change to be in force everywhere."""

TEXT = """
title = "Test"
entry_instances_max = 4
zones = ["east", "west"]
zones_out = [{zones_out}]
[kinds.full_page]
deadline_ms = 2000
[kinds.urgent]
deadline_ms = 150
[kinds.lookup]
deadline_ms = 10000
[indexes.slots]
keys = 3000
partition_map = {partition_map}
[shapes.desk]
slots = 8
connections = 40
connect_ms = 6
cold_requests = 2
cold_window_ms = 1000
warm_up_ms = 1000
warm_after_requests = 2
[services.desk]
depends_on = ["desk-1", "desk-2", "desk-3"]
"""


def make_text(
    zones_out: str = "",
    partition_map: int = 1,
    bounds: tuple[int, ...] = (0, 1000, 2000, 3000),
) -> bytes:
    text = TEXT.format(zones_out=zones_out, partition_map=partition_map)
    for number in (1, 2, 3):
        text += (
            f'[services.desk-{number}]\nindex = "slots"\nshape = "desk"\n'
            f"start = {bounds[number - 1]}\nend = {bounds[number]}\n"
            f'replicas = [{{ address = "127.0.1.1:700{number}", zone = "east" }}, '
            f'{{ address = "127.0.2.1:700{number}", zone = "west" }}]\n'
        )
    return text.encode()


class World:
    """Three entry instances with warm servers, and callers."""

    def __init__(self, fleet: fakes.Fleet, nursery: trio.Nursery):
        self.fleet = fleet
        self.nursery = nursery
        self.answers: list[tuple[int, dict[str, typing.Any]]] = []

    async def start(self) -> None:
        for number, zone in ((1, "east"), (2, "west"), (3, "west")):
            await self.fleet.start(f"entry-{number}", zone)
        await trio.sleep(9)
        for _ in range(40):
            for entry in self.fleet.entries.values():
                await entry.post("/v1/query/desk", {"kind": "full_page"})
            await trio.sleep(0.05)
        states = {server.state() for server in self.fleet.servers.values()}
        assert states == {"ready"}

    async def call_for(self, duration_s: float, kind: str = "full_page") -> None:
        """Query every entry instance 20 times a second and keep the answers."""
        end = trio.current_time() + duration_s
        while trio.current_time() < end:
            for entry in list(self.fleet.entries.values()):
                self.nursery.start_soon(self._call, entry, kind)
            await trio.sleep(0.05)

    async def _call(self, entry: fakes.Entry, kind: str) -> None:
        body: dict[str, typing.Any] = {"kind": kind}
        if kind == "lookup":
            body["key"] = 1500
        self.answers.append(await entry.post("/v1/query/desk", body))

    def count(self, name: str, zone: str) -> int:
        return sum(
            server.counters[name]
            for server in self.fleet.servers.values()
            if server.replica.zone == zone
        )


@pytest.fixture
async def world(nursery):
    fakes.make_deterministic(1)
    text = make_text()
    fleet = fakes.Fleet(
        nursery, text, configuration.parse(text).unwrap(), 1, 0.0, size=3
    )
    made = World(fleet, nursery)
    await made.start()
    return made


async def test_every_answer_is_complete_without_faults(world, autojump_clock):
    """Guards against failed or partial answers while no component has a fault."""
    await world.call_for(2)
    await trio.sleep(2)
    assert world.answers
    assert all(status == 200 for status, _ in world.answers)
    coverage = {tuple(body["coverage"].values()) for _, body in world.answers}
    assert coverage == {(3000, 3000)}


async def test_zone_out_gets_no_new_work(world, autojump_clock):
    """Guards against queued work, retries and hedges to a zone taken out.

    One entry instance cannot reach the service and learns from peers; another one
    is paused while the zone leaves, with queries that arrive during the pause.
    """
    await world.call_for(1)
    world.fleet.entries["entry-2"].runner.pause()
    world.fleet.platform.publish(make_text('"west"'))
    await world.call_for(DEADLINE_S)
    before = world.count("arrived", "west")
    world.fleet.platform.is_down = True
    world.fleet.entries["entry-2"].runner.resume()
    await world.call_for(3)
    await trio.sleep(3)
    assert world.count("arrived", "west") == before
    statuses = [status for status, _ in world.answers[-30:]]
    assert set(statuses) == {200}


async def test_zone_that_returns_cold_stays_within_its_budget(world, autojump_clock):
    """Guards against overload of a zone whose servers all return cold at once."""
    world.fleet.platform.publish(make_text('"west"'))
    await world.call_for(4)
    for server in world.fleet.servers.values():
        if server.replica.zone == "west":
            server.restart()
            server.counters.clear()
    world.fleet.platform.publish(make_text())
    await world.call_for(15)
    west = [s for s in world.fleet.servers.values() if s.replica.zone == "west"]
    assert max(server.counters["cold_peak"] for server in west) <= 2
    assert world.count("fell_over", "west") == 0
    assert {server.state() for server in west} == {"ready"}
    assert all(status == 200 for status, _ in world.answers[:-10])


async def test_naive_version_overloads_a_cold_zone(nursery, autojump_clock):
    """Guards against a scenario in the test above that any version would pass."""
    text = make_text()
    parsed = configuration.parse(text).unwrap()
    fleet = fakes.Fleet(nursery, text, parsed, 1, 0.0, True)
    entry = naive.NaiveEntry(parsed, fleet.servers, "east", 1)
    for _ in range(20):
        nursery.start_soon(entry.run_query, "desk", 2.0)
        await trio.sleep(0.05)
    assert fleet.count("fell_over") > 0


async def test_leaving_server_gets_no_new_work(world, autojump_clock):
    """Guards against work for a server that drains, while the list lags."""
    leaving = world.fleet.servers["127.0.2.1:7001"]
    leaving.draining = True
    await world.call_for(DEADLINE_S)
    before = leaving.counters["arrived_while_leaving"]
    await world.call_for(4)
    assert leaving.counters["arrived_while_leaving"] == before
    assert all(status == 200 for status, _ in world.answers)


async def test_answers_come_from_one_version(world, autojump_clock):
    """Guards against rows of two index versions in one answer."""
    world.nursery.start_soon(world.call_for, 4)
    for held in ([1, 2], [2], [2, 3], [3]):
        for server in world.fleet.servers.values():
            await trio.sleep(0.1)
            server.versions = held
    await trio.sleep(3)
    assert len(world.answers) > 200
    seen = set()
    for status, body in world.answers:
        assert status == 200
        versions = {value.rsplit(" ", 1)[1] for _, value in body["rows"]}
        assert versions == {str(body["versions"]["slots"])}
        seen |= versions
    assert seen >= {"1", "2", "3"}


@pytest.mark.parametrize("versions", [[1], [2]])
async def test_repartitioning_neither_loses_nor_doubles_keys(
    world, autojump_clock, versions
):
    """Guards against key ranges lost or read twice while data moves."""
    world.nursery.start_soon(world.call_for, 4)
    await trio.sleep(0.5)
    world.fleet.platform.publish(make_text("", 2, (0, 1500, 1800, 3000)))
    for server in world.fleet.servers.values():
        number = int(server.service.name[-1])
        server.partition_map = 2
        server.versions = versions
        server.keys = server.keys._replace(
            start=(0, 1500, 1800)[number - 1], end=(1500, 1800, 3000)[number - 1]
        )
        await trio.sleep(0.05)
    await trio.sleep(5)
    expected = list(range(0, 3000, 64))
    for status, body in world.answers:
        assert status == 200
        keys = [key for key, _ in body["rows"]]
        assert keys == expected
        assert body["coverage"] == {"covered": 3000, "total": 3000}


async def test_query_in_progress_follows_a_repartitioning(world, autojump_clock):
    """Guards against a query that is stuck on a partition map that no server has."""
    for server in world.fleet.servers.values():
        server.extra_latency_s = 0.2
    world.nursery.start_soon(world.call_for, 0.1)
    await trio.sleep(0.1)
    world.fleet.platform.publish(make_text("", 2, (0, 1500, 1800, 3000)))
    bounds = (0, 1500, 1800, 3000)
    for server in world.fleet.servers.values():
        number = int(server.service.name[-1])
        server.partition_map = 2
        server.extra_latency_s = 0.0
        server.keys = server.keys._replace(start=bounds[number - 1], end=bounds[number])
    await trio.sleep(3)
    assert [status for status, _ in world.answers] == [200] * len(world.answers)
    assert len(world.answers) == 6


async def test_query_in_progress_survives_renamed_services(world, autojump_clock):
    """Guards against a process that ends because a text renames its services."""
    for server in world.fleet.servers.values():
        server.extra_latency_s = 0.2
    await world.call_for(0.1)
    renamed = make_text("", 2).replace(b"desk-", b"bench-")
    world.fleet.platform.publish(renamed)
    for server in world.fleet.servers.values():
        server.partition_map = 2
    await trio.sleep(4)
    assert len(world.answers) >= 6
    assert {status for status, _ in world.answers} == {200}


async def test_defect_ends_one_query_only(world, autojump_clock, monkeypatch):
    """Guards against a defect met by one query that ends the process."""
    entry = world.fleet.entries["entry-1"]
    choose = routing.LeastLoaded.choose

    def fail(policy, candidates, seed):
        raise KeyError("defect")

    monkeypatch.setattr(routing.LeastLoaded, "choose", fail)
    status, body = await entry.post("/v1/query/desk", {"kind": "full_page"})
    assert (status, body["error"]["kind"]) == (500, "internal")
    monkeypatch.setattr(routing.LeastLoaded, "choose", choose)
    status, _ = await entry.post("/v1/query/desk", {"kind": "full_page"})
    assert status == 200


async def test_waiting_parts_survive_a_repartitioning(world, autojump_clock):
    """Guards against parts of an old plan that stay queued after a restart."""
    for server in world.fleet.servers.values():
        if server.service.name == "desk-1":
            server.extra_latency_s = 0.2
        else:
            server.shedding = True
    await world.call_for(0.1)
    bounds = (0, 1500, 1800, 3000)
    world.fleet.platform.publish(make_text("", 2, bounds))
    for server in world.fleet.servers.values():
        number = int(server.service.name[-1])
        server.partition_map = 2
        server.keys = server.keys._replace(start=bounds[number - 1], end=bounds[number])
    await trio.sleep(0.5)
    for server in world.fleet.servers.values():
        server.shedding = False
        server.extra_latency_s = 0.0
    await trio.sleep(3)
    assert len(world.answers) >= 6
    assert {status for status, _ in world.answers} == {200}


async def issue_key(entry: fakes.Entry) -> str:
    _, body = await entry.post("/v1/keys", {})
    return body["key"]


async def test_request_runs_at_most_once_over_entry_instances(world, autojump_clock):
    """Guards against a request that runs twice when its caller sends it again."""
    entries = list(world.fleet.entries.values())
    for server in world.fleet.servers.values():
        server.losing_replies = True
    key = await issue_key(entries[0])
    answers = []

    async def send(entry: fakes.Entry) -> None:
        body = {"key": 10, "body": "lathe 7", "deadline_ms": 1000}
        answers.append(await entry.post("/v1/request/desk", body, key))

    async with trio.open_nursery() as callers:
        for entry in entries * 2:
            callers.start_soon(send, entry)
    world.fleet.crash("entry-1")
    await send(entries[1])
    runs = sum(server.runs[key] for server in world.fleet.servers.values())
    assert runs == 1
    kinds = {body["error"]["kind"] for _, body in answers}
    assert kinds == {"outcome_unknown"}


async def test_repeat_gets_the_recorded_outcome(world, autojump_clock):
    """Guards against a repeat that runs again or loses the outcome."""
    entries = list(world.fleet.entries.values())
    key = await issue_key(entries[0])
    body = {"key": 10, "body": "lathe 7"}
    replies = [await entry.post("/v1/request/desk", body, key) for entry in entries]
    assert {status for status, _ in replies} == {200}
    assert len({reply["result"] for _, reply in replies}) == 1
    assert world.fleet.count("requests_run") == 1
    other = {"key": 10, "body": "lathe 8"}
    status, answer = await entries[2].post("/v1/request/desk", other, key)
    assert (status, answer["error"]["kind"]) == (422, "key_reused")
    assert world.fleet.count("requests_run") == 1


async def test_request_runs_where_each_server_has_one_slot(world, autojump_clock):
    """Guards against a request that is refused because it holds the slot itself."""
    text = make_text().replace(b"slots = 8", b"slots = 1")
    world.fleet.platform.publish(text)
    await trio.sleep(1)
    entry = world.fleet.entries["entry-1"]
    body = {"key": 10, "body": "lathe 7"}
    status, _ = await entry.post("/v1/request/desk", body, await issue_key(entry))
    assert status == 200


async def test_refused_request_is_not_run(world, autojump_clock):
    """Guards against "not run" for a request that a server has run."""
    entry = world.fleet.entries["entry-1"]
    for server in world.fleet.servers.values():
        server.shedding = True
    key = await issue_key(entry)
    body = {"key": 10, "body": "lathe 7"}
    status, answer = await entry.post("/v1/request/desk", body, key)
    assert (status, answer["error"]["run_state"]) == (503, "not_run")
    assert world.fleet.count("requests_run") == 0


async def test_configuration_is_in_force_everywhere_and_never_reverts(
    world, autojump_clock
):
    """Guards against a stale or restored service that offers an older revision."""
    platform = world.fleet.platform
    old = platform.text
    platform.publish(make_text('"west"'))
    await trio.sleep(DEADLINE_S)
    cores = [entry.core for entry in world.fleet.entries.values()]
    assert {core.version.revision for core in cores} == {2}
    platform.revision, platform.text = 1, old
    await trio.sleep(15)
    assert {core.version.revision for core in cores} == {2}
    platform.revision, platform.text = 3, b"title = 7"
    platform.publish(b"title = 8")
    await trio.sleep(DEADLINE_S)
    assert {core.version.revision for core in cores} == {2}


async def test_new_entry_instance_learns_from_peers(world, autojump_clock):
    """Guards against a new process that cannot start while the service is down."""
    world.fleet.platform.is_down = True
    world.fleet.crash("entry-3")
    entry = await world.fleet.start("entry-3", "west")
    await trio.sleep(DEADLINE_S)
    assert entry.core.version is not None
    status, _ = await entry.post("/v1/query/desk", {"kind": "full_page"})
    assert status == 200


async def test_isolated_entry_instance_sends_no_new_work(world, autojump_clock):
    """Guards against work under a configuration that no source has confirmed."""
    entry = world.fleet.entries["entry-3"]
    world.fleet.disconnect("entry-3", "entry-1")
    world.fleet.disconnect("entry-3", "entry-2")
    world.fleet.platform.is_down = True
    await trio.sleep(4)
    status, body = await entry.post("/v1/query/desk", {"kind": "full_page"})
    assert (status, body["error"]["kind"]) == (503, "not_current")
    world.fleet.reconnect_all()
    await trio.sleep(3)
    status, _ = await entry.post("/v1/query/desk", {"kind": "full_page"})
    assert status == 200


async def test_servers_with_silent_connections_are_not_taken_as_dead(
    world, autojump_clock
):
    """Guards against servers declared dead because old connections went silent."""
    for server in world.fleet.servers.values():
        server.silent_before = trio.current_time()
    await world.call_for(2)
    await trio.sleep(2)
    assert all(status == 200 for status, _ in world.answers)
    changes = [
        action
        for entry in world.fleet.entries.values()
        for _, action in entry.output.actions
        if isinstance(action, events.WriteAudit) and action.after == "dead"
    ]
    assert changes == []


async def test_lookup_survives_an_outage_of_its_service(world, autojump_clock):
    """Guards against a lookup that fails early while both replicas are down."""
    for server in world.fleet.servers.values():
        server.down_until = trio.current_time() + 2
    await world.call_for(0.2, "lookup")
    await trio.sleep(10)
    assert [status for status, _ in world.answers] == [200] * len(world.answers)


async def test_records_replay_to_the_same_decisions(world, autojump_clock):
    """Guards against answers that cannot be explained afterwards."""
    world.fleet.servers["127.0.1.1:7001"].shedding = True
    await world.call_for(1)
    await trio.sleep(1)
    written = [
        action.data
        for entry in world.fleet.entries.values()
        for _, action in entry.output.actions
        if isinstance(action, events.WriteRecord)
    ]
    assert len(written) > 50
    for data in written[-50:]:
        comparison = replay.replay(records.read(data).unwrap())
        assert comparison.same
        assert comparison.complete
    edited = written[-1].replace(b"127.0.1.1:7002", b"127.0.1.1:7003", 1)
    assert isinstance(records.read(edited), result.Err)


async def test_forward_goes_to_known_peers_only(world, autojump_clock):
    """Guards against a forged key that makes this process connect anywhere."""
    entry = world.fleet.entries["entry-1"]
    key = await issue_key(world.fleet.entries["entry-2"])
    forged = key.replace("127.0.0.1:7902", "127.0.0.9:22")
    status, answer = await entry.post(
        "/v1/request/desk", {"key": 10, "body": "lathe 7"}, forged
    )
    assert (status, answer["error"]["kind"]) == (504, "outcome_unknown")
    assert entry.links_made == {"127.0.0.1:7902", "127.0.0.1:7903"}


async def test_entries_of_a_zone_out_are_not_offered_to_callers(world, autojump_clock):
    """Guards against callers sent to an entry instance in a zone taken out."""

    def choose_entries() -> set[str]:
        now = trio.current_time()
        named = [
            entry.core.choose_entries(now, "west", "127.0.0.1")["entries"]
            for entry in world.fleet.entries.values()
        ]
        return {address for addresses in named for address in addresses}

    assert len(choose_entries()) == 3
    world.fleet.platform.publish(make_text('"west"'))
    await trio.sleep(DEADLINE_S)
    assert choose_entries() == {"127.0.0.1:7801"}
    world.fleet.platform.publish(make_text())
    await trio.sleep(DEADLINE_S)
    world.fleet.entries["entry-1"].runner.submit(events.StopRequested())
    await trio.sleep(1)
    assert choose_entries() == {"127.0.0.1:7802", "127.0.0.1:7803"}


async def test_work_in_progress_during_a_pause_avoids_a_zone_out(world, autojump_clock):
    """Guards against retries and hedges under a configuration from before a pause."""
    # Its first sends go to its own zone, so hedges go to the one that leaves.
    entry = world.fleet.entries["entry-1"]
    # Nothing of the service waits for the process when it wakes.
    entry.runner._source = fakes.FakePlatform(b"")
    entry.runner._source.is_down = True
    await trio.sleep(1.5)
    for server in world.fleet.servers.values():
        server.extra_latency_s = 5.0
    world.nursery.start_soon(world._call, entry, "full_page")
    world.nursery.start_soon(world._call, entry, "lookup")
    await trio.sleep(0.001)
    entry.runner.pause()
    world.fleet.platform.publish(make_text('"west"'))
    await trio.sleep(DEADLINE_S)
    before = world.count("arrived", "west")
    world.fleet.platform.is_down = True
    # Peers answer only after a while, so the process has nothing but its beliefs.
    world.fleet.disconnect("entry-1", "entry-2")
    world.fleet.disconnect("entry-1", "entry-3")
    entry.runner.resume()
    await trio.sleep(2)
    world.fleet.reconnect_all()
    await trio.sleep(8)
    assert world.count("arrived", "west") == before


async def test_first_work_after_an_idle_period_avoids_a_leaving_server(
    world, autojump_clock
):
    """Guards against work for a server that began to leave in an idle period."""
    leaving = world.fleet.servers["127.0.2.1:7001"]
    # Status probes go on for 10 s after the last work, and are rare afterwards.
    await trio.sleep(14)
    leaving.draining = True
    await trio.sleep(4)
    await world.call_for(1)
    await trio.sleep(2)
    assert leaving.counters["arrived_while_leaving"] == 0
    assert all(status == 200 for status, _ in world.answers)
