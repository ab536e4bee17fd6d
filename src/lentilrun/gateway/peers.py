"""Gossip between VMs over datagrams, and detection of VMs that no longer send.

VMs send a few messages a second. Every message carries the whole state
that its sender reports, so the next one makes up for a lost one, and
there is no connection that could stall unnoticed.
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
from ..decisions.topology import pick_readers
from ..decisions.topology import pick_recipients
from .endedprocesses import EndedProcesses
from .endedprocesses import VmProcess
from .events import wait_for_event
from .greetings import Greetings
from .greetings import STARTING_S
from .messagedelays import add_delay
from .messagedelays import MessageDelays
from .messages import BadMessageError
from .messages import decode
from .messages import encode
from .messages import encode_compressed
from .messages import GossipMessage
from .messages import Message
from .messages import RelayedRows
from .messages import RowRequest
from .messages import Scope
from .unreadable import UnreadableMessages

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from types import TracebackType

    from ..coordination.clock import Clock
    from ..decisions.topology import Recipients
    from .logs import Log

_MESH_INTERVAL_S = 0.25
# In fleets of more than ``MESH_VMS``, reports are sent through hubs.
_HUB_INTERVAL_S = 0.25
# Time to send, receive and handle a message.
_HANDLING_S = 0.1
# A peer from which nothing came for this time is unresponsive.
_PEER_TIMEOUT_S = 1.4
# In a mesh, an unresponsive peer is removed after this time.
_PEER_REMOVAL_S = 60.0
# A hub that timed out is not picked as a hub for this time.
_HUB_SUSPECT_S = 8.0
# A requested message is sent at least this time after the previous one.
_MIN_INTERVAL_S = 0.04
_MAX_DATAGRAM_BYTES = 60_000


class Peer:
    """Another VM; times by the clock, in seconds.

    ``unresponsive`` is the number of VMs that are unresponsive by its own
    report. It ``has_lost_store`` while the store does not answer it, and
    ``has_lost_rows`` while it gets no rows from other VMs either. It
    ``is_cut_off`` while it reaches no target.
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
        self.has_lost_rows = False
        self.is_cut_off = False
        self.delays = MessageDelays()


class GossipSource(Protocol):
    """Makes messages that report the load and usage of some VMs."""

    def __call__(
        self, scope: Scope, recipients: list[str]
    ) -> Iterable[tuple[list[str], GossipMessage]]:
        """Yield each message with the names of its recipients."""


class _DatagramReceiver(asyncio.DatagramProtocol):
    def __init__(self, handle_datagram: Callable[[bytes, str], None]) -> None:
        self._handle_datagram = handle_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        self._handle_datagram(data, addr[0])


class Peers:
    """Owns the gossip socket; tracks which VMs respond, and the hubs."""

    def __init__(
        self, own: Member, address: Address, clock: Clock, log: Log
    ) -> None:
        self.own_member = own
        self._address = address
        self._clock = clock
        self._log = log
        self._transport: asyncio.DatagramTransport | None = None
        self._greetings = Greetings(own.data_centre, clock)
        # By hub, the time since which it should send to this VM.
        self._expected_since: dict[str, float] = {}
        self._send_requested = asyncio.Event()
        # Hubs by data centre, until the members or the suspects change.
        self._hubs: dict[str, list[str]] | None = None
        self._hubs_picked_for: frozenset[str] = frozenset()
        self.incarnation = secrets.randbits(48)
        self.unreadable = UnreadableMessages(clock, log)
        self.by_name: dict[str, Peer] = {}
        self._ended = EndedProcesses()
        self.make_messages: GossipSource | None = None
        # Whether a VM reads compressed messages.
        self.reads_compressed: Callable[[str], bool] = lambda _: False
        self.has_lost_store: Callable[[], bool] = lambda: False
        self.on_message: list[Callable[[GossipMessage], None]] = []
        self.on_relayed_rows: list[Callable[[RelayedRows], None]] = []
        self.on_row_request: list[Callable[[RowRequest], None]] = []
        # Called for a peer that is new, has restarted or was removed.
        self.on_restart: list[Callable[[str], None]] = []

    async def __aenter__(self) -> Peers:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _DatagramReceiver(self._receive_datagram),
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
        """Add a VM, or replace it if its address changed."""
        if member.name == self.own_member.name:
            return
        peer = self.by_name.get(member.name)
        if peer is None or peer.address != address:
            added = Peer(member, address, self._clock.now())
            self.by_name[member.name] = added
            self._hubs = None

    def count_members(self) -> int:
        """Return the number of VMs, this one included."""
        return len(self.by_name) + 1

    def rank(self) -> int:
        """Return this VM's place among all VMs by name, from 0."""
        own = self.own_member.name
        return sum(name < own for name in self.by_name)

    def is_mesh(self) -> bool:
        """Return whether each VM sends to all others."""
        return self.count_members() <= MESH_VMS

    def hubs(self) -> dict[str, list[str]]:
        """Return the hubs of each data centre, as this VM picks them."""
        now = self._clock.now()
        peers = self.by_name.items()
        suspects = frozenset(n for n, p in peers if p.suspect_until > now)
        if self._hubs is None or suspects != self._hubs_picked_for:
            members = [
                self.own_member,
                *(p.member for p in self.by_name.values()),
            ]
            self._hubs = pick_hubs(members, suspects)
            self._hubs_picked_for = suspects
        return self._hubs

    def _list_without_store(self) -> frozenset[str]:
        """Return the VMs that get no answers from the store."""
        names = frozenset(
            n for n, p in self.by_name.items() if p.has_lost_store
        )
        return (
            names | {self.own_member.name} if self.has_lost_store() else names
        )

    def is_hub(self) -> bool:
        """Return whether this VM collects the reports of its data centre.

        In a mesh, every VM is a hub.
        """
        return self.own_member.name in self.hubs()[self.own_member.data_centre]

    def find_hub(self) -> Peer | None:
        """Return the first responsive hub of this VM's data centre.

        Return nothing in a mesh, on a hub, and if no hub responds.
        """
        if self.is_mesh() or self.is_hub():
            return None
        now = self._clock.now()
        for name in self.hubs()[self.own_member.data_centre]:
            if now - self.by_name[name].last_received <= _PEER_TIMEOUT_S:
                return self.by_name[name]
        return None

    def mean_report_age(self) -> float:
        """Return the mean age of reports of other VMs, in seconds."""
        if self.is_mesh():
            return _MESH_INTERVAL_S / 2
        # A report waits for half an interval at the VM and at its hub.
        return _HUB_INTERVAL_S

    def report_lag(self) -> float:
        """Return the longest time that a report usually takes, in seconds.

        In a large fleet it waits at the VM, at its hub and at the hub of the
        other data centre.
        """
        if self.is_mesh():
            return _MESH_INTERVAL_S + _HANDLING_S
        return 3.0 * _HUB_INTERVAL_S + _HANDLING_S

    def list_summary_senders(self) -> tuple[str, ...]:
        """Return the VMs that send this one summaries of other VMs."""
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

    def is_counted(self, message: GossipMessage) -> bool:
        """Return whether this VM counts the loads and usage of a message.

        While hubs change, several VMs may report the same requests.
        """
        is_local = message.data_centre == self.own_member.data_centre
        if self.is_mesh() or (self.is_hub() and is_local):
            return message.scope is Scope.VM
        scope = Scope.DATA_CENTRE if self.is_hub() else Scope.FLEET
        return (
            message.scope is scope
            and message.node in self.list_summary_senders()
        )

    def is_starting(self) -> bool:
        """Return whether this process started within ``STARTING_S``."""
        return self._greetings.is_starting()

    def list_responsive(self) -> list[str]:
        """Return the VMs from which a message came within the timeout."""
        now = self._clock.now()
        return [
            n
            for n, p in self.by_name.items()
            if now - p.last_received <= _PEER_TIMEOUT_S
        ]

    def count_unresponsive(self) -> int:
        """Return the number of VMs that count as unresponsive.

        A VM that is no hub relies on its hub for this number; without a
        responsive hub, all other VMs count.
        """
        if self.is_mesh():
            return len(self.by_name) - len(self.list_responsive())
        if not self.is_hub():
            hub = self.find_hub()
            return hub.unresponsive if hub is not None else len(self.by_name)
        return self._count_unreported()

    def _count_unreported(self) -> int:
        """Return the number of VMs without a report to this hub.

        VMs of its own data centre send to it directly; those of another
        data centre are reported by the hubs there.
        """
        responsive = set(self.list_responsive())
        hubs = self.hubs()
        unreported = 0
        for name, peer in self.by_name.items():
            is_local = peer.member.data_centre == self.own_member.data_centre
            senders = [name] if is_local else hubs[peer.member.data_centre]
            unreported += not responsive.intersection(senders)
        return unreported

    def list_lease_candidates(self) -> list[str]:
        """Return the VMs that may take a lease over, in their order.

        They are the hubs, those that are preferred in their data centres
        first, without VMs that are known to be unresponsive, to get no
        answers from the store or to reach no target. Of other data centres
        only the preferred hub sends to this VM, and only if this VM is a
        hub.
        """
        unfit = self._list_unfit_hubs() | self.list_cut_off()
        ranked = [
            (rank, name)
            for names in self.hubs().values()
            for rank, name in enumerate(names)
        ]
        if self.is_mesh():
            ranked = [(0, name) for _, name in ranked]
        return [name for _, name in sorted(ranked) if name not in unfit]

    def is_first_candidate(self) -> bool:
        """Return whether this VM is the first that may take a lease over."""
        return self.list_lease_candidates()[:1] == [self.own_member.name]

    def list_readers(self) -> list[str]:
        """Return the hubs that read the store for the fleet, in order."""
        return pick_readers(self.hubs(), self._list_unfit_hubs())

    def _list_unfit_hubs(self) -> set[str]:
        """Return the VMs that are silent or get no answers from the store."""
        return self.list_silent() | self._list_without_store()

    def list_silent(self) -> set[str]:
        """Return the VMs that should send to this one, and do not.

        In a larger fleet they are hubs.
        """
        expected = (
            set(self.by_name) if self.is_mesh() else self._list_expected_hubs()
        )
        return expected.difference(self.list_responsive())

    def list_cut_off(self) -> set[str]:
        """Return the other VMs that report that they reach no target."""
        return {n for n, p in self.by_name.items() if p.is_cut_off}

    async def run(self) -> None:
        """Send messages until cancelled."""
        while True:
            self._detect_failures()
            self._send_now()
            interval = _MESH_INTERVAL_S if self.is_mesh() else _HUB_INTERVAL_S
            if await wait_for_event(self._send_requested, interval):
                self._send_requested.clear()
                await asyncio.sleep(_MIN_INTERVAL_S)

    def request_send(self) -> None:
        """Have a message sent soon, as what it reports has changed."""
        self._send_requested.set()

    def announce_leaving(self) -> None:
        """Send a message now; the message source marks it as leaving."""
        self._send_now()

    def _send_now(self) -> None:
        recipients = self._pick_recipients()
        if self.is_starting():
            self._greetings.record(recipients.vm)
        self._send_messages(recipients.vm, Scope.VM)
        self._send_messages(recipients.data_centre, Scope.DATA_CENTRE)
        self._send_messages(recipients.fleet, Scope.FLEET)

    def _pick_recipients(self) -> Recipients:
        members = [p.member for p in self.by_name.values()]
        recipients = pick_recipients(self.own_member, members, self.hubs())
        if self.is_starting():
            # Hubs send sums besides: all VMs may be starting.
            recipients = recipients._replace(vm=self._list_to_greet())
        return recipients

    def _list_to_greet(self) -> list[str]:
        """Return the VMs that a starting process sends its message to now."""
        if self.is_mesh():
            return list(self.by_name)
        hubs = {n for names in self.hubs().values() for n in names}
        members = [p.member for p in self.by_name.values()]
        return self._greetings.list_due(members, hubs)

    def list_recipients(self) -> list[str]:
        """Return the VMs that this one sends gossip messages to."""
        recipients = self._pick_recipients()
        return sorted(
            {*recipients.vm, *recipients.data_centre, *recipients.fleet}
        )

    def _send_messages(self, recipients: list[str], scope: Scope) -> None:
        if not recipients or self.make_messages is None:
            return
        for names, message in self.make_messages(scope, recipients):
            data = encode(message)
            compressed = None
            for name in names:
                if not self._saves_bytes(name):
                    self._send_datagram(name, data)
                    continue
                if compressed is None:
                    compressed = encode_compressed(message)
                self._send_datagram(name, compressed)

    def _saves_bytes(self, name: str) -> bool:
        """Return whether messages to a VM are compressed.

        Bytes between data centres are charged, others are not. In a mesh
        each VM would have to decompress the messages of all others.
        """
        if self.is_mesh() or not self.reads_compressed(name):
            return False
        peer = self.by_name.get(name)
        own = self.own_member.data_centre
        return peer is not None and peer.member.data_centre != own

    def _send_datagram(self, name: str, data: bytes) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        peer = self.by_name.get(name)
        if peer is not None:
            transport.sendto(data, peer.address)

    def list_spokes(self) -> list[str]:
        """Return the VMs that get the reports on the fleet from this hub."""
        members = [p.member for p in self.by_name.values()]
        return pick_recipients(self.own_member, members, self.hubs()).fleet

    def send(self, names: Iterable[str], message: Message) -> None:
        """Send a message to some VMs, unless it exceeds a datagram."""
        data = encode(message)
        if len(data) > _MAX_DATAGRAM_BYTES:
            self._log.write('peer_message_too_long', bytes=len(data))
            return
        for name in names:
            self._send_datagram(name, data)

    def _detect_failures(self) -> None:
        """Suspect hubs that timed out; in a mesh, remove unresponsive VMs."""
        if self.is_mesh():
            self._remove_unresponsive()
            return
        now = self._clock.now()
        expected = self._list_expected_hubs()
        for name in expected:
            since = self._expected_since.setdefault(name, now)
            peer = self.by_name[name]
            if now - max(peer.last_received, since) > _PEER_TIMEOUT_S:
                peer.suspect_until = now + _HUB_SUSPECT_S
                self._log.write('hub_suspected', peer=name)
        for name in [n for n in self._expected_since if n not in expected]:
            del self._expected_since[name]

    def _list_expected_hubs(self) -> set[str]:
        """Return the names of the hubs that should send to this VM."""
        own = self.own_member
        expected = set()
        for data_centre, names in self.hubs().items():
            is_local = data_centre == own.data_centre
            if own.name in names:
                expected.update(names)
            elif is_local or self.is_hub():
                expected.update(names[:1])
        return expected - {own.name}

    def _remove_unresponsive(self) -> None:
        now = self._clock.now()
        for name, peer in list(self.by_name.items()):
            if now - max(peer.last_received, peer.added_at) > _PEER_REMOVAL_S:
                self._remove(name, 'silent')

    def _remove(self, name: str, why: str) -> None:
        del self.by_name[name]
        self._hubs = None
        self._log.write('peer_gone', peer=name, why=why)
        for callback in self.on_restart:
            callback(name)

    def _receive_datagram(self, data: bytes, sender: str = '') -> None:
        try:
            message = decode(data)
        except BadMessageError as error:
            self.unreadable.record(sender, error)
            return
        try:
            self._apply(message)
        except Exception as error:
            self._log.write(
                'peer_message_failed', peer=message.node, error=repr(error)
            )

    def _apply(self, message: Message) -> None:
        if isinstance(message, RelayedRows):
            for callback in self.on_relayed_rows:
                callback(message)
        elif isinstance(message, RowRequest):
            for handle_request in self.on_row_request:
                handle_request(message)
        else:
            self._receive_message(message)

    def _receive_message(self, message: GossipMessage) -> None:
        if message.node == self.own_member.name:
            return
        process = VmProcess(message.node, message.incarnation)
        if process in self._ended:
            return
        if message.is_leaving:
            self._ended.add(process)
            if message.node in self.by_name:
                self._remove(message.node, 'leaving')
            return
        delay = self._record_received(message)
        if delay is None:
            return
        if delay > 0.0:
            message = add_delay(message, delay)
        for callback in self.on_message:
            callback(message)

    def _record_received(self, message: GossipMessage) -> float | None:
        """Record the sender's state; return the delay of its message, in s.

        Return nothing if a newer one of its process has arrived before.
        """
        peer = self._find_sender(message)
        now = self._clock.now()
        sent_at = message.find_sent_at()
        delay: float | None = 0.0
        if sent_at is not None:
            delay = peer.delays.record(sent_at, now)
        if delay is None:
            return None
        peer.last_received = now
        peer.suspect_until = float('-inf')
        peer.unresponsive = message.unresponsive
        peer.has_lost_store = message.has_lost_store
        peer.has_lost_rows = message.has_lost_rows
        peer.is_cut_off = message.is_cut_off
        return delay

    def _find_sender(self, message: GossipMessage) -> Peer:
        """Return the sender, after a restart as that of a new process."""
        member = Member(message.node, message.data_centre, message.power)
        self.add(member, Address(message.host, message.port))
        peer = self.by_name[message.node]
        if peer.incarnation == message.incarnation:
            return peer
        self._log.write(
            'peer_known', peer=message.node, incarnation=message.incarnation
        )
        if peer.incarnation:
            self._ended.add(VmProcess(message.node, peer.incarnation))
        peer.incarnation = message.incarnation
        peer.delays = MessageDelays()
        for callback in self.on_restart:
            callback(message.node)
        return peer


__all__ = [
    'GossipSource',
    'Peer',
    'Peers',
    'STARTING_S',
]
