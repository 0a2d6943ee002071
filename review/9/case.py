"""A replica leaves while the store turns one machine away."""

import asyncio
import collections
import pathlib
import sys
import time

import stage

DRAIN_S = 3.0
REFUSED_S = 8.9
LEAVES_AFTER_S = 0.5
SERVES_ON_S = 7.0
CALLS_PER_S = 25.0
LOAD_S = 11.0


class LeavingReplica(stage.Replica):
    """A replica that reports `draining`, says so in all its answers, and exits."""

    def leave(self):
        """Report the departure to the store, which accepts it."""
        self.state = "draining"
        self.beat()
        self.extra_fields = [("Server-Leaving", "1")]
        self.stage.note("leaving", self.identity)


async def play(play_on):
    """Play the case; return the broken rules, None if it could not run."""
    replicas = [
        LeavingReplica(play_on, f"i-{n}", "order", "a", 0.15, slots=4) for n in range(3)
    ]
    for one in replicas:
        await one.serve()
    route = stage.make_route("order", "order", "non_idempotent", 8000, 800)
    play_on.publish(1, [route])
    if not await play_on.start_entries(["a", "a", "a"]):
        return None
    await asyncio.sleep(5)
    entry, leaver = play_on.entries[0], replicas[0]
    sent = {}
    told = []
    statuses = collections.Counter()

    async def call(number):
        identity = f"r-{number}"
        sent[identity] = time.monotonic()
        play_on.note("sent", identity, entry.ip)
        answer = await stage.ask(
            entry.ip, stage.FRONT, "/order/x", identity, 8000, "POST", b"{}"
        )
        status = stage.get_status(answer)
        statuses[status] += 1
        leaving = "" if answer is None else answer.get("server-leaving")
        if leaving:
            told.append(time.monotonic())
        play_on.note("answer", identity, status, leaving and "Server-Leaving")

    async def leave():
        if play_on.trouble:
            play_on.note("the store turns away", entry.ip)
            play_on.store.refusals[entry.ip] = 503
        await asyncio.sleep(LEAVES_AFTER_S)
        leaver.leave()
        await asyncio.sleep(SERVES_ON_S)
        play_on.note("exits", leaver.identity)
        leaver.end()
        await asyncio.sleep(REFUSED_S - SERVES_ON_S - LEAVES_AFTER_S)
        play_on.store.refusals.clear()

    tasks = [asyncio.create_task(leave())]
    started = time.monotonic()
    number = 0
    while (now := time.monotonic()) < started + LOAD_S:
        while number < (now - started) * CALLS_PER_S:
            number += 1
            tasks.append(asyncio.create_task(call(number)))
        await asyncio.sleep(0.005)
    await asyncio.gather(*tasks)
    play_on.note("statuses", dict(statuses))
    if not told:
        return [] if not play_on.trouble else None
    late = [
        (at, identity)
        for at, identity in leaver.arrivals
        if sent[identity] > told[0] + DRAIN_S
    ]
    play_on.note("told", len(told), "arrivals sent too late", len(late))
    if not late:
        return []
    latest = max(sent[identity] for _, identity in late) - told[0]
    return [
        f"DRAIN: {len(late)} requests reached {leaver.identity}, sent up to"
        f" {latest:.1f} s after its Server-Leaving was passed on"
    ]


if __name__ == "__main__":
    sys.exit(stage.play(play, pathlib.Path(__file__).parent))
