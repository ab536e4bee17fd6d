"""Supervision of tasks that run as long as the daemon."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from absl import logging

from ..metrics.registry import Count

if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from types import TracebackType

    from ..metrics.registry import Metrics

_RESTART_DELAY_S = 0.5


class TaskSupervisor:
    """Runs tasks, restarts them after errors, cancels them on exit."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def __aenter__(self) -> TaskSupervisor:
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        for name in list(self._tasks):
            self.stop(name)
        await asyncio.sleep(0)

    def list_names(self) -> set[str]:
        """Return the names of all tasks."""
        return set(self._tasks)

    def start(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        """Start a task, unless it was started by that name before.

        ``run`` is called again after an error.
        """
        if name not in self._tasks:
            loop = asyncio.get_running_loop()
            self._tasks[name] = loop.create_task(
                self._run_with_restarts(name, run)
            )

    def stop(self, name: str) -> None:
        """Cancel a task; does nothing if there is none of that name."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def _run_with_restarts(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception:
                self._metrics.add(Count.TASK_FAILURES, name.split('/')[0])
                logging.exception('task %s failed; restarting it', name)
                await asyncio.sleep(_RESTART_DELAY_S)


__all__ = ['TaskSupervisor']
