"""Tasks that run as long as the daemon does."""

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

_RESTART_PAUSE = 0.5


class TaskSupervisor:
    """Starts tasks, starts them again if they fail, ends them on exit."""

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
        """Start a task unless one of that name runs."""
        if name not in self._tasks:
            loop = asyncio.get_running_loop()
            self._tasks[name] = loop.create_task(self._keep(name, run))

    def stop(self, name: str) -> None:
        """End a task."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()

    async def _keep(
        self, name: str, run: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await run()
                return
            except Exception:
                self._metrics.add(Count.TASK_FAILURES, name.split('/')[0])
                logging.exception('task %s failed and starts again', name)
                await asyncio.sleep(_RESTART_PAUSE)


__all__ = ['TaskSupervisor']
