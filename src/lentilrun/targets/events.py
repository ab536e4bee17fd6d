"""Cache events of model engines, and detection of missed ones."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec
import zmq
import zmq.asyncio

if TYPE_CHECKING:
    from types import TracebackType

    from ..config.ini import Address


class CacheEvent(NamedTuple):
    """The blocks that an engine stored and removed.

    ``sequence`` counts the events of an incarnation; ``version`` is the
    weights version.
    """

    sequence: int
    incarnation: str
    version: str
    stored: tuple[int, ...]
    removed: tuple[int, ...]


class ReceivedEvent(NamedTuple):
    """An event, and whether events before it were missed."""

    event: CacheEvent
    follows_gap: bool


_decoder = msgspec.msgpack.Decoder(CacheEvent)


class GapDetector:
    """Finds gaps in the sequence numbers of one engine's events."""

    def __init__(self) -> None:
        self._incarnation = ''
        self._last_sequence = 0

    def follows_gap(self, event: CacheEvent) -> bool:
        """Return whether events of its incarnation were missed before it.

        The first event of an incarnation follows no gap. One whose number
        comes again or goes back may undo what a later one has stated, so
        nothing before it holds either.
        """
        is_same_incarnation = event.incarnation == self._incarnation
        has_gap = (
            is_same_incarnation and event.sequence != self._last_sequence + 1
        )
        self._incarnation = event.incarnation
        self._last_sequence = event.sequence
        return has_gap


class CacheEventSubscription:
    """A subscription to the events of one engine."""

    def __init__(self, address: Address) -> None:
        self._gap_detector = GapDetector()
        self._socket = zmq.asyncio.Context.instance().socket(zmq.SUB)
        self._socket.linger = 0
        self._socket.subscribe(b'')
        self._socket.connect(f'tcp://{address}')

    def __enter__(self) -> CacheEventSubscription:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self._socket.close(linger=0)

    async def read(self) -> ReceivedEvent | None:
        """Return the next event, or nothing if it is malformed."""
        data = await self._socket.recv()
        try:
            event = _decoder.decode(data)
        except msgspec.MsgspecError:
            return None
        return ReceivedEvent(event, self._gap_detector.follows_gap(event))


__all__ = [
    'CacheEvent',
    'CacheEventSubscription',
    'GapDetector',
    'ReceivedEvent',
]
