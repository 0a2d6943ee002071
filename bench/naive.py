"""Naive query tier: asks one replica of each shard and waits for all replies.

It does not hedge, retry, limit load, track server states or check replies. It is the
baseline of the benchmarks.
"""

import json
import random
import typing

import trio

from acacialatch import events, httpclient, model, planner
from bench import fakes

CONNECTIONS_MAX = 1_000_000
"""Connections per server: in effect unlimited."""


class NaiveEntry:
    """One naive entry instance.

    Parameters
    ----------
    configuration : model.Configuration
        Services and replicas; later changes are ignored.
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
        self._client = fakes.FakeClient(servers, lambda address: CONNECTIONS_MAX, zone)
        self._random = random.Random(seed)

    async def run_query(self, service: str, deadline_s: float) -> tuple[int, int]:
        """Run a query over every shard.

        Returns
        -------
        tuple of int
            Keys covered by replies within `deadline_s`, and keys in total.
        """
        query = model.Query(
            "naive", service, model.QueryKind.FULL_PAGE, 0.0, None, 100, ""
        )
        parts = planner.list_parts(self._configuration, query)
        covered: list[int] = []
        with trio.move_on_after(deadline_s):
            async with trio.open_nursery() as nursery:
                for part in parts:
                    nursery.start_soon(self._query_part, part, deadline_s, covered)
        return sum(covered), sum(part.keys.size() for part in parts)

    async def _query_part(
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
        send = events.SendToServer(
            1,
            self._random.choice(replicas).address,
            "POST",
            "/query",
            headers,
            body.encode(),
            deadline_s,
        )
        reply = await self._client.exchange(send)
        if isinstance(reply, httpclient.Reply) and reply.status == 200:
            covered.append(part.keys.size())
