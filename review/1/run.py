"""Case: an unreadable item in the store ends all entry instances.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import os
import pathlib
import sys
import typing

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import playground  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ROUNDS, CALM_S, ENTRY_S = 3, 8.0, 3.6
STABLE_WINDOW_S = 4.0
CLIENTS, WORK_S = 30, 0.2
NESTED = 2000
ENDS_MIN, MACHINES_MIN, LOST_MAX = 3, 2, 3


def make_odd_item() -> bytes:
    """Return a value from another writer; `zone` is of another type than a text."""
    zone = "[" * NESTED + "]" * NESTED
    return f'{{"service": "desk", "state": "ready", "zone": {zone}}}'.encode()


class Outcome(typing.NamedTuple):
    """One request: when and where it was sent, and its status; 0 is no whole answer.

    `kept` tells whether an earlier request was answered on its connection.
    """

    identity: str
    sent_at: float
    ended_at: float
    machine: str
    kept: bool
    status: int


async def call(
    record: playground.Record,
    one: playground.Entry,
    number: int,
    ends_at: float,
    outcomes: list[Outcome],
) -> None:
    """Send requests one after the other, on a connection that is kept if possible."""
    streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
    kept = False
    serial = 0
    while record.now() < ends_at:
        serial += 1
        identity = f"q{number:02d}-{serial:04d}"
        sent_at = record.now()
        status = 0
        try:
            if streams is None:
                kept = False
                streams = await asyncio.wait_for(
                    asyncio.open_connection(one.ip, playground.FRONT_PORT),
                    playground.CONNECT_TIMEOUT_S,
                )
            lines = [
                "GET /search/1 HTTP/1.1",
                f"Host: {playground.HOST}",
                f"X-Request-Id: {identity}",
                "X-Deadline-Ms: 2000",
            ]
            streams[1].write("\r\n".join([*lines, "", ""]).encode())
            answer = await asyncio.wait_for(playground.read_message(streams[0]), 3.0)
            status = answer.status
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            pass
        outcome = Outcome(identity, sent_at, record.now(), one.name, kept, status)
        outcomes.append(outcome)
        record.write(f"client: {identity} to {one.name}, kept {kept}: {status}")
        kept = True
        if streams is not None and (not status or "connection" in answer.fields):
            streams[1].close()
            streams = None
        if not status:
            await asyncio.sleep(0.3)
    if streams is not None:
        streams[1].close()


async def write_entries(record: playground.Record, store: playground.Store) -> None:
    """Let another writer put its entry, which lapses, some times; report each time."""
    for _ in range(ROUNDS):
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            value = make_odd_item()
            record.write(f"the store gets servers/i-other, {len(value)} bytes")
            store.put("servers/i-other", value)
        await asyncio.sleep(ENTRY_S)
        if TROUBLE:
            record.write("the entry servers/i-other lapses")
            store.remove("servers/i-other")
    await asyncio.sleep(CALM_S)


async def main() -> int:
    """Run the case and return the status."""
    record = playground.Record(FOLDER / "record.txt")
    store = playground.Store()
    await store.start()
    route = playground.make_route("search", {"service": "desk"}, timeout_ms=2000)
    store.put("op/config", playground.make_configuration(7, [route], ["desk"]))
    zones = ["lautoka-a", "nadi-b", "ba-c"]
    replicas = [
        playground.Replica(store, record, f"i-desk-{zone}", "desk", zone, 16, 8, WORK_S)
        for zone in zones
    ]
    for replica in replicas:
        await replica.start()
    outcomes: list[Outcome] = []
    async with playground.run_entries(record, store, zones) as entries:
        if not await playground.wait_until_ready(entries):
            record.conclude("the entry instances don't start")
            return 2
        length_s = ROUNDS * (CALM_S + ENTRY_S) + CALM_S
        ends_at = record.now() + length_s - 1.0
        await asyncio.gather(
            write_entries(record, store),
            *(
                call(record, entries[number % len(entries)], number, ends_at, outcomes)
                for number in range(CLIENTS)
            ),
        )
        calm_ends = {
            one.name: [
                end
                for (end, _), start in zip(one.ends, one.starts, strict=False)
                if end - start > STABLE_WINDOW_S
            ]
            for one in entries
        }
        all_ends = [len(one.ends) for one in entries]
        last = entries[0].log_path.read_text(errors="replace").splitlines()
    for line in [one for one in last if "Error" in one][-1:]:
        record.write(f"{entries[0].name} wrote: {line[:200]}")
    run = {identity for replica in replicas for _, identity in replica.runs}
    lost = [
        one
        for one in outcomes
        if one.kept
        and not one.status
        and one.identity in run
        and any(abs(one.ended_at - end) < 0.5 for end in calm_ends[one.machine])
    ]
    served = sum(one.status == 200 for one in outcomes)
    cut = sum(one.status == 0 for one in outcomes)
    record.conclude(
        f"{len(outcomes)} requests: {served} served, {cut} without a whole answer"
    )
    rounded = {name: [round(at, 1) for at in ends] for name, ends in calm_ends.items()}
    record.conclude(
        f"ends of processes that had run for over {STABLE_WINDOW_S} s: {rounded};"
        f" all ends: {all_ends}"
    )
    record.conclude(
        f"LOST: {len(lost)} requests of kept connections were run by a sound replica"
        " and cut by such an end"
    )
    if served < 0.5 * len(outcomes) or not outcomes:
        return 2
    ended = sum(len(one) >= ENDS_MIN for one in calm_ends.values())
    return 1 if ended >= MACHINES_MIN or len(lost) > LOST_MAX else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
