"""Case: one unreadable item in the store ends all entry instances, again and again.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import json
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import playground  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CALM_S, TROUBLE_S = 6.0, 14.0
REQUESTS_PER_S = 40.0
NESTED = 2000
ENDS_MIN, MACHINES_MIN = 3, 2


def make_odd_item() -> bytes:
    """Return a value from another writer; `zone` is of another type than a text."""
    zone = "[" * NESTED + "]" * NESTED
    return f'{{"service": "desk", "state": "ready", "zone": {zone}}}'.encode()


async def call(
    record: playground.Record, one: playground.Entry, identity: str, outcomes: list
) -> None:
    """Send one request, and note its time and outcome; 0 is no whole answer."""
    sent_at = record.now()
    fields = {"X-Request-Id": identity, "X-Deadline-Ms": "2000"}
    try:
        answer = await asyncio.wait_for(
            playground.exchange(
                one.ip, playground.FRONT_PORT, "GET", "/search/1", fields, b""
            ),
            3.0,
        )
        status = answer.status
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        status = 0
    outcomes.append((sent_at, status))
    record.write(f"client: {identity} to {one.name} at {sent_at:.3f}: {status}")


async def main() -> int:
    """Run the case and return the status."""
    record = playground.Record(FOLDER / "record.txt")
    store = playground.Store()
    await store.start()
    route = playground.make_route("search", {"service": "desk"}, timeout_ms=2000)
    store.put("op/config", playground.make_configuration(7, [route], ["desk"]))
    zones = ["lautoka-a", "nadi-b", "ba-c"]
    for zone in zones[:2]:
        await playground.Replica(
            store, record, f"i-desk-{zone}", "desk", zone, 4, 8, 0.02
        ).start()
    outcomes: list[tuple[float, int]] = []
    async with playground.run_entries(record, store, zones) as entries:
        if not await playground.wait_until_ready(entries):
            record.conclude("the entry instances don't start")
            return 2
        calls = []
        ends_at = time.monotonic() + CALM_S + TROUBLE_S
        written_at = 0.0
        while time.monotonic() < ends_at:
            if not written_at and time.monotonic() > ends_at - TROUBLE_S:
                value = make_odd_item()
                written_at = record.now()
                if TROUBLE:
                    record.write(f"the store gets servers/i-other, {len(value)} bytes")
                    store.put("servers/i-other", value)
            identity = f"q{len(calls) + 1:06d}"
            one = random.choice(entries)
            calls.append(asyncio.create_task(call(record, one, identity, outcomes)))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
        await asyncio.gather(*calls)
        ends = {one.name: [status for _, status in one.ends] for one in entries}
        last = entries[0].log_path.read_text(errors="replace").splitlines()
    for line in [one for one in last if "Error" in one][-1:]:
        record.write(f"{entries[0].name} wrote: {line[:200]}")
    before = [status for at, status in outcomes if at < written_at - 2]
    after = [status for at, status in outcomes if at >= written_at + 1]
    record.conclude(f"before: {before.count(200)} of {len(before)} requests served")
    record.conclude(
        f"after: {after.count(200)} of {len(after)} requests served,"
        f" {after.count(0)} without a whole answer"
    )
    record.conclude(f"ends of processes by themselves, with status: {json.dumps(ends)}")
    if before.count(200) < 0.9 * len(before) or not before:
        return 2
    ended = sum(len(one) >= ENDS_MIN for one in ends.values())
    return 1 if ended >= MACHINES_MIN else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
