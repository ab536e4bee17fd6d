"""What the VMs tell each other, a few times a second, by datagrams.

Every message states the whole of what its sender knows, so a lost one is
made good by the next, and no connection can fall silent.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import Protocol
from typing import TYPE_CHECKING

from ..config.ini import Address
from ..decisions.topology import Member
from ..decisions.topology import MESH_VMS
from ..decisions.topology import pick_hubs
from ..decisions.topology import pick_recipients
from ..decisions.topology import Recipients
from .messages import BadMessageError
from .messages import Beat
from .messages import decode
from .messages import encode
from .messages import RowsNews
from .messages import Scope

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import TracebackType

    from ..coordination.clock import Clock
    from .logs import Log

_PAUSE_S = 0.25
# In a larger fleet news goes over hubs.
_CROWD_PAUSE_S = 0.25
_SILENT_S = 1.4
_FORGOTTEN_S = 60.0
# A hub that fell silent is passed over for so long.
_SUSPECT_S = 8.0
# A process that just started takes what the first peers say, and speaks
# to all, so that they know.
YOUNG_S = 3.0
# A beat follows the one before after this time at least, in seconds.
_LEAST_PAUSE_S = 0.04
_MAX_DATAGRAM_BYTES = 60_000


class Peer:
    """Another VM; ``heard`` by the clock, in seconds.

    It ``is_blind`` while the store gives it no answers.
    """

    def __init__(self, member: Member, address: Address, now: float) -> None:
        self.member = member
        self.address = address
        self.incarnation = 0
        self.known = now
        self.heard = float('-inf')
        self.suspect_until = float('-inf')
        self.silent = 0
        self.is_blind = False


class BeatMaker(Protocol):
    """Makes messages about what some VMs do."""

    def __call__(
        self, scope: Scope, recipients: list[str]
    ) -> Iterable[tuple[list[str], Beat]]:
        """Yield each message with those who get it."""


class _Protocol(asyncio.DatagramProtocol):
    def __init__(self, take: Callable[[bytes], None]) -> None:
        self._take = take

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._take(data)


class Peers:
    """Owns the socket between VMs; knows who was heard lately."""

    def __init__(
        self, own: Member, address: Address, clock: Clock, log: Log
    ) -> None:
        self.own = own
        self._address = address
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._started = clock.now()
        self._expected: dict[str, float] = {}
        self._hurry = asyncio.Event()
        # The hubs, until members, suspects or blind VMs change.
        self._hubs: dict[str, list[str]] | None = None
        self._hubs_basis: tuple[frozenset[str], frozenset[str]] | None = None
        self.incarnation = secrets.randbits(48)
        self.known: dict[str, Peer] = {}
        self.make_beats: BeatMaker | None = None
        self.is_blind: Callable[[], bool] = lambda: False
        self.on_beat: list[Callable[[Beat], None]] = []
        self.on_rows: list[Callable[[RowsNews], None]] = []
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

    def add(self, member: Member, address: Address) -> None:
        """Talk to a VM from now on."""
        if member.name == self.own.name:
            return
        peer = self.known.get(member.name)
        if peer is None or peer.address != address:
            made = Peer(member, address, self._clock.now())
            self.known[member.name] = made
            self._hubs = None

    def members(self) -> int:
        """Return the number of VMs, this one included."""
        return len(self.known) + 1

    def is_mesh(self) -> bool:
        """Return whether all VMs talk to all others."""
        return self.members() <= MESH_VMS

    def find_hubs(self) -> dict[str, list[str]]:
        """Return the hubs of each data centre, as far as is known."""
        now = self._clock.now()
        found = self.known.items()
        suspects = frozenset(n for n, p in found if p.suspect_until > now)
        blind = frozenset(n for n, p in found if p.is_blind)
        if self.is_blind():
            blind |= {self.own.name}
        basis = (suspects, blind)
        if self._hubs is None or basis != self._hubs_basis:
            members = [self.own, *(p.member for p in self.known.values())]
            self._hubs = pick_hubs(members, suspects, blind)
            self._hubs_basis = basis
        return self._hubs

    def is_hub(self) -> bool:
        """Return whether this VM gathers what others know."""
        return self.own.name in self.find_hubs()[self.own.data_centre]

    def find_hub(self) -> Peer | None:
        """Return the hub that tells this VM of the others, if one does."""
        if self.is_mesh() or self.is_hub():
            return None
        now = self._clock.now()
        for name in self.find_hubs()[self.own.data_centre]:
            if now - self.known[name].heard <= _SILENT_S:
                return self.known[name]
        return None

    def news_age(self) -> float:
        """Return how old news of other VMs is on average, in seconds."""
        if self.is_mesh():
            return _PAUSE_S / 2
        # From a VM to its hub, and from the hub to the others.
        return _CROWD_PAUSE_S

    def list_speakers(self) -> tuple[str, ...]:
        """Return the VMs that tell this one of others, not of themselves."""
        if self.is_mesh():
            return ()
        if not self.is_hub():
            hub = self.find_hub()
            return () if hub is None else (hub.member.name,)
        hubs = self.find_hubs()
        return (self.own.name, *(n for h in hubs.values() for n in h[:1]))

    def counts(self, beat: Beat) -> bool:
        """Return whether this VM takes loads and use from a message.

        While hubs change, several VMs may tell of the same requests.
        """
        is_near = beat.data_centre == self.own.data_centre
        if self.is_mesh() or (self.is_hub() and is_near):
            return beat.scope is Scope.OWN
        scope = Scope.GROUP if self.is_hub() else Scope.REST
        return beat.scope is scope and beat.node in self.list_speakers()

    def is_young(self) -> bool:
        """Return whether this process just started."""
        return self._clock.now() - self._started < YOUNG_S

    def heard(self) -> list[str]:
        """Return the VMs that were heard lately."""
        now = self._clock.now()
        return [n for n, p in self.known.items() if now - p.heard <= _SILENT_S]

    def silent(self) -> int:
        """Return the number of VMs of which nothing was heard lately."""
        if self.is_mesh():
            return len(self.known) - len(self.heard())
        if not self.is_hub():
            hub = self.find_hub()
            return hub.silent if hub is not None else len(self.known)
        return self._count_silent()

    def _count_silent(self) -> int:
        """Return the silent VMs here and in data centres without a hub."""
        heard = set(self.heard())
        hubs = self.find_hubs()
        silent = 0
        for name, peer in self.known.items():
            near = peer.member.data_centre == self.own.data_centre
            speakers = [name] if near else hubs[peer.member.data_centre]
            silent += not heard.intersection(speakers)
        return silent

    def is_first(self) -> bool:
        """Return whether duties of a single VM fall to this one."""
        if not self.is_hub():
            return False
        hubs = {n for found in self.find_hubs().values() for n in found}
        heard = hubs.intersection(self.heard())
        return all(self.own.name < name for name in heard)

    async def run(self) -> None:
        """Speak for ever."""
        while True:
            self._suspect_silent()
            self._speak_now()
            pause = _PAUSE_S if self.is_mesh() else _CROWD_PAUSE_S
            try:
                async with asyncio.timeout(pause):
                    await self._hurry.wait()
            except TimeoutError:
                continue
            self._hurry.clear()
            await asyncio.sleep(_LEAST_PAUSE_S)

    def speak(self) -> None:
        """Tell the others soon what changed."""
        self._hurry.set()

    def say_goodbye(self) -> None:
        """Tell the others at once that this VM leaves."""
        self._speak_now()

    def _speak_now(self) -> None:
        hubs = self.find_hubs()
        members = [p.member for p in self.known.values()]
        found = pick_recipients(self.own, members, hubs)
        if self.is_young():
            found = Recipients(list(self.known), [], [])
        self._send_all(found.vm, Scope.OWN)
        self._send_all(found.data_centre, Scope.GROUP)
        self._send_all(found.fleet, Scope.REST)

    def _send_all(self, recipients: list[str], scope: Scope) -> None:
        if not recipients or self.make_beats is None:
            return
        for names, beat in self.make_beats(scope, recipients):
            data = encode(beat)
            for name in names:
                self._send(name, data)

    def _send(self, name: str, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        peer = self.known.get(name)
        if peer is not None:
            transport.sendto(data, peer.address)

    def pass_on(self, rows: RowsNews) -> None:
        """Hand rows of the store to the VMs that this one is the hub of."""
        members = [p.member for p in self.known.values()]
        found = pick_recipients(self.own, members, self.find_hubs())
        if not found.fleet:
            return
        data = encode(rows)
        if len(data) > _MAX_DATAGRAM_BYTES:
            return
        for name in found.fleet:
            self._send(name, data)

    def _suspect_silent(self) -> None:
        """Pass over hubs that fell silent, and forget who is long gone."""
        if self.is_mesh():
            self._forget_silent()
            return
        now = self._clock.now()
        expected = self._find_expected()
        for name in expected:
            since = self._expected.setdefault(name, now)
            peer = self.known[name]
            if now - max(peer.heard, since) > _SILENT_S:
                peer.suspect_until = now + _SUSPECT_S
                self._log.write('hub_suspected', peer=name)
        for name in [n for n in self._expected if n not in expected]:
            del self._expected[name]

    def _find_expected(self) -> set[str]:
        """Return the hubs that should speak to this VM."""
        own = self.own
        expected = set()
        for data_centre, names in self.find_hubs().items():
            is_near = data_centre == own.data_centre
            if own.name in names:
                expected.update(names)
            elif is_near or self.is_hub():
                expected.update(names[:1])
        return expected - {own.name}

    def _forget_silent(self) -> None:
        now = self._clock.now()
        for node, peer in list(self.known.items()):
            if now - max(peer.heard, peer.known) > _FORGOTTEN_S:
                self._drop(node, 'silent')

    def _drop(self, node: str, why: str) -> None:
        del self.known[node]
        self._hubs = None
        self._log.write('peer_gone', peer=node, why=why)
        for call in self.on_restart:
            call(node)

    def _take(self, data: bytes) -> None:
        try:
            message = decode(data)
        except BadMessageError as error:
            self._log.write('peer_message_unreadable', error=error)
            return
        if isinstance(message, RowsNews):
            for pass_rows in self.on_rows:
                pass_rows(message)
        else:
            self._take_beat(message)

    def _take_beat(self, beat: Beat) -> None:
        if beat.node == self.own.name:
            return
        if beat.is_leaving:
            if beat.node in self.known:
                self._drop(beat.node, 'leaving')
            return
        self._note_heard(beat)
        for take in self.on_beat:
            take(beat)

    def _note_heard(self, beat: Beat) -> None:
        member = Member(beat.node, beat.data_centre, beat.power)
        self.add(member, Address(beat.host, beat.port))
        peer = self.known[beat.node]
        if peer.incarnation != beat.incarnation:
            self._log.write(
                'peer_known', peer=beat.node, incarnation=beat.incarnation
            )
            peer.incarnation = beat.incarnation
            for call in self.on_restart:
                call(beat.node)
        peer.heard = self._clock.now()
        peer.suspect_until = float('-inf')
        peer.silent = beat.silent
        peer.is_blind = beat.is_blind


__all__ = [
    'BeatMaker',
    'Peer',
    'Peers',
    'YOUNG_S',
]
