"""Commands of operators: changes of the configuration."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..config.incremental import parse_incrementally
from ..config.incremental import SectionCache
from ..errors import ConflictError
from ..fleet.state import CONFIGURATION_TOPIC
from ..fleet.state import pack_text
from ..metrics.registry import Timing

if TYPE_CHECKING:
    from ..daemon.node import Node

_CONFIRM_TIMEOUT = 6.0


class Applied(NamedTuple):
    """An accepted configuration and where it is not yet in force.

    ``repeated`` if the same operation had been accepted before.
    """

    generation: int
    missing: tuple[str, ...]
    seconds: float
    repeated: bool


class ApplyRequest(NamedTuple):
    """A configuration to accept, if ``expected_generation`` is in force."""

    text: str
    file: str
    operation_id: str
    expected_generation: int | None


async def apply(node: Node, order: ApplyRequest) -> Applied:
    """Accept a configuration and wait until all VMs act on it.

    Raises ``InvalidFileError``, ``ConflictError``, ``PlatformError`` or
    what an agreement raises.
    """
    memory = SectionCache()
    memory.values_by_text = dict(node.state.section_cache.values_by_text)
    parse_incrementally(order.text, order.file, memory)
    started = node.clock.now()
    topic = node.state.topics[CONFIGURATION_TOPIC]
    await topic.refresh()
    earlier = topic.find_operation(topic.value, order.operation_id)
    if earlier is not None:
        generation = earlier.generation
    else:
        generation = await _change(node, order)
    missing = await node.agreement.wait_in_force(
        CONFIGURATION_TOPIC, generation, _CONFIRM_TIMEOUT
    )
    seconds = node.clock.now() - started
    node.metrics.record_time(Timing.IN_FORCE, seconds)
    return Applied(generation, missing, seconds, earlier is not None)


async def _change(node: Node, order: ApplyRequest) -> int:
    topic = node.state.topics[CONFIGURATION_TOPIC]
    present = topic.value.generation
    if (
        order.expected_generation is not None
        and order.expected_generation != present
    ):
        raise ConflictError(
            f'generation {present} is in force, '
            f'not {order.expected_generation}'
        )
    announce = topic.propose(order.operation_id, pack_text(order.text))
    value = await node.agreement.change(topic, order.operation_id, announce)
    made = topic.find_operation(value, order.operation_id)
    return made.generation if made is not None else value.generation


__all__ = ['Applied', 'apply', 'ApplyRequest']
