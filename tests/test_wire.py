"""Tests for acacialatch.wire; test_peers covers the messages."""

import logging

import trio
import trio_asyncio

from acacialatch import wire


async def test_errors_without_a_task_are_reported(caplog):
    """Guards against a callback error that ends the process, and against log output."""
    reports = []
    async with wire.open_loop(reports.append):
        loop = trio_asyncio.current_loop.get()
        called = trio.Event()
        loop.call_soon(lambda: 1 / 0)
        loop.call_soon(called.set)
        loop.call_exception_handler({"message": "plain"})
        await called.wait()
        logging.getLogger("grpclib.server").error("not printed")
    assert reports[0] == "plain: None"
    assert "ZeroDivisionError" in reports[1]
    assert caplog.records == []
