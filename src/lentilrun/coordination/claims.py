"""Claims that let a keyed request run at most once."""

from __future__ import annotations

import enum
from typing import NamedTuple
from typing import TYPE_CHECKING

import msgspec

from ..errors import ConflictError
from ..errors import PlatformError
from .table import ABSENT

if TYPE_CHECKING:
    from .table import Row
    from .table import Table

_PREFIX = 'claims/'
_TRIES = 3


class ClaimState(enum.StrEnum):
    """Where a claimed request stands."""

    FREE = 'free'
    HELD = 'held'
    DONE = 'done'


class RecordedResponse(NamedTuple):
    """The recorded answer of a request that ran."""

    status: int
    content_type: str
    body: bytes


class Claim(NamedTuple):
    """A claim row: the request's digest, its holder and its outcome."""

    fingerprint: str
    holder: str
    state: ClaimState
    response: RecordedResponse | None


class ClaimResult(NamedTuple):
    """The claim found or made, its row version, and if it is ours."""

    claim: Claim
    row_version: int
    is_ours: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Claim)


def _read(row: Row) -> Claim | None:
    if row.version == ABSENT:
        return None
    try:
        return _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'{row.key} holds no claim') from error


class Claims:
    """Claims in a table; no claim, no dispatch."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def claim(self, key: str, digest: str, holder: str) -> ClaimResult:
        """Claim a key for ``holder``, a name used for no other try.

        Returns the claim that stands: ours, or another's. A write
        whose answer was lost is found out by reading. Raises
        ``PlatformError`` if that can't be done.
        """
        wanted = Claim(digest, holder, ClaimState.HELD, None)
        row = await self._table.read(_PREFIX + key)
        for _ in range(_TRIES):
            found = _read(row)
            if found is not None and found.state is not ClaimState.FREE:
                return ClaimResult(found, row.version, found.holder == holder)
            row = await self._try_write(row, wanted)
        raise PlatformError(f'no claim on {key} could be made')

    async def _try_write(self, row: Row, claim: Claim) -> Row:
        value = _encoder.encode(claim)
        try:
            await self._table.write(row.key, value, row.version)
        except (ConflictError, PlatformError):
            pass
        return await self._table.read(row.key)

    async def finish(
        self, key: str, claimed: ClaimResult, outcome: RecordedResponse
    ) -> None:
        """Record the outcome for callers that repeat the request."""
        claim = claimed.claim._replace(state=ClaimState.DONE, response=outcome)
        await self._settle(key, claimed, claim)

    async def release(self, key: str, claimed: ClaimResult) -> None:
        """Free a claim whose request has provably not been sent."""
        claim = claimed.claim._replace(state=ClaimState.FREE)
        await self._settle(key, claimed, claim)

    async def abandon(self, key: str, holder: str) -> None:
        """Free whatever claim ``holder`` may have made and won't use."""
        row = await self._table.read(_PREFIX + key)
        found = _read(row)
        if found is None or found.holder != holder:
            return
        if found.state is ClaimState.HELD:
            claimed = ClaimResult(found, row.version, True)
            await self.release(key, claimed)

    async def _settle(
        self, key: str, claimed: ClaimResult, claim: Claim
    ) -> None:
        value = _encoder.encode(claim)
        last: Exception | None = None
        for _ in range(_TRIES):
            try:
                await self._table.write(
                    _PREFIX + key, value, claimed.row_version
                )
                return
            except ConflictError:
                # An earlier try took effect and its answer was lost.
                return
            except PlatformError as error:
                last = error
        raise PlatformError(f'the claim on {key} stays open') from last


__all__ = ['Claim', 'ClaimResult', 'Claims', 'ClaimState', 'RecordedResponse']
