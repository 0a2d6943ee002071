"""Unexpected exceptions: they are logged and counted, and end only what they concern.

Whatever one event or input raises, the tasks of a process go on with the next one.
"""

import collections
import contextlib
import math
import traceback
import typing

import trio

from acacialatch import decoding, logs

RESTART_DELAY_S = 0.1
"""Time in seconds after which a task that ended by an exception starts again."""

LOG_PERIOD_S = 1.0
"""Shortest time in seconds between two log lines on the defects of one task."""

_FRAMES_MAX = 8


class DefectLog:
    """Survives, counts and logs the unexpected exceptions of a process.

    Attributes
    ----------
    counts : collections.Counter of str
        Exceptions by task.
    """

    def __init__(self) -> None:
        self.counts: collections.Counter[str] = collections.Counter()
        self._logged_at: dict[str, float] = {}

    def record(self, task: str, error: Exception) -> None:
        """Count an exception, and log it unless the task had one just before."""
        self.counts[task] += 1
        now = trio.current_time()
        if now - self._logged_at.get(task, -math.inf) < LOG_PERIOD_S:
            return
        self._logged_at[task] = now
        frames = traceback.extract_tb(error.__traceback__)[-_FRAMES_MAX:]
        logs.write(
            logs.Part.PROCESS,
            "defect",
            task=task,
            error=decoding.describe(error),
            at=[f"{one.filename}:{one.lineno} {one.name}" for one in frames],
            count=self.counts[task],
        )

    @contextlib.contextmanager
    def survive(self, task: str) -> typing.Iterator[None]:
        """Record an exception of the block, which handles one event of a task."""
        try:
            yield
        except Exception as error:
            self.record(task, error)

    async def keep_running(
        self, task: str, function: typing.Callable[[], typing.Awaitable[None]]
    ) -> None:
        """Run a task, and start it again after an exception until it returns."""
        while True:
            try:
                return await function()
            except Exception as error:
                self.record(task, error)
            await trio.sleep(RESTART_DELAY_S)
