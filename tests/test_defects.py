"""Tests for acacialatch.defects."""

import eliot
import pytest
import trio

from acacialatch import defects


@pytest.fixture
def lines():
    """Return the log messages of the test."""
    found = []
    eliot.add_destinations(found.append)
    yield found
    eliot.remove_destination(found.append)


async def test_task_starts_again_after_an_exception(autojump_clock, lines):
    """Guards against a process that ends with one of its tasks."""
    log = defects.DefectLog()
    started_at = []

    async def fail_twice():
        started_at.append(trio.current_time())
        if len(started_at) < 3:
            raise RecursionError("deep")

    await log.keep_running("reader", fail_twice)
    assert len(started_at) == 3
    assert started_at[1] - started_at[0] == pytest.approx(defects.RESTART_DELAY_S)
    assert log.counts == {"reader": 2}
    assert [line["message_type"] for line in lines] == ["process: defect"]
    assert lines[0]["task"] == "reader"
    assert lines[0]["error"] == "RecursionError: deep"
    assert lines[0]["at"][-1].endswith("fail_twice")


async def test_cancelled_task_is_not_started_again(autojump_clock):
    """Guards against a task that a shutdown cannot end."""
    log = defects.DefectLog()
    with trio.move_on_after(5.0) as scope:
        await log.keep_running("sleeper", trio.sleep_forever)
    assert scope.cancelled_caught
    assert not log.counts


async def test_defect_at_each_event_is_counted_but_not_logged_each_time(
    autojump_clock, lines
):
    """Guards against a log that one faulty input per request fills."""
    log = defects.DefectLog()
    for _ in range(1000):
        with log.survive("requests"):
            raise ValueError("odd")
    with log.survive("timers"):
        raise ValueError("odd")
    await trio.sleep(defects.LOG_PERIOD_S)
    with log.survive("requests"):
        raise ValueError("odd")
    assert log.counts == {"requests": 1001, "timers": 1}
    logged = [(line["task"], line["count"]) for line in lines]
    assert logged == [("requests", 1), ("timers", 1), ("requests", 1001)]
