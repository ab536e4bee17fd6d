"""A simulated network between daemons, with injectable faults."""

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

_MIN_DELAY_S = 0.001
_JITTER_S = 0.001


class _Endpoint(NamedTuple):
    handle: Callable[[Envelope], None]
    gate: Gate


class SimulatedNetwork:
    """Delivers encoded messages with a random delay.

    ``loss_share`` and ``duplicate_share`` are the shares of messages
    that are lost and delivered twice.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.loss_share = 0.0
        self.duplicate_share = 0.0
        self._partitioned: set[frozenset[str]] = set()
        self._endpoints: dict[str, _Endpoint] = {}

    def attach(
        self, name: str, handle: Callable[[Envelope], None], gate: Gate
    ) -> None:
        """Connect a daemon; ``gate`` holds messages while it is paused."""
        self._endpoints[name] = _Endpoint(handle, gate)

    def detach(self, name: str) -> None:
        """Disconnect a daemon."""
        self._endpoints.pop(name, None)

    def partition(self, group: set[str], other_group: set[str]) -> None:
        """Drop all messages between two sets of daemons."""
        for a in group:
            self._partitioned |= {
                frozenset((a, b)) for b in other_group if a != b
            }

    def heal(self) -> None:
        """Remove all partitions."""
        self._partitioned.clear()

    def transmit(self, sender: str, receiver: str, data: bytes) -> None:
        """Deliver a message after a delay, unless it is lost."""
        if frozenset((sender, receiver)) in self._partitioned:
            return
        if self.random.random() < self.loss_share:
            return
        copies = 2 if self.random.random() < self.duplicate_share else 1
        loop = asyncio.get_running_loop()
        for _ in range(copies):
            delay = _MIN_DELAY_S + self.random.random() * _JITTER_S
            endpoint = self._endpoints.get(receiver)
            if endpoint is not None:
                loop.call_later(delay, self._deliver, receiver, endpoint, data)

    def _deliver(self, name: str, endpoint: _Endpoint, data: bytes) -> None:
        if self._endpoints.get(name) is not endpoint:
            return
        if endpoint.gate.is_paused():
            # The kernel buffers it until the process resumes.
            work = endpoint.gate.run(self._deliver_later(name, endpoint, data))
            task = asyncio.get_running_loop().create_task(work)
            _pending_deliveries.add(task)
            task.add_done_callback(_pending_deliveries.discard)
            return
        endpoint.handle(codec.decode(data))

    async def _deliver_later(
        self, name: str, endpoint: _Endpoint, data: bytes
    ) -> None:
        self._deliver(name, endpoint, data)


_pending_deliveries: set[asyncio.Task[None]] = set()


class SimulatedMesh:
    """Replaces ``peers.mesh.Mesh`` on a ``SimulatedNetwork``."""

    def __init__(
        self, sender: Sender, network: SimulatedNetwork, metrics: Metrics
    ) -> None:
        self._sender = sender
        self._network = network
        self._metrics = metrics
        self._addresses: dict[str, Address] = {}

    def connect(self, name: str, address: Address) -> None:
        """Add a daemon to the connected ones."""
        self._addresses[name] = address

    def disconnect(self, name: str) -> None:
        """Remove a daemon from the connected ones."""
        self._addresses.pop(name, None)

    def list_peers(self) -> list[str]:
        """Return the names of the connected daemons."""
        return list(self._addresses)

    def send(self, name: str, message: Any) -> bool:
        """Send a message; return whether the daemon is connected."""
        if name not in self._addresses:
            return False
        data = codec.encode(self._sender, message)
        self._send(name, data)
        return True

    def _send(self, name: str, data: bytes) -> None:
        self._metrics.add(Count.PEER_MESSAGES, 'sent')
        self._metrics.add(Count.PEER_BYTES, 'sent', len(data))
        self._network.transmit(self._sender.name, name, data)

    def broadcast(self, message: Any) -> None:
        """Send a message to all connected daemons."""
        data = codec.encode(self._sender, message)
        for name in self._addresses:
            self._send(name, data)


__all__ = ['SimulatedMesh', 'SimulatedNetwork']
