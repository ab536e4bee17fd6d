"""The ceilings of the workspaces' use, as VMs tell each other.

They are sent as a relayed row of a table that is not in the store, as builds
that don't know it ignore it.
"""

from __future__ import annotations

from typing import Annotated
from typing import TYPE_CHECKING

import msgspec

from ..records import KeyedRecord
from .builds import STATEMENT_TABLE
from .messages import Age
from .messages import RelayedRow
from .messages import RelayedRows
from .peers import STARTING_S

if TYPE_CHECKING:
    from .logs import Log
    from .peers import Peers
    from .quotas import Quotas

_KEY = 'ceilings'
Tokens = Annotated[float, msgspec.Meta(ge=0.0, le=1e18)]


class CeilingStatement(KeyedRecord, frozen=True):
    """The ceilings in force and those in the store, by workspace.

    A ceiling that falls is in force before it is stored. ``uptime`` is the
    time since the start of the process that sends them, in seconds.
    """

    in_force: dict[str, Tokens]
    stored: dict[str, Tokens]
    uptime: Age = 0.0


_decoder = msgspec.json.Decoder(CeilingStatement)


class Ceilings:
    """Keeps the newest ceilings, and tells other VMs of them.

    ``version`` is that of their row in the store, 0 if there is none.
    ``older`` are the VMs that ran well before this process started, so that
    they know what was admitted before.
    """

    def __init__(self, peers: Peers, quotas: Quotas, log: Log) -> None:
        self._peers = peers
        self._quotas = quotas
        self._log = log
        self.version = 0
        self.statement = CeilingStatement({}, {})
        self.older: set[str] = set()
        peers.on_relayed_rows.append(self.receive)
        peers.on_restart.append(self._greet)

    def apply(self, version: int, statement: CeilingStatement) -> bool:
        """Apply ceilings; return whether they are newer than the known."""
        if version <= self.version:
            return False
        self.version = version
        self.statement = statement
        self._quotas.apply_ceilings(statement.in_force)
        return True

    def announce(self) -> None:
        """Send the ceilings to all hubs, and to the VMs of this hub."""
        hubs = {n for h in self._peers.hubs().values() for n in h}
        self._send({*hubs, *self._peers.list_recipients()})

    def _greet(self, name: str) -> None:
        """Send the ceilings to a VM that has started."""
        self.older.discard(name)
        self._send({name})

    def _send(self, names: set[str]) -> None:
        names.discard(self._peers.own_member.name)
        statement = msgspec.structs.replace(
            self.statement, uptime=self._peers.uptime()
        )
        value = msgspec.json.encode(statement)
        row = RelayedRow(_KEY, value, self.version, False)
        own = self._peers.own_member.name
        message = RelayedRows(own, STATEMENT_TABLE, 0, 0, [row])
        self._peers.send(names, message)

    def receive(self, relayed: RelayedRows) -> None:
        """Apply the ceilings of another VM; pass them on as a hub."""
        if relayed.table != STATEMENT_TABLE:
            return
        for row in relayed.rows:
            if row.key != _KEY:
                continue
            try:
                statement = _decoder.decode(row.value)
            except (
                msgspec.MsgspecError,
                ValueError,
                RecursionError,
            ) as error:
                self._log.write(
                    'ceilings_unreadable', peer=relayed.node, error=error
                )
                continue
            if statement.uptime > self._peers.uptime() + STARTING_S:
                self.older.add(relayed.node)
            if self.apply(row.row_version, statement):
                self._send(set(self._peers.list_spokes()))


__all__ = ['CeilingStatement', 'Ceilings', 'Tokens']
