"""Case: an extra answer of a replica makes a booking run twice.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
"""

import asyncio
import collections
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import playground  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES = 8
PEAK_PERIOD_S = 0.05
SLOTS, QUEUE, WORK_S = 2, 2, 0.006
EXTRA_SHARE = 0.04
EXTRA_FOR_S = 5.0
EXTRA_PAUSE_S = 0.5
LENGTH_S = 88.0
NOT_RUN_STATUSES = (408, 421, 429, 503)


async def call(
    record: playground.Record,
    one: playground.Entry,
    identity: str,
    answers: dict[str, int],
) -> None:
    """Book once, and record the answer."""
    fields = {"X-Request-Id": identity, "X-Deadline-Ms": "8000"}
    record.write(f"client sends {identity} to {one.name}")
    try:
        answer = await asyncio.wait_for(
            playground.exchange(
                one.ip, playground.FRONT_PORT, "POST", "/booking/1", fields, b"lathe 7"
            ),
            9.0,
        )
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        record.write(f"client gets no answer to {identity}: {error!r}")
        return
    answers[identity] = answer.status
    record.write(f"client gets {answer.status} to {identity}")


async def disturb(replica: playground.Replica, ends_at: float) -> None:
    """Let a replica send extra answers for some seconds, again and again."""
    while time.monotonic() < ends_at:
        replica.extra_share = EXTRA_SHARE if TROUBLE else 0.0
        await asyncio.sleep(EXTRA_FOR_S)
        replica.extra_share = 0.0
        await asyncio.sleep(EXTRA_PAUSE_S)


async def main() -> int:
    """Run the case and return the status."""
    record = playground.Record(FOLDER / "record.txt")
    store = playground.Store()
    await store.start()
    route = playground.make_route(
        "booking", {"service": "ledger"}, route_kind="non_idempotent"
    )
    store.put("op/config", playground.make_configuration(7, [route], ["ledger"]))
    zones = ["lautoka-a", "nadi-b"]
    replicas = [
        playground.Replica(
            store, record, f"i-ledger-{zone}", "ledger", zone, SLOTS, QUEUE, WORK_S
        )
        for zone in zones
    ]
    for one in replicas:
        await one.start()
    async with playground.run_entries(
        record, store, [zones[number % 2] for number in range(ENTRIES)]
    ) as entries:
        if not await playground.wait_until_ready(entries):
            record.conclude("the entry instances don't start")
            return 2
        await asyncio.sleep(1.5)
        answers: dict[str, int] = {}
        ends_at = time.monotonic() + LENGTH_S
        disturbing = asyncio.create_task(disturb(replicas[0], ends_at))
        calls = []
        while time.monotonic() < ends_at:
            await asyncio.sleep(random.uniform(0.5, 1.5) * PEAK_PERIOD_S)
            # The clients of one peak use all entry instances alike.
            for one in [*entries, *random.sample(entries, 2)]:
                identity = f"b{len(calls) + 1:06d}"
                calls.append(asyncio.create_task(call(record, one, identity, answers)))
        await asyncio.gather(*calls)
        disturbing.cancel()
    runs = collections.Counter(identity for one in replicas for _, identity in one.runs)
    twice = sorted(identity for identity, count in runs.items() if count > 1)
    refused = sorted(
        identity
        for identity, status in answers.items()
        if status in NOT_RUN_STATUSES and runs[identity]
    )
    statuses = dict(sorted(collections.Counter(answers.values()).items()))
    record.conclude(f"{len(answers)} answers, by status: {statuses}")
    record.conclude(
        f"extra answers: {sum(one.extras for one in replicas)} of"
        f" {sum(one.answers for one in replicas)} answers of replicas"
    )
    record.conclude(f"TWICE: {len(twice)} requests ran more than once: {twice}")
    record.conclude(
        f"REFUSED: {len(refused)} requests ran and were answered"
        f" {NOT_RUN_STATUSES}: {refused}"
    )
    if not any(status == 200 for status in answers.values()):
        return 2
    return 1 if twice or refused else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
