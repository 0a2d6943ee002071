"""Naive query tier: asks one replica of each shard and waits for all replies.

It has no hedges, retries, limits, states of servers or checks of replies. The
measurements compare the product with it.
"""

import json
import random
import typing

import trio

from acacialatch import events, httpclient, model, planner
from bench import fakes

NO_LIMIT = 1_000_000


class NaiveEntry:
    """One naive entry instance.

    Parameters
    ----------
    configuration : model.Configuration
        Services and replicas; it is never read again.
    servers : dict
        Stand-in backend servers by address.
    zone : str
        Availability zone of the entry instance.
    seed : int
        Seed of the choice of replicas.
    """

    def __init__(
        self,
        configuration: model.Configuration,
        servers: dict[str, typing.Any],
        zone: str,
        seed: int,
    ):
        self._configuration = configuration
        self._client = fakes.FakeClient(servers, lambda address: NO_LIMIT, zone)
        self._random = random.Random(seed)

    async def run_query(self, service: str, deadline_s: float) -> tuple[int, int]:
        """Run a query over every shard and return keys covered and keys in all."""
        query = model.Query(
            "naive", service, model.QueryKind.FULL_PAGE, 0.0, None, 100, ""
        )
        parts = planner.list_parts(self._configuration, query)
        covered: list[int] = []
        with trio.move_on_after(deadline_s):
            async with trio.open_nursery() as nursery:
                for part in parts:
                    nursery.start_soon(self._ask, part, deadline_s, covered)
        return sum(covered), sum(part.keys.size() for part in parts)

    async def _ask(
        self, part: typing.Any, deadline_s: float, covered: list[int]
    ) -> None:
        replicas = self._configuration.services[part.service].replicas
        headers = (
            ("x-request-id", "naive"),
            ("x-index-version", "1"),
            ("x-partition-map", str(part.partition_map)),
            ("x-key-ranges", f"{part.keys.start}-{part.keys.end}"),
        )
        body = json.dumps({"kind": "full_page", "key": None, "limit": 100})
        call = events.SendToServer(
            1,
            self._random.choice(replicas).address,
            "POST",
            "/query",
            headers,
            body.encode(),
            deadline_s,
        )
        reply = await self._client.exchange(call)
        if isinstance(reply, httpclient.Reply) and reply.status == 200:
            covered.append(part.keys.size())
