"""Turns of the event loop."""

from __future__ import annotations

import asyncio
import collections

from lentilrun.web.turns import TurnQueue
import pytest

_TURNS = 5


class _Iterations:
    """Counts the iterations of the event loop."""

    def __init__(self) -> None:
        self.count = 0

    async def run(self) -> None:
        while True:
            await asyncio.sleep(0)
            self.count += 1


@pytest.mark.parametrize('tasks', [1, 2, 50])
def test_one_task_goes_on_in_an_iteration(tasks: int) -> None:
    """Guards against many busy tasks that hold up others together."""

    async def body() -> None:
        turns = TurnQueue()
        iterations = _Iterations()
        counting = asyncio.create_task(iterations.run())
        taken: list[int] = []

        async def work() -> None:
            for _ in range(_TURNS):
                await turns.wait()
                taken.append(iterations.count)

        await asyncio.gather(*(work() for _ in range(tasks)))
        counting.cancel()
        assert len(taken) == tasks * _TURNS
        assert max(collections.Counter(taken).values()) == 1

    asyncio.run(body())


def test_cancelled_task_leaves_its_turn() -> None:
    """Tasks behind one that is cancelled in the queue go on."""

    async def body() -> None:
        turns = TurnQueue()
        tasks = [asyncio.create_task(turns.wait()) for _ in range(3)]
        await asyncio.sleep(0)
        tasks[0].cancel()
        tasks[1].cancel()
        await asyncio.wait_for(tasks[2], 1.0)

    asyncio.run(body())
