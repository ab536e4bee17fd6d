"""Seeded traffic on simulated time."""

from __future__ import annotations

import asyncio
from typing import Any
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Coroutine
    import random

    from lentilrun.standins.timeloop import TimeLoop


async def send_traffic(
    loop: TimeLoop,
    draws: random.Random,
    rate: float,
    until: float,
    send: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Call ``send`` at random times, ``rate`` a second on average.

    It ends at ``until`` by the loop, in seconds; requests that still run
    then go on.
    """
    tasks: set[asyncio.Task[None]] = set()
    while loop.now() < until:
        await asyncio.sleep(draws.expovariate(rate))
        task = asyncio.ensure_future(send())
        tasks.add(task)
        task.add_done_callback(tasks.discard)
