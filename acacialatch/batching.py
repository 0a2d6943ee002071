"""Batches of shards that other entry instances call, on the side of the sender.

The actions to perform are appended to a list. Nothing here reads a clock, a socket or a
file.
"""

import random
import typing

from acacialatch import (
    backends,
    completion,
    deployment,
    exchanges,
    forwarding,
    placement,
    sending,
)

PEER_ROUND_TRIP_S = 0.01
"""Time in seconds for a message to another entry instance and its reply."""

PEER_IDLE_CONNECTIONS_MAX = 4
"""Most idle connections that are kept to another entry instance."""


class BatchSender:
    """Batches in progress at other entry instances.

    Attributes
    ----------
    peers : backends.BackendTable
        Entry instances that accept batches; the service of each is its zone.

    Parameters
    ----------
    zone : str
        Availability zone of this entry instance.
    sender : sending.AttemptSender
        Knows the servers and the latencies.
    source : random.Random
        Source of random choices.
    """

    def __init__(self, zone: str, sender: sending.AttemptSender, source: random.Random):
        self._zone = zone
        self._sender = sender
        self._random = source
        self.peers = backends.BackendTable(zone)
        self._exchanges: dict[int, exchanges.Exchange] = {}

    def set_peers(self, now: float, entries: typing.Iterable[backends.Entry]) -> None:
        """Replace the list of other entry instances that accept batches."""
        present = set()
        for entry in entries:
            self.peers.put(now, entry)
            present.add(entry.identity)
        for identity in self.peers.list_identities() - present:
            self.peers.remove(identity)

    def send_batches(
        self,
        now: float,
        exchange: exchanges.Exchange,
        target: deployment.ShardTarget,
        actions: list[forwarding.Action],
    ) -> None:
        """Send the shards without a usable server in this zone to peers, as batches.

        Servers that name a rate limit do not count: a peer may have no share left.
        A peer that is overdue with a reply gets no batch.
        """
        zones = self.peers.list_services()
        self._random.shuffle(zones)
        groups = placement.group_by_zone(
            [
                self._sender.list_free_zones(now, call.service)
                for call in exchange.calls
            ],
            self._zone,
            zones,
        )
        wait_s = self._sender.compute_hedge_delay(exchange.route)
        for zone, indexes in groups.items():
            peer = self.peers.choose(now, zone, (), lambda one: not one.is_stalled(now))
            if peer is None:
                continue
            calls = [exchange.calls[index] for index in indexes]
            exchange.batches += 1
            self._sender.counts["batches"] += 1
            for call in calls:
                call.awaits_peer = call.may_have_arrived = True
                call.possible_runs += 1
                call.hedge_at = now + wait_s + PEER_ROUND_TRIP_S
            batch = forwarding.Batch(
                exchange.request,
                tuple(call.service for call in calls),
                target.records_max,
                wait_s,
                exchange.deadline - now,
            )
            batch_call = exchanges.BatchCall(peer, calls)
            self._send_to_peer(now, exchange, batch_call, batch, actions)

    def send_continuation(
        self,
        now: float,
        exchange: exchanges.Exchange,
        batch_call: exchanges.BatchCall,
        batch: int,
        actions: list[forwarding.Action],
    ) -> None:
        """Ask a peer for the rest of a batch, in time for the next answer time."""
        target = exchange.route.target
        assert isinstance(target, deployment.ShardTarget)
        times = completion.compute_answer_times(exchange.build_progress(target))
        until = min(
            [at for at in times if at - PEER_ROUND_TRIP_S > now],
            default=exchange.deadline,
        )
        wait_s = max(0.0, min(until, exchange.deadline) - PEER_ROUND_TRIP_S - now)
        continuation = forwarding.BatchContinuation(
            batch, exchange.request.identity, wait_s
        )
        self._send_to_peer(now, exchange, batch_call, continuation, actions)

    def _send_to_peer(
        self,
        now: float,
        exchange: exchanges.Exchange,
        batch_call: exchanges.BatchCall,
        message: forwarding.Batch | forwarding.BatchContinuation,
        actions: list[forwarding.Action],
    ) -> None:
        """Send a batch or a continuation; the peer counts as stalled if it is late."""
        number = self._sender.take_number()
        batch_call.peer.start_send(number, now + message.wait_s + PEER_ROUND_TRIP_S)
        exchange.batch_calls[number] = batch_call
        self._exchanges[number] = exchange
        actions.append(
            forwarding.SendBatch(
                number,
                batch_call.peer.entry.address,
                message,
                len(batch_call.calls),
                PEER_IDLE_CONNECTIONS_MAX,
            )
        )

    def end(self, number: int) -> tuple[exchanges.Exchange, exchanges.BatchCall]:
        """Remove a message to a peer from the ones in progress, and return it."""
        exchange = self._exchanges.pop(number)
        batch_call = exchange.batch_calls.pop(number)
        batch_call.peer.end_send(number)
        return exchange, batch_call

    def cancel(
        self, exchange: exchanges.Exchange, actions: list[forwarding.Action]
    ) -> None:
        """Cancel the messages to peers for a request."""
        for number in list(exchange.batch_calls):
            _, batch_call = self.end(number)
            for call in batch_call.calls:
                call.awaits_peer = False
            actions.append(forwarding.Cancel(number))
