"""The signal that asks the daemon to read its settings again.

A process without a handler for it ends. So it stays pending from the first
line of the program on, and again once the event loop is about to end. The
program imports this module before all others, so that it needs few itself.
"""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable
    from types import TracebackType

_SIGNAL = signal.SIGHUP


def hold_reload_signal() -> None:
    """Keep the signal pending, in this thread and those it starts."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {_SIGNAL})


class ReloadSignal:
    """A context manager in which a handler is called for the signal."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, handler: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._handler = handler

    def __enter__(self) -> ReloadSignal:
        """Handle the signal, also if it came before."""
        self._loop.add_signal_handler(_SIGNAL, self._handler)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {_SIGNAL})
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        hold_reload_signal()


__all__ = ['hold_reload_signal', 'ReloadSignal']
