"""What is admitted into a process's memory, and what is ended first."""

from __future__ import annotations

from lentilrun.decisions.memory import classify_body
from lentilrun.decisions.memory import compute_owner_shortfall
from lentilrun.decisions.memory import compute_shortfall
from lentilrun.decisions.memory import Holder
from lentilrun.decisions.memory import Kind
from lentilrun.decisions.memory import list_owners
from lentilrun.decisions.memory import list_stalled
from lentilrun.decisions.memory import MIN_STALL_S
from lentilrun.decisions.memory import plan_memory
from lentilrun.web.memory import BodyHold
from lentilrun.web.memory import ProcessMemory
from lentilrun.web.memory import PROGRESS_BYTES
import pytest

_MB = 1_000_000
_MAX_BODY = 4_194_304


@pytest.mark.parametrize('memory_mb', [128, 150, 256, 552])
def test_known_machines(memory_mb: int) -> None:
    """Several of the longest bodies of one address fit into each machine."""
    plan = plan_memory(memory_mb * _MB)
    assert not plan.is_minimal
    assert plan.total < memory_mb * _MB / 1.25
    assert 2 * _MAX_BODY <= plan.owner_limit(Kind.LARGE_BODY)
    assert plan.owner_limit(Kind.LARGE_BODY) < plan.limit(Kind.LARGE_BODY)


@pytest.mark.parametrize('memory_mb', [1, 20, 52, 60])
def test_small_machines(memory_mb: int) -> None:
    """The budget is positive and below the memory of any machine."""
    plan = plan_memory(memory_mb * _MB)
    assert plan.is_minimal
    assert 0 < plan.total < memory_mb * _MB


def test_large_bodies_leave_room() -> None:
    """Small bodies and responses fit where large bodies do not any more."""
    plan = plan_memory(128 * _MB)
    used = plan.limit(Kind.LARGE_BODY)
    assert compute_shortfall(plan, used, Kind.LARGE_BODY, 1) == 1
    assert not compute_shortfall(plan, used, Kind.SMALL_BODY, 1000)
    owned = plan.owner_limit(Kind.LARGE_BODY)
    assert compute_owner_shortfall(plan, owned, Kind.LARGE_BODY, 7) == 7
    assert not compute_owner_shortfall(plan, owned, Kind.SMALL_BODY, 1000)
    used = plan.limit(Kind.SMALL_BODY)
    assert compute_shortfall(plan, used, Kind.SMALL_BODY, 1) == 1
    assert not compute_shortfall(plan, used, Kind.RESPONSE, _MB)
    assert classify_body(_MAX_BODY) is Kind.LARGE_BODY
    assert classify_body(5) is Kind.SMALL_BODY


@pytest.mark.parametrize(
    ('needed', 'expected'),
    [(1, [1]), (100, [1]), (101, [1, 2]), (201, [])],
)
def test_stalled_holders(needed: int, expected: list[int]) -> None:
    """Those without progress for longest are ended, if that is enough."""
    now = 50.0
    holders = [
        Holder(3, 100, now - MIN_STALL_S / 2),
        Holder(2, 100, now - MIN_STALL_S),
        Holder(1, 100, now - MIN_STALL_S * 2),
    ]
    stalled = list_stalled(holders, needed, now)
    assert [h.key for h in stalled] == expected


class _Bodies:
    """Bodies in the memory of a process; ended ones are listed."""

    def __init__(self) -> None:
        self.memory = ProcessMemory(plan_memory(128 * _MB))
        self.ended: list[int] = []
        self._holds: dict[int, BodyHold] = {}

    def open(self, number: int, address: str, now: float) -> bool:
        """Start a body of the longest size; return whether it fits."""

        def end(is_timeout: bool) -> None:
            self.ended.append(number)
            self._holds[number].release()

        hold = self.memory.open_body(
            list_owners(address, ''), _MAX_BODY, end, now
        )
        if hold is None:
            return False
        self._holds[number] = hold
        return True

    def receive(self, number: int, size: int, now: float) -> None:
        """Let bytes of a body arrive."""
        self._holds[number].record_progress(size, now)

    def complete(self, number: int) -> None:
        """Let the rest of a body arrive."""
        self._holds[number].complete(_MAX_BODY)

    def release_all(self) -> None:
        """Release all bodies."""
        for hold in self._holds.values():
            hold.release()


def test_one_address_leaves_room_for_others() -> None:
    """An address that takes all it may does not keep others out."""
    bodies = _Bodies()
    numbers = range(20)
    admitted = [n for n in numbers if bodies.open(n, 'greedy', 1.0)]
    assert 2 <= len(admitted) < 20
    assert bodies.open(100, 'other', 1.1)
    assert not bodies.ended
    # The other's body does not end for the greedy one's.
    assert bodies.open(200, 'greedy', 5.0)
    assert bodies.ended == [0]
    bodies.release_all()
    assert bodies.memory.used == 0
    assert not bodies.memory.list_silent(100.0)


def test_bytes_now_and_then_are_no_progress() -> None:
    """A body keeps its memory only while it arrives at a useful rate."""
    bodies = _Bodies()
    while bodies.open(len(bodies._holds), 'a', 1.0):
        pass
    bodies.complete(0)
    for number in range(2, len(bodies._holds)):
        bodies.receive(number, PROGRESS_BYTES, 2.5)
    bodies.receive(1, 1, 2.5)
    assert bodies.open(100, 'a', 2.6)
    assert bodies.ended == [1]


def test_complete_bodies_are_kept() -> None:
    """A request that may run is not ended for others."""
    bodies = _Bodies()
    while bodies.open(len(bodies._holds), 'a', 1.0):
        pass
    for number in range(len(bodies._holds)):
        bodies.complete(number)
    assert not bodies.open(100, 'a', 100.0)
    assert not bodies.ended


def test_longest_body_alone() -> None:
    """The longest body is admitted if there is no other one."""
    memory = ProcessMemory(plan_memory(20 * _MB))
    hold = memory.open_body((), _MAX_BODY, lambda _: None, 1.0)
    assert hold is not None
    assert memory.open_body((), _MAX_BODY, lambda _: None, 1.0) is None
    hold.release()
    assert memory.used == 0
