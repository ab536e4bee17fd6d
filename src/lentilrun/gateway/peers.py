"""What the VMs tell each other, a few times a second, by datagrams.

Every message states the whole of what its sender knows, so a lost one is
made good by the next, and no connection can fall silent.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..config.ini import Address

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from ..coordination.clock import Clock
    from .logs import Log

_PAUSE_S = 0.25
# With more VMs than this each speaks less often, so that what one VM gets
# does not grow with their number.
_CROWD = 10
_SILENT_S = 1.2
_FORGOTTEN_S = 60.0
# A process that just started takes what the first peers say.
_YOUNG_S = 3.0


class LoadNews(NamedTuple):
    """What the sender runs at a target; tokens, decayed outcomes.

    ``busy_for`` is the time until it is done there, in seconds.
    """

    incarnation: str
    running: int
    long_running: int
    unread: float
    held: float
    busy_for: float
    good: float
    bad: float


class LoadingNews(NamedTuple):
    """A target that loads weights, for ``left`` seconds at the most."""

    incarnation: str
    left: float


class VersionNews(NamedTuple):
    """A version of weights that a target was seen to have."""

    incarnation: str
    model: str
    version: int


class CrashNews(NamedTuple):
    """How often targets crashed under a request."""

    fingerprint: str
    crashes: int


class Beat(NamedTuple):
    """One message; tokens by workspace.

    ``told`` is what the sender let in since its start, ``used`` what it
    knows that all VMs let in during each second, newest first.
    """

    node: str
    host: str
    port: int
    incarnation: int
    is_leaving: bool
    loads: list[LoadNews]
    loading: list[LoadingNews]
    versions: list[VersionNews]
    crashes: list[CrashNews]
    told: dict[str, float]
    used: dict[str, list[int]]
    positions: dict[str, int]


class Peer:
    """Another VM; ``heard`` by the clock, in seconds."""

    def __init__(self, address: Address, now: float) -> None:
        self.address = address
        self.incarnation = 0
        self.known = now
        self.heard = float('-inf')


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Beat)


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data)


class Peers:
    """Owns the socket between VMs; knows who was heard lately."""

    def __init__(
        self, node: str, address: Address, clock: Clock, log: Log
    ) -> None:
        self._node = node
        self._address = address
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._started = clock.now()
        self.incarnation = secrets.randbits(48)
        self.known: dict[str, Peer] = {}
        self.make_beat: Callable[[], Beat] | None = None
        self.on_beat: list[Callable[[Beat], None]] = []
        self.on_restart: list[Callable[[str], None]] = []

    async def __aenter__(self) -> Peers:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Protocol(self._take),
            local_addr=(self._address.host, self._address.port),
        )
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        if self._transport is not None:
            self._transport.close()

    def add(self, node: str, address: Address) -> None:
        """Talk to a VM from now on."""
        if node == self._node:
            return
        peer = self.known.get(node)
        if peer is None or peer.address != address:
            self.known[node] = Peer(address, self._clock.now())

    def members(self) -> int:
        """Return the number of VMs, this one included."""
        return len(self.known) + 1

    def silent(self) -> int:
        """Return the number of VMs that have said nothing lately."""
        return len(self.known) - len(self.heard())

    def heard(self) -> list[str]:
        """Return the VMs that were heard lately."""
        now = self._clock.now()
        return [n for n, p in self.known.items() if now - p.heard <= _SILENT_S]

    def is_first(self, node: str) -> bool:
        """Return whether no VM before ``node`` was heard lately."""
        return all(node < name for name in self.heard())

    def is_young(self) -> bool:
        """Return whether this process just started."""
        return self._clock.now() - self._started < _YOUNG_S

    async def run(self) -> None:
        """Speak for ever."""
        while True:
            self.speak()
            self._forget_silent()
            crowd = max(1.0, len(self.known) / _CROWD)
            await asyncio.sleep(_PAUSE_S * crowd)

    def speak(self) -> None:
        """Tell all VMs what this one knows."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self.make_beat is None:
            return
        data = _encoder.encode(self.make_beat())
        for peer in self.known.values():
            transport.sendto(data, peer.address)

    def _forget_silent(self) -> None:
        now = self._clock.now()
        for node, peer in list(self.known.items()):
            if now - max(peer.heard, peer.known) > _FORGOTTEN_S:
                self._drop(node, 'silent')

    def _drop(self, node: str, why: str) -> None:
        del self.known[node]
        self._log.write('peer_gone', peer=node, why=why)
        for call in self.on_restart:
            call(node)

    def _take(self, data: bytes) -> None:
        try:
            beat = _decoder.decode(data)
        except msgspec.MsgspecError as error:
            self._log.write('peer_message_unreadable', error=error)
            return
        if beat.node == self._node:
            return
        if beat.is_leaving:
            if beat.node in self.known:
                self._drop(beat.node, 'leaving')
            return
        self.add(beat.node, Address(beat.host, beat.port))
        peer = self.known[beat.node]
        if peer.incarnation != beat.incarnation:
            self._log.write(
                'peer_known', peer=beat.node, incarnation=beat.incarnation
            )
            peer.incarnation = beat.incarnation
            for call in self.on_restart:
                call(beat.node)
        peer.heard = self._clock.now()
        for take in self.on_beat:
            take(beat)


__all__ = [
    'Beat',
    'CrashNews',
    'LoadingNews',
    'LoadNews',
    'Peers',
    'VersionNews',
]
