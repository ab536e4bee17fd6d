"""State of the fleet as one daemon holds it, shared by its components."""

from __future__ import annotations

import asyncio
import secrets
from typing import NamedTuple
from typing import TYPE_CHECKING
import zlib

from absl import logging
import msgspec

from ..config.configuration import EMPTY
from ..config import declaration
from ..config.incremental import parse_incrementally
from ..config.incremental import SectionCache
from ..coordination.freshness import Freshness
from ..coordination.heartbeat import HeartbeatTracker
from ..coordination import membership
from ..coordination.membership import Member
from ..coordination.membership import Roster
from ..coordination.shares import BucketShares
from ..coordination.shares import RateLimit
from ..coordination.survey import SurveyRespondent
from ..coordination.topics import Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..config.configuration import Configuration
    from ..config.settings import Settings
    from ..coordination.clock import Clock
    from ..coordination.table import Table
    from ..coordination.topics import TopicValue

CONFIGURATION_TOPIC = 'configuration'
MEMBERS_TOPIC = 'members'
_CATCH_UP_TIMEOUT_S = 0.5
_CATCH_UP_POLL_S = 0.01
_MAX_TEXT_BYTES = 32 * 1024 * 1024


class UncommittedConfiguration(NamedTuple):
    """A configuration that may have been committed."""

    generation: int
    configuration: Configuration


def pack_text(text: str) -> bytes:
    """Return a configuration's text as compressed bytes for its topic."""
    return zlib.compress(text.encode())


def unpack_text(body: bytes) -> str:
    """Return the text of compressed bytes, cut at ``_MAX_TEXT_BYTES``."""
    return zlib.decompressobj().decompress(body, _MAX_TEXT_BYTES).decode()


class FleetState:
    """The agreed values, the peers' heartbeats and the bucket shares."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        table: Table,
        incarnation: str = '',
    ) -> None:
        self.settings = settings
        self.name = settings.name
        self.incarnation = incarnation or secrets.token_hex(8)
        self.clock = clock
        self.heartbeats = HeartbeatTracker(clock)
        self.freshness = Freshness(clock, settings.name)
        self.shares = BucketShares(clock)
        self.respondent = SurveyRespondent(self.shares)
        self.section_cache = SectionCache()
        self.configuration: Configuration = EMPTY
        self.roster = Roster(())
        self.member_removed_at = float('-inf')
        self.configuration_adopted_at = clock.now()
        self.leaving = False
        self.was_fresh = False
        self.configuration_callbacks: list[
            Callable[[Configuration], None]
        ] = []
        self.roster_callbacks: list[Callable[[Roster], None]] = []
        self._uncommitted: tuple[UncommittedConfiguration, ...] = ()
        self._uncommitted_operations: frozenset[str] = frozenset()
        self.topics = {
            CONFIGURATION_TOPIC: Topic(
                CONFIGURATION_TOPIC, table, clock, self._adopt_configuration
            ),
            MEMBERS_TOPIC: Topic(
                MEMBERS_TOPIC, table, clock, self._adopt_members
            ),
        }

    def make_member(self) -> Member:
        """Return this daemon's entry for the roster."""
        settings = self.settings
        address = str(settings.listen.peers)
        return Member(self.name, address, settings.data_centre)

    def configuration_generation(self) -> int:
        """Return the generation of the configuration in force."""
        return self.topics[CONFIGURATION_TOPIC].value.generation

    def is_fresh(self) -> bool:
        """Return whether this daemon may act on the values it holds."""
        fresh = self.freshness.is_fresh()
        if fresh and not self.freshness.has_recent_table_read():
            fresh = not self._may_be_removed()
        self.was_fresh = self.was_fresh or fresh
        return fresh

    async def wait_until_fresh(self) -> bool:
        """Wait up to ``_CATCH_UP_TIMEOUT_S`` to be fresh; return if so.

        A daemon that learns of a newer generation from a heartbeat is
        behind until the message with the change arrives.
        """
        ends_at = self.clock.now() + _CATCH_UP_TIMEOUT_S
        while not self.is_fresh():
            if self.clock.now() >= ends_at:
                return False
            await asyncio.sleep(_CATCH_UP_POLL_S)
        return True

    def _may_be_removed(self) -> bool:
        for announce in self.topics[MEMBERS_TOPIC].list_pending():
            try:
                roster = membership.decode(announce.value.body)
            except msgspec.MsgspecError:
                return True
            if roster.find(self.name) is None:
                return True
        return False

    def _adopt_configuration(self, value: TopicValue) -> None:
        text = unpack_text(value.body)
        configuration = parse_incrementally(
            text, 'accepted', self.section_cache
        )
        self.configuration = configuration
        self.configuration_adopted_at = self.clock.now()
        self.update_rate_limits()
        self.freshness.record_own_generation(
            CONFIGURATION_TOPIC, value.generation
        )
        logging.info('configuration %d is in force', value.generation)
        for callback in self.configuration_callbacks:
            callback(configuration)

    def _adopt_members(self, value: TopicValue) -> None:
        roster = membership.decode(value.body)
        previous_names = self.roster.names()
        self.roster = roster
        if previous_names - roster.names():
            self.member_removed_at = self.clock.now()
        if self.name in previous_names and roster.find(self.name) is None:
            self.respondent.drop_units()
        self.freshness.set_members(roster.names())
        self.freshness.record_own_generation(MEMBERS_TOPIC, value.generation)
        names = ', '.join(sorted(roster.names()))
        logging.info('members %d: %s', value.generation, names)
        for callback in self.roster_callbacks:
            callback(roster)

    def list_uncommitted(self) -> tuple[UncommittedConfiguration, ...]:
        """Return announced configurations that may be in force.

        There are none after a recent read of the table.
        """
        topic = self.topics[CONFIGURATION_TOPIC]
        pending = topic.list_pending()
        if not pending or self.freshness.has_recent_table_read():
            return ()
        operations = frozenset(a.operation for a in pending)
        if operations != self._uncommitted_operations:
            self._uncommitted = tuple(
                UncommittedConfiguration(
                    a.value.generation,
                    declaration.parse(unpack_text(a.value.body), 'announced'),
                )
                for a in pending
            )
            self._uncommitted_operations = operations
        return self._uncommitted

    def update_rate_limits(self) -> None:
        """Set each bucket's limit to the lowest that may be in force."""
        limits = {
            w.name: RateLimit(w.rate, w.burst)
            for w in self.configuration.workspaces.values()
        }
        for uncommitted in self.list_uncommitted():
            for name, limit in limits.items():
                announced_workspace = uncommitted.configuration.workspaces.get(
                    name
                )
                if announced_workspace is not None:
                    limits[name] = RateLimit(
                        min(limit.rate, announced_workspace.rate),
                        min(limit.burst, announced_workspace.burst),
                    )
        self.shares.configure(limits)


__all__ = [
    'CONFIGURATION_TOPIC',
    'FleetState',
    'MEMBERS_TOPIC',
    'pack_text',
    'UncommittedConfiguration',
    'unpack_text',
]
