"""Simulated fleet of entry instances for the tests of leases and allotments.

`Fleet.time` is the global time. Each process has a clock with its own offset and
rate. Links lose, delay and reorder messages. A paused process handles its messages
when it resumes.
"""

import heapq
import random

from acacialatch import allotments, leases, model, permits, servers

SERVERS = ("127.0.0.1:7001", "127.0.0.1:7002")
SHAPE = model.Shape(3, 30, 0.006, 2, 1.0, 2.0, 8)
# Servers of this shape never become warm, so the cold budget always applies.
ALWAYS_COLD = SHAPE._replace(warm_after_requests=10**9)
REPLY_DELAY_S = 0.01
DIGEST_PERIOD_S = 0.5
TICK_S = 0.1
PAUSE_DETECTED_S = 1.0
# Time within which a configuration is in force everywhere (invariant 10), in seconds.
CONFIGURATION_SPREAD_S = 3.0


def make_configuration(limit, shape=SHAPE, addresses=SERVERS):
    """Return a configuration with one leaf service."""
    replicas = tuple(model.Replica(address, "Ba") for address in addresses)
    keys = model.KeyRange(0, 10)
    leaf = model.Service("desk", (), "bookings", keys, shape, replicas)
    return model.Configuration(
        "Fiji", limit, ("Ba",), frozenset(), {}, {}, {"desk": leaf}
    )


class LiveListCandidate(leases.Candidate):
    """Naive variant: it owns the groups that its own live list assigns to it."""

    live = ()

    def request_votes(self, now, live):
        self.live = tuple(sorted({*live, self._instance}))
        return super().request_votes(now, live)

    def holds(self, now, group):
        preferred = leases.select_candidates(self.live) if self.live else ()
        return bool(preferred) and preferred[group] == self._instance

    def held_duration(self, now, group):
        return 1e9 if self.holds(now, group) else 0.0


class StaticShareAllotments(allotments.Allotments):
    """Naive variant with a static share of the cold budget, rounded up to 1."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.sends = {address: [] for address in SERVERS}

    def try_spend(self, now, address, incarnation):
        share = max(1, SHAPE.cold_requests // self._limit)
        recent = [at for at in self.sends[address] if now - at < SHAPE.cold_window_s]
        self.sends[address] = recent
        if len(recent) < share:
            recent.append(now)
            return True
        return False


class Process:
    """Entry instance with its own clock."""

    def __init__(self, fleet, name, rate, offset):
        self.fleet, self.name, self.rate, self.offset = fleet, name, rate, offset
        self.is_running, self.paused_at, self.delayed_messages = True, None, []
        self.live, self.limit = None, fleet.limit
        now = self.now()
        self.voter = leases.Voter(now, self.limit)
        self.candidate = fleet.candidate_class(now, name, self.limit, fleet.serial)
        self.allotments = fleet.allotments_class(name, self.candidate)
        self.table = servers.ServerTable(name, fleet.serial)
        self.configure()

    def configure(self):
        """Apply the configuration to the server table and the allotments."""
        configuration = make_configuration(self.limit, self.fleet.shape)
        self.allotments.apply_configuration(configuration)
        self.table.apply_configuration(self.now(), configuration)

    def now(self):
        """Return the time of the clock of this process."""
        return self.offset + self.rate * self.fleet.time

    def apply_limit(self, limit):
        """Apply a limit on the number of entry instances."""
        self.limit = limit
        self.voter.set_limit(limit)
        self.candidate.set_limit(self.now(), limit)
        self.configure()

    def digest(self):
        """Request votes and permits from all processes, this one included."""
        now = self.now()
        live = self.fleet.list_names() if self.live is None else self.live
        vote_request = self.candidate.request_votes(now, live)
        demand = [
            permits.Demand(address, self.table.incarnation(address), 2, 0)
            for address in SERVERS
            if self.table.needs_permit(now, address)
        ]
        request = self.allotments.request_permits(now, demand)
        facts = self.table.facts(now)
        for other in self.fleet.processes:
            self.fleet.send(self, other, "answer", vote_request, request, facts)

    def answer(self, sender, vote_request, request, facts):
        """Answer the digest of a process, which may be this one."""
        now = self.now()
        self.table.merge(now, sender.name, facts)
        votes = self.voter.vote(now, sender.name, vote_request)
        grants = self.allotments.grant(now, sender.name, request)
        self.fleet.send(self, sender, "receive", votes, grants)

    def receive(self, sender, votes, grants):
        """Handle an answer."""
        self.candidate.record_votes(self.now(), sender.name, votes)
        self.allotments.add_permits(self.now(), grants)

    def use_permits(self):
        """Send once to each warm server, and once for each permit held."""
        now = self.now()
        for address in SERVERS:
            if not self.table.needs_permit(now, address):
                self.fleet.request(self, address, False)
            incarnation = self.table.incarnation(address)
            while self.allotments.try_spend(now, address, incarnation):
                self.fleet.request(self, address, True)

    def reply(self, address, incarnation, state, sent):
        """Handle a reply of a backend server."""
        now = self.now()
        latency_s = (self.fleet.time - sent) * self.rate
        self.table.record_reply(now, address, incarnation, state, {}, latency_s)

    def resume(self):
        """Resume after a pause and handle the messages that arrived during it."""
        gap_s = (self.fleet.time - self.paused_at) * self.rate
        self.paused_at = None
        if gap_s > PAUSE_DETECTED_S:
            self.voter.record_pause(self.now())
            self.candidate.record_pause(self.now())
            self.allotments.record_pause(self.now())
        delayed_messages, self.delayed_messages = self.delayed_messages, []
        for method, arguments in delayed_messages:
            getattr(self, method)(*arguments)


class Server:
    """Backend server; it is cold until its warm-up is complete."""

    def __init__(self, fleet):
        self.fleet, self.runs, self.sends = fleet, 0, []
        # Time of the last send by an instance that could not know of a restart yet.
        self.last_unaware_send = float("-inf")
        self.restart()

    def restart(self):
        """Restart without notice."""
        self.runs += 1
        self.started, self.answered = self.fleet.time, 0
        self.incarnation = f"{self.runs:032x}"

    def is_cold(self):
        """Return whether sends to the server are limited to the cold budget."""
        age_s = self.fleet.time - self.started
        shape = self.fleet.shape
        is_early = age_s < shape.warm_up_s
        return is_early or self.answered < shape.warm_after_requests


class Fleet:
    """Processes, the links between them and the global time."""

    def __init__(
        self,
        count,
        limit,
        seed=0,
        candidate_class=leases.Candidate,
        allotments_class=allotments.Allotments,
        shape=ALWAYS_COLD,
    ):
        self.shape = shape
        self.candidate_class = candidate_class
        self.allotments_class = allotments_class
        self.random = random.Random(seed)
        self.time, self.serial, self.limit = 0.0, 0, limit
        self.loss, self.delay_s, self.partition = 0.0, 0.005, {}
        # If set, servers never reply, so their incarnation stays unknown.
        self.drops_replies = False
        self.events, self.processes = [], []
        self.servers = {address: Server(self) for address in SERVERS}
        self.owners = {}
        for _ in range(count):
            self.start()

    def schedule(self, time, function, *arguments):
        """Schedule a call at a global time."""
        self.serial += 1
        heapq.heappush(self.events, (time, self.serial, function, arguments))

    def start(self):
        """Start a process whose clock has a random rate and offset."""
        self.serial += 1
        rate = self.random.choice((0.95, 1.0, 1.05))
        offset = self.random.uniform(0, 1000)
        process = Process(self, f"{self.serial:032x}", rate, offset)
        self.processes.append(process)
        self.schedule(
            self.time + self.random.uniform(0, DIGEST_PERIOD_S),
            self.run_digest,
            process,
        )
        self.schedule(
            self.time + self.random.uniform(0, TICK_S), self.run_tick, process
        )
        return process

    def stop(self, process):
        """End a process without notice."""
        process.is_running = False
        self.processes.remove(process)

    def stop_gracefully(self, process):
        """End a process after it has given back its votes."""
        vote_request = process.candidate.release(process.now())
        request = process.allotments.request_permits(process.now(), ())
        for other in self.processes:
            if other is not process:
                self.send(process, other, "answer", vote_request, request, ())
        self.stop(process)

    def isolate(self, process):
        """Partition one process from the others and drop it from their live lists."""
        self.partition = {process.name: 1}
        for other in self.processes:
            rest = [name for name in self.list_names() if name != process.name]
            other.live = None if other is process else rest

    def reconnect(self):
        """Restore all links and live lists."""
        self.partition, self.loss, self.delay_s = {}, 0.0, 0.005
        for process in self.processes:
            process.live = None

    def list_names(self):
        """Return the names of the running processes."""
        return [process.name for process in self.processes]

    def change_limit(self, limit, started):
        """Change the limit N in the order that operators follow.

        N is raised before further processes start, which they do as soon as the
        configuration is accepted. Processes are stopped before N is lowered.
        """
        while len(self.processes) > limit:
            self.stop(self.processes[-1])
        self.set_limit(limit)
        for _ in range(min(started, limit - len(self.processes))):
            self.start()

    def set_limit(self, limit):
        """Accept a configuration; every process applies it within 3 s."""
        self.limit = limit
        for process in self.processes:
            at = self.time + self.random.uniform(0, CONFIGURATION_SPREAD_S)
            self.schedule(at, self.run_apply_limit, process, limit)

    def run_apply_limit(self, process, limit):
        """Apply the configuration unless a later one was accepted."""
        if limit == self.limit:
            process.apply_limit(limit)

    def run_digest(self, process):
        """Send a digest and schedule the next one."""
        if process.is_running:
            if process.paused_at is None:
                process.digest()
            self.schedule(
                self.time + DIGEST_PERIOD_S / process.rate, self.run_digest, process
            )

    def run_tick(self, process):
        """Use permits and schedule the next tick."""
        if process.is_running:
            if process.paused_at is None:
                process.use_permits()
            self.schedule(self.time + TICK_S, self.run_tick, process)

    def send(self, sender, receiver, method, *contents):
        """Send a message over a link that may lose or delay it."""
        groups = self.partition.get(sender.name), self.partition.get(receiver.name)
        is_lost = groups[0] != groups[1] or self.random.random() < self.loss
        if sender is receiver:
            getattr(receiver, method)(sender, *contents)
        elif not is_lost:
            at = self.time + self.random.uniform(0.001, self.delay_s)
            self.schedule(at, self.deliver, receiver, method, (sender, *contents))

    def deliver(self, receiver, method, arguments):
        """Deliver a message, or queue it while the receiver is paused."""
        if receiver.paused_at is not None:
            receiver.delayed_messages.append((method, arguments))
        elif receiver.is_running:
            getattr(receiver, method)(*arguments)

    def request(self, process, address, is_permitted):
        """Send to a server; check the budget in every window that ends now."""
        server = self.servers[address]
        if server.is_cold():
            self.check_budget(server, address, is_permitted)
        server.answered += 1
        state = model.ServerState.COLD if server.is_cold() else model.ServerState.READY
        contents = (address, server.incarnation, state, self.time)
        if not self.drops_replies:
            self.schedule(
                self.time + REPLY_DELAY_S, self.deliver, process, "reply", contents
            )

    def check_budget(self, server, address, is_permitted):
        """Check a send to a cold server against its budget.

        After a silent restart, instances may treat the server as warm until digests
        can have told them. No window may contain both such a send and one with a
        permit.
        """
        if not is_permitted:
            is_unaware = self.time - server.started <= 2 * DIGEST_PERIOD_S
            assert server.runs > 1, f"{address} is known to be cold"
            assert is_unaware, f"{address} is known to be cold"
            server.last_unaware_send = self.time
            return
        server.sends.append(self.time)
        recent = [server.last_unaware_send, *server.sends[: -self.shape.cold_requests]]
        is_within = self.time - max(recent) >= self.shape.cold_window_s
        assert is_within, f"{address} over budget at {self.time}"

    def check_owners(self):
        """Check that no group has two owners."""
        for group in {leases.group_of(address) for address in SERVERS} | {0, 1}:
            holders = [
                process.name
                for process in self.processes
                if process.candidate.holds(process.now(), group)
            ]
            assert len(holders) <= 1, f"group {group} has two owners at {self.time}"
            self.owners[group] = holders[0] if holders else None

    def advance(self, duration_s):
        """Run all events within a time span."""
        end = self.time + duration_s
        while self.events and self.events[0][0] <= end:
            self.time, _, function, arguments = heapq.heappop(self.events)
            function(*arguments)
            if function != self.run_tick:
                self.check_owners()
        self.time = end
        self.check_owners()
