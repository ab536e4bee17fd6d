"""The store's clock as a VM knows it, through responses that take long."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
from lentilrun.config.ini import Address
from lentilrun.coordination.clock import ManualClock
from lentilrun.platform.rows import RowStore
from lentilrun.web.client import Client
from lentilrun.web.client import Request
from lentilrun.web.client import Response
import msgspec
from tornado.httputil import HTTPHeaders

# The store's clock shows so much more than the VM's.
_LEAD_S = 5000.0
# Times are stated in whole milliseconds.
_ROUNDING_S = 0.0011


class _Read(NamedTuple):
    """A read ``pause`` seconds after the one before, and its way there."""

    pause: float
    request: float
    response: float


class _SlowClient(Client):
    """Responds like the store; a call takes time on its way and back."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self._clock = clock
        self.lead = _LEAD_S
        self.read = _Read(0.0, 0.0, 0.0)

    async def fetch(
        self, address: Address, request: Request, reuse: bool = True
    ) -> Response:
        self._clock.advance(self.read.request)
        store_ms = int((self._clock.now() + self.lead) * 1e3)
        self._clock.advance(self.read.response)
        body = {'rows': [], 'row-version': 1, 'now-ms': store_ms}
        return Response(200, HTTPHeaders(), msgspec.json.encode(body))


_TIMES = st.sampled_from([0.0, 0.002, 0.1, 0.7, 1.4])
_READS = st.lists(
    st.builds(_Read, st.sampled_from([0.0, 0.2, 3.0]), _TIMES, _TIMES),
    min_size=1,
    max_size=8,
)


@given(_READS)
@example([_Read(0.0, 0.0, 0.0), _Read(0.1, 0.0, 0.7)])
def test_clock_is_bounded_and_never_goes_back(reads: list[_Read]) -> None:
    """A slow response does not set the estimate back."""
    clock = ManualClock()
    client = _SlowClient(clock)
    store = RowStore(client, Address('127.0.0.1', 1), clock)
    estimated_lead = float('-inf')
    for read in reads:
        clock.advance(read.pause)
        client.read = read
        asyncio.run(store.read('fleet'))
        true_time = clock.now() + _LEAD_S
        estimate = store.estimate_clock()
        assert estimate >= clock.now() + estimated_lead - _ROUNDING_S
        assert estimate <= true_time + _ROUNDING_S
        assert store.latest_clock() >= true_time - _ROUNDING_S
        estimated_lead = estimate - clock.now()


@given(_READS, st.sampled_from([-4000.0, 3000.0]))
def test_clock_that_was_set_anew(reads: list[_Read], step: float) -> None:
    """The bounds hold again from the next response on."""
    clock = ManualClock()
    client = _SlowClient(clock)
    store = RowStore(client, Address('127.0.0.1', 1), clock)
    asyncio.run(store.read('fleet'))
    client.lead += step
    for read in reads:
        client.read = read
        asyncio.run(store.read('fleet'))
        true_time = clock.now() + client.lead
        longest = read.request + read.response + _ROUNDING_S
        assert abs(store.estimate_clock() - true_time) <= longest
        assert abs(store.latest_clock() - true_time) <= longest
