"""A network between daemons in one process, with faults to order."""

from __future__ import annotations

import asyncio
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from ..metrics.registry import Count
from ..metrics.registry import Metrics
from ..peers import codec

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from ..config.ini import Address
    from ..peers.codec import Envelope
    from ..peers.codec import Sender
    from .timeloop import Gate

_DELAY = 0.001
_JITTER = 0.001


class _Station(NamedTuple):
    handle: Callable[[Envelope], None]
    gate: Gate


class SimulatedNetwork:
    """Carries encoded messages; cuts, losses and delays are settable."""

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self._partitioned: set[frozenset[str]] = set()
        self._stations: dict[str, _Station] = {}

    def attach(
        self, name: str, handle: Callable[[Envelope], None], gate: Gate
    ) -> None:
        """Let a daemon take messages."""
        self._stations[name] = _Station(handle, gate)

    def detach(self, name: str) -> None:
        """Take a daemon off the network."""
        self._stations.pop(name, None)

    def partition(self, one: set[str], other: set[str]) -> None:
        """Let nothing pass between two sets of daemons."""
        for a in one:
            self._partitioned |= {frozenset((a, b)) for b in other if a != b}

    def heal(self) -> None:
        """Let everything pass again."""
        self._partitioned.clear()

    def transmit(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message after a short while, unless it is lost."""
        if frozenset((sender, receiver)) in self._partitioned:
            return
        if self.random.random() < self.loss_share:
            return
        times = 2 if self.random.random() < self.duplicate_share else 1
        loop = asyncio.get_running_loop()
        for _ in range(times):
            delay = _DELAY + self.random.random() * _JITTER
            station = self._stations.get(receiver)
            if station is not None:
                loop.call_later(delay, self._deliver, receiver, station, data)

    def _deliver(self, name: str, station: _Station, data: bytes) -> None:
        if self._stations.get(name) is not station:
            return
        if station.gate.is_paused():
            # The kernel keeps it until the process goes on.
            work = station.gate.run(self._deliver_later(name, station, data))
            task = asyncio.get_running_loop().create_task(work)
            _delivering.add(task)
            task.add_done_callback(_delivering.discard)
            return
        station.handle(codec.decode(data))

    async def _deliver_later(
        self, name: str, station: _Station, data: bytes
    ) -> None:
        self._deliver(name, station, data)


_delivering: set[asyncio.Task[None]] = set()


class SimulatedMesh:
    """Stands for ``peers.mesh.Mesh`` on a ``Network``."""

    def __init__(
        self, sender: Sender, network: SimulatedNetwork, metrics: Metrics
    ) -> None:
        self._sender = sender
        self._network = network
        self._metrics = metrics
        self._names: dict[str, Address] = {}

    def connect(self, name: str, address: Address) -> None:
        """Count a daemon as connected."""
        self._names[name] = address

    def disconnect(self, name: str) -> None:
        """Count a daemon as not connected."""
        self._names.pop(name, None)

    def names(self) -> list[str]:
        """Return the daemons that are connected to."""
        return list(self._names)

    def send(self, name: str, message: Any) -> bool:
        """Send a message to one daemon."""
        if name not in self._names:
            return False
        data = codec.encode(self._sender, message)
        self._send(name, data)
        return True

    def _send(self, name: str, data: bytes) -> None:
        self._metrics.add(Count.PEER_MESSAGES, 'sent')
        self._metrics.add(Count.PEER_BYTES, 'sent', len(data))
        self._network.transmit(self._sender.name, name, data)

    def broadcast(self, message: Any) -> None:
        """Send a message to all daemons that are connected to."""
        data = codec.encode(self._sender, message)
        for name in self._names:
            self._send(name, data)


__all__ = ['SimulatedMesh', 'SimulatedNetwork']
