"""Runs requests on a stand-in engine and publishes its cache events."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

import msgspec
import zmq

if TYPE_CHECKING:
    from collections.abc import Callable

    from .engine import Engine


class Publisher:
    """Publishes cache events with consecutive sequence numbers."""

    def __init__(self, engine: Engine, address: str | None) -> None:
        self._engine = engine
        self._sequence = 0
        self._socket: zmq.Socket[bytes] | None = None
        if address:
            self._socket = zmq.Context.instance().socket(zmq.PUB)
            self._socket.bind(f'tcp://{address}')

    def publish(self, stored: list[int], removed: list[int]) -> None:
        """Publish one event."""
        self._sequence += 1
        event = (
            self._sequence,
            self._engine.incarnation,
            self._engine.version,
            stored,
            removed,
        )
        if self._socket is not None:
            self._socket.send(msgspec.msgpack.encode(event), zmq.NOBLOCK)


class EngineExecutor:
    """Runs requests on an engine, with a limit on concurrency."""

    def __init__(
        self, engine: Engine, publisher: Publisher, crash: Callable[[], None]
    ) -> None:
        self.engine = engine
        self.publisher = publisher
        self.crash = crash
        self.random = random.Random(engine.settings.name)
        self._slots = asyncio.Semaphore(engine.settings.slots)
        self._resumed = asyncio.Event()
        self._resumed.set()

    def pause(self) -> None:
        """Suspend all requests."""
        self._resumed.clear()

    def resume(self) -> None:
        """Resume all requests."""
        self._resumed.set()

    async def acquire_slot(self) -> None:
        """Wait for a slot."""
        self.engine.waiting += 1
        try:
            await self._slots.acquire()
        finally:
            self.engine.waiting -= 1
        self.engine.running += 1

    def release_slot(self) -> None:
        """Release the slot."""
        self.engine.running -= 1
        self._slots.release()

    async def simulate_work(self, seconds: float, path: str) -> None:
        """Wait for a processing time, scaled by the version's slowdown."""
        bad_version = self.engine.find_bad_version(path)
        slowdown = bad_version.slowdown if bad_version is not None else 1.0
        if seconds:
            await asyncio.sleep(seconds * slowdown)
        await self._resumed.wait()

    def should_fail(self, path: str) -> bool:
        """Draw whether a request fails because of a bad version."""
        bad_version = self.engine.find_bad_version(path)
        return (
            bad_version is not None
            and self.random.random() < bad_version.failure_share
        )


__all__ = ['EngineExecutor', 'Publisher']
