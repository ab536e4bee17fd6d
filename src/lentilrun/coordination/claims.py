"""Claims on idempotency keys, so that a request runs at most once."""

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
_MAX_TRIES = 3


class ClaimState(enum.StrEnum):
    """The state of a claimed request."""

    FREE = 'free'
    HELD = 'held'
    DONE = 'done'


class RecordedResponse(NamedTuple):
    """The recorded response of a request that ran."""

    status: int
    content_type: str
    body: bytes


class Claim(NamedTuple):
    """A claim row: the request's digest, its holder and its response."""

    fingerprint: str
    holder: str
    state: ClaimState
    response: RecordedResponse | None


class ClaimResult(NamedTuple):
    """The claim on a key, its row version, and whether it is ours."""

    claim: Claim
    row_version: int
    is_ours: bool


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Claim)


def _decode_claim(row: Row) -> Claim | None:
    if row.version == ABSENT:
        return None
    try:
        return _decoder.decode(row.value)
    except msgspec.MsgspecError as error:
        raise PlatformError(f'{row.key} is not a valid claim row') from error


class Claims:
    """Claims in a table; a request is only sent once its key is claimed."""

    def __init__(self, table: Table) -> None:
        self._table = table

    async def claim(self, key: str, digest: str, holder: str) -> ClaimResult:
        """Claim a key for ``holder``, a name that is unique to this try.

        Returns the claim on the key: ours, or another holder's. After
        a write, the row is read back, as the response to the write may
        be lost. Raises ``PlatformError`` if the table doesn't respond
        or no claim was made after several tries.
        """
        new_claim = Claim(digest, holder, ClaimState.HELD, None)
        row = await self._table.read(_PREFIX + key)
        for _ in range(_MAX_TRIES):
            current = _decode_claim(row)
            if current is not None and current.state is not ClaimState.FREE:
                return ClaimResult(
                    current, row.version, current.holder == holder
                )
            row = await self._write_and_read_back(row, new_claim)
        raise PlatformError(f'the claim on {key} could not be written')

    async def _write_and_read_back(self, row: Row, claim: Claim) -> Row:
        value = _encoder.encode(claim)
        try:
            await self._table.write(row.key, value, row.version)
        except (ConflictError, PlatformError):
            pass
        return await self._table.read(row.key)

    async def finish(
        self, key: str, claimed: ClaimResult, response: RecordedResponse
    ) -> None:
        """Record the response for callers that repeat the request.

        Raises ``PlatformError`` if the table doesn't respond.
        """
        claim = claimed.claim._replace(
            state=ClaimState.DONE, response=response
        )
        await self._replace_claim(key, claimed, claim)

    async def release(self, key: str, claimed: ClaimResult) -> None:
        """Free a claim whose request has provably not been sent.

        Raises ``PlatformError`` if the table doesn't respond.
        """
        claim = claimed.claim._replace(state=ClaimState.FREE)
        await self._replace_claim(key, claimed, claim)

    async def abandon(self, key: str, holder: str) -> None:
        """Free the claim of ``holder``, if it has one on the key.

        Raises ``PlatformError`` if the table doesn't respond.
        """
        row = await self._table.read(_PREFIX + key)
        current = _decode_claim(row)
        if current is None or current.holder != holder:
            return
        if current.state is ClaimState.HELD:
            claimed = ClaimResult(current, row.version, True)
            await self.release(key, claimed)

    async def _replace_claim(
        self, key: str, claimed: ClaimResult, claim: Claim
    ) -> None:
        value = _encoder.encode(claim)
        last_error: Exception | None = None
        for _ in range(_MAX_TRIES):
            try:
                await self._table.write(
                    _PREFIX + key, value, claimed.row_version
                )
                return
            except ConflictError:
                # An earlier try took effect, but its response was lost.
                return
            except PlatformError as error:
                last_error = error
        raise PlatformError(
            f'the claim on {key} was not closed'
        ) from last_error


__all__ = ['Claim', 'ClaimResult', 'Claims', 'ClaimState', 'RecordedResponse']
