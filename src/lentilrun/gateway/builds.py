"""The builds that the VMs of the fleet run, as they state them.

A statement is sent as a relayed row of a table that is not in the store:
builds that don't know the table ignore it and keep all other messages.
"""

from __future__ import annotations

import asyncio
import collections
from typing import TYPE_CHECKING

import msgspec

from .build import BuildStatement
from .messages import RelayedRow
from .messages import RelayedRows

if TYPE_CHECKING:
    from collections.abc import Mapping

    from .logs import Log
    from .peers import Peers

STATEMENT_TABLE = 'statement'
_KEY = 'build'
_STATEMENT_INTERVAL_S = 5.0
# The label of VMs that state no build.
UNSTATED = 'unstated'
_MAX_NAME_LENGTH = 64
# VMs that speak this version of gossip messages read compressed ones.
_COMPRESSED_GOSSIP = 2

_decoder = msgspec.json.Decoder(BuildStatement)


class Builds:
    """States this VM's build to others, and keeps what they state."""

    def __init__(self, own: BuildStatement, peers: Peers, log: Log) -> None:
        self._own = own
        self._peers = peers
        self._log = log
        self._message = make_statement(peers.own_member.name, own)
        self.by_peer: dict[str, BuildStatement] = {}
        peers.on_relayed_rows.append(self.receive)
        peers.on_restart.append(self._greet)
        peers.reads_compressed = self.reads_compressed

    async def run(self) -> None:
        """State this VM's build until cancelled."""
        while True:
            self._peers.send(self._peers.list_recipients(), self._message)
            await asyncio.sleep(_STATEMENT_INTERVAL_S)

    def receive(self, relayed: RelayedRows) -> None:
        """Keep what a known VM states of its build."""
        if relayed.table != STATEMENT_TABLE:
            return
        if relayed.node not in self._peers.by_name:
            return
        for row in relayed.rows:
            if row.key == _KEY:
                self._record(relayed.node, row.value)

    def _record(self, name: str, value: bytes) -> None:
        try:
            statement = _decoder.decode(value)
        except (msgspec.MsgspecError, ValueError, RecursionError) as error:
            self._log.write('peer_build_unreadable', peer=name, error=error)
            return
        if self.by_peer.get(name) == statement:
            return
        self.by_peer[name] = statement
        self._log.write(
            'peer_build',
            peer=name,
            build=statement.build[:_MAX_NAME_LENGTH],
            same=statement.build == self._own.build,
        )

    def _greet(self, name: str) -> None:
        """State the build to a VM that has started, and forget its own."""
        self.by_peer.pop(name, None)
        self._peers.send([name], self._message)

    def reads_compressed(self, name: str) -> bool:
        """Return whether a VM states that it reads compressed gossip."""
        statement = self.by_peer.get(name)
        if statement is None:
            return False
        return statement.formats.get('gossip', 1) >= _COMPRESSED_GOSSIP

    def count_by_build(self) -> Mapping[str, float]:
        """Return the VMs by build: this one, and those that send to it."""
        counts: collections.Counter[str] = collections.Counter()
        counts[self._own.build] += 1
        for name in self._peers.list_responsive():
            statement = self.by_peer.get(name)
            build = statement.build if statement is not None else ''
            counts[build[:_MAX_NAME_LENGTH] or UNSTATED] += 1
        return {build: float(count) for build, count in counts.items()}


def make_statement(node: str, statement: BuildStatement) -> RelayedRows:
    """Return the message in which a VM states its build."""
    value = msgspec.json.encode(statement)
    row = RelayedRow(_KEY, value, 0, False)
    return RelayedRows(node, STATEMENT_TABLE, 0, 0, [row])


__all__ = ['Builds', 'make_statement', 'STATEMENT_TABLE', 'UNSTATED']
