"""Dispatch of calls to targets, and what the calls of a VM share."""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

from ..decisions.retries import RetryBudget
from .call import Cancellation
from .events import wait_for_event
from .execution import CallExecution

if TYPE_CHECKING:
    from .call import Call
    from .call import ResponseWriter
    from .context import DispatchContext


class Dispatcher:
    """Sends calls to targets and relays their responses."""

    def __init__(
        self, context: DispatchContext, is_first_start: bool = True
    ) -> None:
        """Send calls for a VM that no process has run on, or some have."""
        self._context = context
        self._budgets: dict[str, RetryBudget] = {}
        self._slack_from = float('-inf')
        if not is_first_start:
            self._slack_from = (
                context.clock.now() + context.bounds.retry_window
            )
        # Calls by service that wait for targets which limit their requests.
        self.waiting_for_turns: collections.Counter[str] = (
            collections.Counter()
        )
        # IDs of calls that wait for a target, or for a VM that reaches one.
        self.waiting_ids: set[str] = set()
        self.is_stopping = False
        self._changed = asyncio.Event()
        context.targets.on_change.append(self._notify)

    def stop(self) -> None:
        """Refuse the calls that wait, and those that would."""
        self.is_stopping = True
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def run(
        self,
        call: Call,
        writer: ResponseWriter,
        cancellation: Cancellation | None = None,
    ) -> None:
        """Run a call and send its response to ``writer``.

        Without a ``cancellation`` the caller is taken to stay. Raises
        ``Refusal`` if no whole response was delivered, and
        ``StreamClosedError`` if the caller has disconnected.
        """
        execution = CallExecution(
            self,
            self._context,
            call,
            writer,
            cancellation or Cancellation(),
        )
        await execution.run()

    def retry_budget(self, service: str) -> RetryBudget:
        """Return the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            bounds = self._context.bounds
            budget = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window,
                self._slack_from,
            )
            self._budgets[service] = budget
        return budget

    async def wait_for_change(self, timeout: float) -> None:
        """Wait until targets may have become usable; ``timeout`` in s."""
        await wait_for_event(self._changed, timeout)


__all__ = ['Dispatcher']
