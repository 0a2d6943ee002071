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
    # Shrinking a failed example of the fleet takes many minutes.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)


class FleetStateMachine(stateful.RuleBasedStateMachine):
    """Three or four entry instances under loss, partitions, pauses and restarts.

    The fleet checks after each event that no group has two owners and that no
    server is sent more than its budget in any window.
    """

    fleet_options = {}

    @stateful.initialize(
        count=st.sampled_from((3, 4)),
        spare=st.sampled_from((0, 1)),
        seed=st.integers(0, 10**6),
        drops_replies=st.booleans(),
    )
    def start(self, count, spare, seed, drops_replies):
        self.fleet = fleet.Fleet(count, count + spare, seed, **self.fleet_options)
        self.fleet.drops_replies = drops_replies
        self.fleet.advance(14.0)

    def pick(self, number):
        """Return a running process; start one if there is none."""
        processes = self.fleet.processes
        return processes[number % len(processes)] if processes else self.fleet.start()

    def find_owner(self, number):
        """Return a process that owns a lease group, or None."""
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
    def partition(self, mask):
        names = enumerate(self.fleet.list_names())
        self.fleet.partition = {name: mask >> number & 1 for number, name in names}

    @stateful.rule(number=st.integers(0, 9), mask=st.integers(0, 255))
    def change_live_list(self, number, mask):
        names = enumerate(self.fleet.list_names())
        self.pick(number).live = [name for i, name in names if mask >> i & 1]

    @stateful.rule(
        loss=st.sampled_from((0.0, 0.2, 0.5)), delay_s=st.sampled_from((0.005, 0.5, 3))
    )
    def change_links(self, loss, delay_s):
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
            # Processes that resumed or started get leases after a term at the earliest.
            self.fleet.advance(4 * leases.TERM_S)
            assert all(self.fleet.owners.values())


class ListStateMachine(FleetStateMachine):
    """Naive version: the owner is chosen by the own list of live instances."""

    fleet_options = {"candidate_class": fleet.LiveListCandidate}


class ShareStateMachine(FleetStateMachine):
    """Naive version: each instance has a fixed share of the budget, at least 1."""

    fleet_options = {"allotments_class": fleet.StaticShareAllotments}


def test_one_owner_and_budget_kept_under_failures():
    """Guards against two owners of a group and a cold server above its budget."""
    stateful.run_state_machine_as_test(FleetStateMachine, settings=SETTINGS)


@pytest.mark.parametrize("machine", [ListStateMachine, ShareStateMachine])
def test_state_machine_finds_faults_of_naive_versions(machine):
    """Guards against a state machine that does not find known faults."""
    with pytest.raises(AssertionError, match=r"two owners|over budget"):
        stateful.run_state_machine_as_test(machine, settings=SETTINGS)


@pytest.mark.parametrize("candidate", [leases.Candidate, fleet.LiveListCandidate])
def test_one_owner_with_differing_live_lists(candidate):
    """Guards against two owners while the lists of live instances differ.

    The naive version, whose owner is the first one of the list, must fail here.
    """
    tested_fleet = fleet.Fleet(4, 4, candidate_class=candidate)
    for process in tested_fleet.processes:
        process.live = [process.name]
    if candidate is leases.Candidate:
        tested_fleet.advance(30.0)
        assert all(tested_fleet.owners.values())
    else:
        with pytest.raises(AssertionError, match="two owners"):
            tested_fleet.advance(30.0)


@pytest.mark.parametrize("change", ["stop_gracefully", "isolate"])
def test_budget_kept_over_change_of_owner(change):
    """Guards against a budget exceeded by the permits of two successive owners.

    The new owner must wait until the former owner's permits no longer count.
    """
    for seed in range(20):
        tested_fleet = fleet.Fleet(4, 4, seed)
        tested_fleet.drops_replies = True
        tested_fleet.advance(12.0 + seed / 10)
        owner = tested_fleet.owners[leases.group_of(ADDRESS)]
        process = next(each for each in tested_fleet.processes if each.name == owner)
        getattr(tested_fleet, change)(process)
        tested_fleet.advance(12.0)
        assert tested_fleet.owners[leases.group_of(ADDRESS)] not in (owner, None)


@pytest.mark.parametrize(("count", "limit"), [(3, 3), (4, 4), (7, 8)])
def test_cold_server_warms_up_at_start_and_after_silent_restart(count, limit):
    """Guards against servers that stay cold, and full load after a silent restart."""
    tested_fleet = fleet.Fleet(count, limit, seed=count, shape=fleet.SHAPE)
    # A round of permits takes at most their lifetime, one window and two digests.
    margin = 1 / (0.95 * (1 - leases.CLOCK_RATE_MARGIN))
    round_s = (permits.PERMIT_LIFETIME_S + 1.0) * margin + 2 * fleet.DIGEST_PERIOD_S
    rounds = fleet.SHAPE.warm_after_requests / fleet.SHAPE.cold_requests + 1
    wait_s = (leases.TERM_S + 1.0) * margin
    tested_fleet.advance(3 * leases.TERM_S + wait_s + rounds * round_s)
    assert all(is_warm(tested_fleet, address) for address in fleet.SERVERS)
    tested_fleet.servers[ADDRESS].restart()
    tested_fleet.advance(0.5)
    assert not is_warm(tested_fleet, ADDRESS)
    tested_fleet.advance(
        (permits.RESTART_DETECTION_S + 1.0) * margin + rounds * round_s
    )
    assert is_warm(tested_fleet, ADDRESS)


def is_warm(tested_fleet, address):
    """Return whether the server is ready for all instances."""
    states = {each.table.state(0.0, address) for each in tested_fleet.processes}
    return states == {model.ServerState.READY}


class LongTimeOwner(leases.Candidate):
    """Candidate that owns all groups, by default for a very long time."""

    held_s = 1e9

    def held_duration(self, now, group):
        return self.held_s


def make_allotments(name="a", limit=8, shape=fleet.SHAPE):
    shares = allotments.Allotments(name, LongTimeOwner(0.0, name, limit, 1))
    shares.apply_configuration(fleet.make_configuration(limit, shape))
    return shares


def request_permits(holder, owner, name, now, count=1, urgency=0, incarnation="x"):
    """Request permits and receive the answer at once; return how many are valid."""
    demand = [permits.Demand(ADDRESS, incarnation, count, urgency)]
    request = holder.request_permits(now, demand)
    return holder.add_permits(now, owner.grant(now, name, request))


def test_shares_are_rounded_down_and_slots_at_least_one():
    """Guards against too many connections, and instances that get no slot."""
    shares = make_allotments()
    assert (shares.connection_share("desk"), shares.slot_limit("desk")) == (3, 1)
    wide = make_allotments(shape=fleet.SHAPE._replace(slots=12, connections=25))
    assert (wide.connection_share("desk"), wide.slot_limit("desk")) == (3, 3)


def test_permit_is_checked_when_spent():
    """Guards against permits spent when expired, or after a pause or a restart."""
    owner = make_allotments("owner")
    holder = make_allotments("holder")
    assert request_permits(holder, owner, "holder", 10.0) == 0
    assert request_permits(holder, owner, "holder", 20.0, count=2) == 2
    assert not holder.try_spend(20.0, ADDRESS, "y")
    assert holder.try_spend(20.5, ADDRESS, "x")
    assert not holder.try_spend(20.0 + permits.PERMIT_LIFETIME_S, ADDRESS, "x")
    assert request_permits(holder, owner, "holder", 30.0) == 1
    holder.record_pause(30.1)
    assert not holder.try_spend(30.1, ADDRESS, "x")
    assert request_permits(holder, owner, "holder", 40.0, incarnation="") == 1
    assert not holder.try_spend(40.0, ADDRESS, "x")
    assert holder.try_spend(40.0, ADDRESS, "")


def test_late_and_repeated_grants_are_ignored():
    """Guards against permits that are valid for too long or spent twice.

    The lifetime counts from the request, not from the arrival of the answer, and a
    repeated answer adds no permits.
    """
    owner, holder = make_allotments("owner"), make_allotments("holder")
    request_permits(holder, owner, "holder", 10.0)
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
    """Guards against permits of a new owner that come too early on a fast clock."""
    owner, holder = make_allotments("owner"), make_allotments("holder")
    wait_s = leases.TERM_S + fleet.SHAPE.cold_window_s
    owner._candidate.held_s = wait_s * 1.05
    assert request_permits(holder, owner, "holder", 20.0, incarnation="") == 0
    owner._candidate.held_s = wait_s * 1.2
    assert request_permits(holder, owner, "holder", 20.0, incarnation="") == 1


def test_urgent_demands_first_then_round_robin():
    """Guards against a requester that gets all permits, and one that gets none.

    Equal demands are granted in turn; a less urgent one is granted after a wait.
    """
    owner = make_allotments("owner", shape=fleet.SHAPE._replace(cold_requests=1))
    holders = {name: make_allotments(name) for name in "pqr"}
    for name, holder in holders.items():
        request_permits(holder, owner, name, 0.0)
    got = dict.fromkeys(holders, 0)
    for step in range(400):
        for name, holder in holders.items():
            urgency = 1 if name == "r" else 0
            now = 10.0 + step / 10
            got[name] += request_permits(holder, owner, name, now, urgency=urgency)
    assert abs(got["p"] - got["q"]) <= 1
    assert 0 < got["r"] < got["p"]


def test_spent_and_returned_permits_free_the_budget():
    """Guards against a budget that stays occupied, or is freed too early.

    Returned permits free the budget at once, spent ones after one window. Another
    entry instance must not return them.
    """
    owner, holder = make_allotments("owner"), make_allotments("holder")
    request_permits(holder, owner, "holder", 10.0)
    assert request_permits(holder, owner, "holder", 20.0, count=9) == 2
    assert holder.try_spend(20.0, ADDRESS, "x")
    serials = tuple(owner._issuer._addresses_by_serial)
    owner.grant(20.1, "thief", permits.PermitRequest(1, (), (), serials))
    assert request_permits(holder, owner, "holder", 20.1, count=2) == 0
    holder.record_pause(20.2)
    assert request_permits(holder, owner, "holder", 20.3, count=1) == 1
    assert request_permits(holder, owner, "holder", 21.1, count=2) == 0
    assert request_permits(holder, owner, "holder", 21.25, count=2) == 1
