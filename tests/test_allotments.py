"""Tests of shares, permits and the budget of cold servers."""

import fleet
import hypothesis
import pytest
from hypothesis import stateful
from hypothesis import strategies as st

from acacialatch import allotments, leases, model, permits

ADDRESS = fleet.SERVERS[0]
SETTINGS = hypothesis.settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=90,
    stateful_step_count=20,
    # To shrink a fault of the fleet takes many minutes.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class FleetMachine(stateful.RuleBasedStateMachine):
    """Three or four instances under loss, partitions, pauses and restarts.

    The fleet checks after each event that no group has two owners and that no
    server is sent more than its budget in any window.
    """

    naive = {}

    @stateful.initialize(
        count=st.sampled_from((3, 4)),
        spare=st.sampled_from((0, 1)),
        seed=st.integers(0, 10**6),
        drops_replies=st.booleans(),
    )
    def start(self, count, spare, seed, drops_replies):
        self.fleet = fleet.Fleet(count, count + spare, seed, **self.naive)
        self.fleet.drops_replies = drops_replies
        self.fleet.advance(14.0)

    def pick(self, number):
        processes = self.fleet.processes
        return processes[number % len(processes)] if processes else self.fleet.start()

    def find_owner(self, number):
        owners = set(self.fleet.owners.values())
        found = [each for each in self.fleet.processes if each.name in owners]
        return found[number % len(found)] if found else None

    @stateful.invariant()
    def pass_time(self):
        self.fleet.advance(self.fleet.random.choice((0.0, 0.1, 0.3, 1.0, 2.0, 4.0)))

    @stateful.rule(number=st.integers(0, 9))
    def pause(self, number):
        process = self.pick(number)
        if process.paused_at is None:
            process.paused_at = self.fleet.time

    @stateful.rule(number=st.integers(0, 9))
    def resume(self, number):
        process = self.pick(number)
        if process.paused_at is not None:
            process.resume()

    @stateful.rule(number=st.integers(0, 9), is_replaced=st.booleans())
    def crash(self, number, is_replaced):
        self.fleet.stop(self.pick(number))
        if is_replaced:
            self.fleet.start()

    @stateful.rule(number=st.integers(0, 9))
    def stop_owner(self, number):
        owner = self.find_owner(number)
        if owner is not None:
            self.fleet.stop_gracefully(owner)
            self.fleet.start()

    @stateful.rule(number=st.integers(0, 9))
    def cut_off_owner(self, number):
        owner = self.find_owner(number)
        if owner is not None:
            self.fleet.isolate(owner)
            self.fleet.advance(4.0)

    @stateful.rule(number=st.integers(0, 9))
    def restart_all_but_owner(self, number):
        owner = self.find_owner(number)
        if owner is not None:
            for process in [each for each in self.fleet.processes if each != owner]:
                self.fleet.stop(process)
                self.fleet.start()
            self.fleet.isolate(owner)

    @stateful.rule(mask=st.integers(0, 255))
    def split(self, mask):
        names = enumerate(self.fleet.list_names())
        self.fleet.partition = {name: mask >> number & 1 for number, name in names}

    @stateful.rule(number=st.integers(0, 9), mask=st.integers(0, 255))
    def list_differently(self, number, mask):
        names = enumerate(self.fleet.list_names())
        self.pick(number).live = [name for i, name in names if mask >> i & 1]

    @stateful.rule(
        loss=st.sampled_from((0.0, 0.2, 0.5)), delay_s=st.sampled_from((0.005, 0.5, 3))
    )
    def disturb(self, loss, delay_s):
        self.fleet.loss, self.fleet.delay_s = loss, delay_s

    @stateful.rule()
    def join(self):
        self.fleet.reconnect()

    @stateful.rule(step=st.sampled_from((-2, -1, 1, 2, 4)), started=st.integers(0, 3))
    def change_limit(self, step, started):
        limit = min(8, max(1, self.fleet.limit + step))
        self.fleet.change_limit(limit, started)

    @stateful.rule(address=st.sampled_from(fleet.SERVERS))
    def restart_server(self, address):
        self.fleet.servers[address].restart()

    def teardown(self):
        if not hasattr(self, "fleet"):
            return
        self.fleet.reconnect()
        for process in self.fleet.processes:
            if process.paused_at is not None:
                process.resume()
        if 2 * len(self.fleet.processes) > self.fleet.limit:
            # Leases of processes that resumed or started come after a term.
            self.fleet.advance(4 * leases.TERM_S)
            assert all(self.fleet.owners.values())


class ListMachine(FleetMachine):
    """The owner is the first one of the own live list."""

    naive = {"candidate_class": fleet.LiveListCandidate}


class ShareMachine(FleetMachine):
    """Each instance has a static share of the budget, rounded up to 1."""

    naive = {"allotments_class": fleet.StaticShareAllotments}


def test_one_owner_and_budget_under_failures():
    """Guards against two owners and a cold server above its budget."""
    stateful.run_state_machine_as_test(FleetMachine, settings=SETTINGS)


@pytest.mark.parametrize("machine", [ListMachine, ShareMachine])
def test_naive_versions_fail(machine):
    """Guards against a machine that cannot find the faults of naive versions."""
    with pytest.raises(AssertionError, match=r"two owners|over budget"):
        stateful.run_state_machine_as_test(machine, settings=SETTINGS)


@pytest.mark.parametrize("candidate", [leases.Candidate, fleet.LiveListCandidate])
def test_differing_lists(candidate):
    """Guards against two owners while lists differ, as in the naive version."""
    split = fleet.Fleet(4, 4, candidate_class=candidate)
    for process in split.processes:
        process.live = [process.name]
    if candidate is leases.Candidate:
        split.advance(30.0)
        assert all(split.owners.values())
    else:
        with pytest.raises(AssertionError, match="two owners"):
            split.advance(30.0)


@pytest.mark.parametrize("change", ["stop_gracefully", "isolate"])
def test_two_owners_in_succession(change):
    """Guards against permits of two owners within one window."""
    for seed in range(20):
        pair = fleet.Fleet(4, 4, seed)
        pair.drops_replies = True
        pair.advance(12.0 + seed / 10)
        owner = pair.owners[leases.group_of(ADDRESS)]
        process = next(each for each in pair.processes if each.name == owner)
        getattr(pair, change)(process)
        pair.advance(12.0)
        assert pair.owners[leases.group_of(ADDRESS)] not in (owner, None)


@pytest.mark.parametrize(("count", "limit"), [(3, 3), (4, 4), (7, 8)])
def test_cold_server_gets_warm_and_again_after_silent_restart(count, limit):
    """Guards against cold servers that stay cold, and load after a restart."""
    calm = fleet.Fleet(count, limit, seed=count, shape=fleet.SHAPE)
    # Each round of permits takes at most their life, one window and a digest.
    margin = 1 / (0.95 * (1 - leases.CLOCK_RATE_MARGIN))
    round_s = (permits.PERMIT_LIFE_S + 1.0) * margin + 2 * fleet.DIGEST_PERIOD_S
    rounds = fleet.SHAPE.warm_after_requests / fleet.SHAPE.cold_requests + 1
    wait_s = (leases.TERM_S + 1.0) * margin
    calm.advance(3 * leases.TERM_S + wait_s + rounds * round_s)
    assert all(is_warm(calm, address) for address in fleet.SERVERS)
    calm.servers[ADDRESS].restart()
    calm.advance(0.5)
    assert not is_warm(calm, ADDRESS)
    calm.advance((permits.RESTART_SPREAD_S + 1.0) * margin + rounds * round_s)
    assert is_warm(calm, ADDRESS)


def is_warm(calm, address):
    """Return whether all instances know the server as ready."""
    states = {each.table.state(0.0, address) for each in calm.processes}
    return states == {model.ServerState.READY}


class Owner(leases.Candidate):
    """Candidate that has owned all groups for long."""

    held_s = 1e9

    def held_duration(self, now, group):
        return self.held_s


def make_allotments(name="a", limit=8, shape=fleet.SHAPE):
    made = allotments.Allotments(name, Owner(0.0, name, limit, 1))
    made.apply_configuration(fleet.make_configuration(limit, shape))
    return made


def ask(holder, owner, name, now, count=1, urgency=0, incarnation="x"):
    """Ask for permits and receive the answer at once."""
    demand = [permits.Demand(ADDRESS, incarnation, count, urgency)]
    request = holder.request_permits(now, demand)
    return holder.add_permits(now, owner.grant(now, name, request))


def test_shares_are_rounded_down_and_slots_at_least_one():
    """Guards against connections above the server's limit and instances without."""
    made = make_allotments()
    assert (made.connection_share("desk"), made.slot_limit("desk")) == (3, 1)
    wide = make_allotments(shape=fleet.SHAPE._replace(slots=12, connections=25))
    assert (wide.connection_share("desk"), wide.slot_limit("desk")) == (3, 3)


def test_permit_is_checked_at_the_send():
    """Guards against permits used twice, late, after a pause or a restart."""
    owner = make_allotments("owner")
    holder = make_allotments("holder")
    assert ask(holder, owner, "holder", 10.0) == 0
    assert ask(holder, owner, "holder", 20.0, count=2) == 2
    assert not holder.try_spend(20.0, ADDRESS, "y")
    assert holder.try_spend(20.5, ADDRESS, "x")
    assert not holder.try_spend(20.0 + permits.PERMIT_LIFE_S, ADDRESS, "x")
    assert ask(holder, owner, "holder", 30.0) == 1
    holder.record_pause(30.1)
    assert not holder.try_spend(30.1, ADDRESS, "x")
    assert ask(holder, owner, "holder", 40.0, incarnation="") == 1
    assert not holder.try_spend(40.0, ADDRESS, "x")
    assert holder.try_spend(40.0, ADDRESS, "")


def test_late_and_repeated_grants():
    """Guards against an expiry that counts from the arrival, and copies."""
    owner, holder = make_allotments("owner"), make_allotments("holder")
    ask(holder, owner, "holder", 10.0)
    demand = [permits.Demand(ADDRESS, "x", 1, 0)]
    grants = owner.grant(20.0, "holder", holder.request_permits(20.0, demand))
    assert holder.add_permits(20.9, grants) == 1
    assert holder.add_permits(20.9, grants) == 0
    assert holder.try_spend(20.95, ADDRESS, "x")
    assert not holder.try_spend(20.95, ADDRESS, "x")
    late = owner.grant(30.0, "holder", holder.request_permits(30.0, demand))
    assert len(late.permits) == 1
    assert holder.add_permits(31.5, late) == 0
    before = owner.grant(40.0, "holder", holder.request_permits(40.0, demand))
    assert len(before.permits) == 1
    holder.record_pause(40.1)
    assert holder.add_permits(40.2, before) == 0


def test_new_owner_waits_one_term_and_one_window():
    """Guards against a wait that is too short on a fast clock."""
    owner, holder = make_allotments("owner"), make_allotments("holder")
    wait_s = leases.TERM_S + fleet.SHAPE.cold_window_s
    owner._candidate.held_s = wait_s * 1.05
    assert ask(holder, owner, "holder", 20.0, incarnation="") == 0
    owner._candidate.held_s = wait_s * 1.2
    assert ask(holder, owner, "holder", 20.0, incarnation="") == 1


def test_urgent_demand_first_then_rotation():
    """Guards against a requester that takes every permit, and starvation."""
    owner = make_allotments("owner", shape=fleet.SHAPE._replace(cold_requests=1))
    holders = {name: make_allotments(name) for name in "pqr"}
    for name, holder in holders.items():
        ask(holder, owner, name, 0.0)
    got = dict.fromkeys(holders, 0)
    for step in range(400):
        for name, holder in holders.items():
            urgency = 1 if name == "r" else 0
            now = 10.0 + step / 10
            got[name] += ask(holder, owner, name, now, urgency=urgency)
    assert abs(got["p"] - got["q"]) <= 1
    assert 0 < got["r"] < got["p"]


def test_spent_and_returned_permits_free_the_budget():
    """Guards against a budget held by unused permits, or freed by others."""
    owner, holder = make_allotments("owner"), make_allotments("holder")
    ask(holder, owner, "holder", 10.0)
    assert ask(holder, owner, "holder", 20.0, count=9) == 2
    assert holder.try_spend(20.0, ADDRESS, "x")
    serials = tuple(owner._ledger._addresses)
    owner.grant(20.1, "thief", permits.PermitRequest(1, (), (), serials))
    assert ask(holder, owner, "holder", 20.1, count=2) == 0
    holder.record_pause(20.2)
    assert ask(holder, owner, "holder", 20.3, count=1) == 1
    assert ask(holder, owner, "holder", 21.1, count=2) == 0
    assert ask(holder, owner, "holder", 21.25, count=2) == 1
