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
from .messages import decode
from .messages import encode
from .messages import GossipMessage
from .messages import RelayedRows
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
STARTING_S = 3.0
# A beat follows the one before after this time at least, in seconds.
_LEAST_PAUSE_S = 0.04
_MAX_DATAGRAM_BYTES = 60_000


class Peer:
    """Another VM; ``last_received`` by the clock, in seconds.

    It ``has_lost_store`` while the store gives it no answers.
    """

    def __init__(self, member: Member, address: Address, now: float) -> None:
        self.member = member
        self.address = address
        self.incarnation = 0
        self.added_at = now
        self.last_received = float('-inf')
        self.suspect_until = float('-inf')
        self.unresponsive = 0
        self.has_lost_store = False


class GossipSource(Protocol):
    """Makes messages about what some VMs do."""

    def __call__(
        self, scope: Scope, recipients: list[str]
    ) -> Iterable[tuple[list[str], GossipMessage]]:
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
        self.own_member = own
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
        self.by_name: dict[str, Peer] = {}
        self.make_messages: GossipSource | None = None
        self.has_lost_store: Callable[[], bool] = lambda: False
        self.on_message: list[Callable[[GossipMessage], None]] = []
        self.on_relayed_rows: list[Callable[[RelayedRows], None]] = []
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
        if member.name == self.own_member.name:
            return
        peer = self.by_name.get(member.name)
        if peer is None or peer.address != address:
            made = Peer(member, address, self._clock.now())
            self.by_name[member.name] = made
            self._hubs = None

    def count_members(self) -> int:
        """Return the number of VMs, this one included."""
        return len(self.by_name) + 1

    def is_mesh(self) -> bool:
        """Return whether all VMs talk to all others."""
        return self.count_members() <= MESH_VMS

    def hubs(self) -> dict[str, list[str]]:
        """Return the hubs of each data centre, as far as is known."""
        now = self._clock.now()
        found = self.by_name.items()
        suspects = frozenset(n for n, p in found if p.suspect_until > now)
        blind = frozenset(n for n, p in found if p.has_lost_store)
        if self.has_lost_store():
            blind |= {self.own_member.name}
        basis = (suspects, blind)
        if self._hubs is None or basis != self._hubs_basis:
            members = [
                self.own_member,
                *(p.member for p in self.by_name.values()),
            ]
            self._hubs = pick_hubs(members, suspects, blind)
            self._hubs_basis = basis
        return self._hubs

    def is_hub(self) -> bool:
        """Return whether this VM gathers what others know."""
        return self.own_member.name in self.hubs()[self.own_member.data_centre]

    def find_hub(self) -> Peer | None:
        """Return the hub that tells this VM of the others, if one does."""
        if self.is_mesh() or self.is_hub():
            return None
        now = self._clock.now()
        for name in self.hubs()[self.own_member.data_centre]:
            if now - self.by_name[name].last_received <= _SILENT_S:
                return self.by_name[name]
        return None

    def mean_report_age(self) -> float:
        """Return how old news of other VMs is on average, in seconds."""
        if self.is_mesh():
            return _PAUSE_S / 2
        # From a VM to its hub, and from the hub to the others.
        return _CROWD_PAUSE_S

    def list_summary_senders(self) -> tuple[str, ...]:
        """Return the VMs that tell this one of others, not of themselves."""
        if self.is_mesh():
            return ()
        if not self.is_hub():
            hub = self.find_hub()
            return () if hub is None else (hub.member.name,)
        hubs = self.hubs()
        return (
            self.own_member.name,
            *(n for h in hubs.values() for n in h[:1]),
        )

    def is_counted(self, beat: GossipMessage) -> bool:
        """Return whether this VM takes loads and use from a message.

        While hubs change, several VMs may tell of the same requests.
        """
        is_near = beat.data_centre == self.own_member.data_centre
        if self.is_mesh() or (self.is_hub() and is_near):
            return beat.scope is Scope.VM
        scope = Scope.DATA_CENTRE if self.is_hub() else Scope.FLEET
        return beat.scope is scope and beat.node in self.list_summary_senders()

    def is_starting(self) -> bool:
        """Return whether this process just started."""
        return self._clock.now() - self._started < STARTING_S

    def list_responsive(self) -> list[str]:
        """Return the VMs that were heard lately."""
        now = self._clock.now()
        return [
            n
            for n, p in self.by_name.items()
            if now - p.last_received <= _SILENT_S
        ]

    def count_unresponsive(self) -> int:
        """Return the number of VMs of which nothing was heard lately."""
        if self.is_mesh():
            return len(self.by_name) - len(self.list_responsive())
        if not self.is_hub():
            hub = self.find_hub()
            return hub.unresponsive if hub is not None else len(self.by_name)
        return self._count_silent()

    def _count_silent(self) -> int:
        """Return the silent VMs here and in data centres without a hub."""
        heard = set(self.list_responsive())
        hubs = self.hubs()
        silent = 0
        for name, peer in self.by_name.items():
            near = peer.member.data_centre == self.own_member.data_centre
            speakers = [name] if near else hubs[peer.member.data_centre]
            silent += not heard.intersection(speakers)
        return silent

    def runs_single_vm_tasks(self) -> bool:
        """Return whether duties of a single VM fall to this one."""
        if not self.is_hub():
            return False
        hubs = {n for found in self.hubs().values() for n in found}
        heard = hubs.intersection(self.list_responsive())
        return all(self.own_member.name < name for name in heard)

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

    def request_send(self) -> None:
        """Tell the others soon what changed."""
        self._hurry.set()

    def announce_leaving(self) -> None:
        """Tell the others at once that this VM leaves."""
        self._speak_now()

    def _speak_now(self) -> None:
        hubs = self.hubs()
        members = [p.member for p in self.by_name.values()]
        found = pick_recipients(self.own_member, members, hubs)
        if self.is_starting():
            found = Recipients(list(self.by_name), [], [])
        self._send_all(found.vm, Scope.VM)
        self._send_all(found.data_centre, Scope.DATA_CENTRE)
        self._send_all(found.fleet, Scope.FLEET)

    def _send_all(self, recipients: list[str], scope: Scope) -> None:
        if not recipients or self.make_messages is None:
            return
        for names, beat in self.make_messages(scope, recipients):
            data = encode(beat)
            for name in names:
                self._send(name, data)

    def _send(self, name: str, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        peer = self.by_name.get(name)
        if peer is not None:
            transport.sendto(data, peer.address)

    def relay_rows(self, rows: RelayedRows) -> None:
        """Hand rows of the store to the VMs that this one is the hub of."""
        members = [p.member for p in self.by_name.values()]
        found = pick_recipients(self.own_member, members, self.hubs())
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
            peer = self.by_name[name]
            if now - max(peer.last_received, since) > _SILENT_S:
                peer.suspect_until = now + _SUSPECT_S
                self._log.write('hub_suspected', peer=name)
        for name in [n for n in self._expected if n not in expected]:
            del self._expected[name]

    def _find_expected(self) -> set[str]:
        """Return the hubs that should speak to this VM."""
        own = self.own_member
        expected = set()
        for data_centre, names in self.hubs().items():
            is_near = data_centre == own.data_centre
            if own.name in names:
                expected.update(names)
            elif is_near or self.is_hub():
                expected.update(names[:1])
        return expected - {own.name}

    def _forget_silent(self) -> None:
        now = self._clock.now()
        for node, peer in list(self.by_name.items()):
            if now - max(peer.last_received, peer.added_at) > _FORGOTTEN_S:
                self._drop(node, 'silent')

    def _drop(self, node: str, why: str) -> None:
        del self.by_name[node]
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
        if isinstance(message, RelayedRows):
            for pass_rows in self.on_relayed_rows:
                pass_rows(message)
        else:
            self._take_beat(message)

    def _take_beat(self, beat: GossipMessage) -> None:
        if beat.node == self.own_member.name:
            return
        if beat.is_leaving:
            if beat.node in self.by_name:
                self._drop(beat.node, 'leaving')
            return
        self._note_heard(beat)
        for take in self.on_message:
            take(beat)

    def _note_heard(self, beat: GossipMessage) -> None:
        member = Member(beat.node, beat.data_centre, beat.power)
        self.add(member, Address(beat.host, beat.port))
        peer = self.by_name[beat.node]
        if peer.incarnation != beat.incarnation:
            self._log.write(
                'peer_known', peer=beat.node, incarnation=beat.incarnation
            )
            peer.incarnation = beat.incarnation
            for call in self.on_restart:
                call(beat.node)
        peer.last_received = self._clock.now()
        peer.suspect_until = float('-inf')
        peer.unresponsive = beat.unresponsive
        peer.has_lost_store = beat.has_lost_store


__all__ = [
    'GossipSource',
    'Peer',
    'Peers',
    'STARTING_S',
]
