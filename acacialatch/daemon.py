"""Process of one entry instance: sockets, timers and signals around the engine."""

import contextlib
import random
import secrets
import signal
import typing

import trio

from acacialatch import (
    engine,
    errors,
    events,
    gateway,
    httpclient,
    httpserver,
    outputs,
    peers,
    runner,
    settings,
    sources,
    wire,
)

STOP_MARGIN_S = 1.0
"""Margin added to the address lifetime, in seconds.

After a stop signal, the process serves new work for the sum of both.
"""

DRAIN_MARGIN_S = 10.0
"""Margin added to the longest deadline, in seconds.

A graceful shutdown waits at most for the sum of both until all callers have been
answered and have closed their connections.
"""

FLUSH_DELAY_S = 0.5
"""Time for sending the last answers after a second signal, in seconds."""


class Daemon:
    """Process of one entry instance.

    Parameters
    ----------
    checked_settings : settings.Settings
        Checked settings.
    output : outputs.StandardOutput
        Log, audit trail, metrics and explanation records.
    """

    def __init__(
        self, checked_settings: settings.Settings, output: outputs.StandardOutput
    ):
        self._settings = checked_settings
        self._output = output
        identity = engine.Identity(
            checked_settings.name,
            checked_settings.zone,
            checked_settings.caller_address,
            checked_settings.peer_address,
            secrets.token_bytes(16),
            secrets.token_bytes(32),
            checked_settings.peers,
        )
        self._engine = engine.Engine(
            trio.current_time(), identity, secrets.randbits(32)
        )
        random_source = random.Random(secrets.randbits(64))
        interfaces = runner.Interfaces(
            httpclient.PooledClient(self._engine.connection_share),
            sources.HttpConfigurationSource(*checked_settings.configuration_service),
            sources.HttpInstanceSource(*checked_settings.instance_list),
            lambda address: peers.PeerClient(address, random_source),
            output,
        )
        self._runner = runner.Runner(self._engine, interfaces)
        self._server = httpserver.Server(
            self._runner.gateway.handle, _make_error_response, self._report_error
        )

    async def run(
        self, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Serve until a stop signal has been handled.

        Raises
        ------
        OSError
            An address in the settings cannot be bound; the error names it.
        """
        async with wire.open_loop(self._report_text), trio.open_nursery() as nursery:
            with _add_address_to_error(self._settings.caller_address):
                listener = await httpserver.listen(self._settings.caller_address)
            server = peers.PeerServer(self._runner)
            with _add_address_to_error(self._settings.peer_address):
                await nursery.start(server.serve, self._settings.peer_address)
            nursery.start_soon(self._output.run)
            await nursery.start(self._runner.run)
            accepting = trio.CancelScope()
            nursery.start_soon(
                httpserver.serve_until_cancelled,
                self._server,
                listener,
                accepting,
                nursery,
            )
            text = f"{self._settings.name} serves {self._settings.caller_address}"
            self._output.log("process:", text)
            task_status.started()
            await self._wait_for_signals(accepting)
            self._output.log("process:", "stopped")
            nursery.cancel_scope.cancel()

    # Signals and shutdown.

    async def _wait_for_signals(self, accepting: trio.CancelScope) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            await received.__anext__()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._drain, accepting, nursery.cancel_scope)
                await received.__anext__()
                self._output.log("process:", "second signal, stopping at once")
                await self._stop_at_once()
                nursery.cancel_scope.cancel()

    async def _drain(self, accepting: trio.CancelScope, done: trio.CancelScope) -> None:
        """Shut down gracefully, then cancel `done`.

        New work is served for the address lifetime, since callers keep addresses for
        that long. Afterwards no connection is accepted, and the process waits until
        callers have closed their connections and all work in progress has ended.
        """
        self._runner.submit(events.StopRequested())
        await trio.sleep(self._engine.entry_lifetime_s() + STOP_MARGIN_S)
        self._engine.refuse_new_work()
        self._server.announce_close()
        accepting.cancel()
        with trio.move_on_after(self._engine.max_deadline_s() + DRAIN_MARGIN_S):
            while self._server.connections or self._engine.count_in_progress():
                await trio.sleep(0.05)
        done.cancel()

    async def _stop_at_once(self) -> None:
        """Answer all callers immediately and give the answers time to be sent."""
        self._engine.refuse_new_work()
        self._server.announce_close()
        self._runner.perform(self._engine.stop(trio.current_time()))
        await trio.sleep(FLUSH_DELAY_S)

    # Errors.

    def _report_error(self, error: Exception) -> None:
        self._report_text(f"request failed: {error!r}")

    def _report_text(self, text: str) -> None:
        self._output.log("process:", text)


@contextlib.contextmanager
def _add_address_to_error(address: str) -> typing.Iterator[None]:
    """Add `address` to an `OSError`, since errors of sockets do not contain it."""
    try:
        yield
    except OSError as error:
        raise OSError(error.errno, error.strerror, address) from error


def _make_error_response(kind: str) -> httpserver.Response:
    return gateway.make_error_response(errors.ErrorKind(kind))
