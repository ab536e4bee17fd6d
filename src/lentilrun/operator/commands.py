"""Commands of operators, which change the configuration."""

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

_CONFIRM_TIMEOUT_S = 6.0


class Applied(NamedTuple):
    """A committed configuration, and the VMs where it is not yet in force.

    ``missing`` has the names of these VMs, ``seconds`` is the duration of
    the operation. ``repeated`` is set if the operation was accepted before.
    """

    generation: int
    missing: tuple[str, ...]
    seconds: float
    repeated: bool


class ApplyRequest(NamedTuple):
    """A configuration to commit if ``expected_generation`` is in force.

    None as ``expected_generation`` accepts any generation.
    """

    text: str
    file: str
    operation_id: str
    expected_generation: int | None


async def apply(node: Node, request: ApplyRequest) -> Applied:
    """Commit a configuration and wait until it is in force on all VMs.

    Waits for ``_CONFIRM_TIMEOUT_S`` at most. Raises ``InvalidFileError``,
    ``ConflictError``, ``PlatformError`` or the errors of
    ``Agreement.change``.
    """
    cache = SectionCache()
    cache.values_by_text = dict(node.state.section_cache.values_by_text)
    parse_incrementally(request.text, request.file, cache)
    started_at = node.clock.now()
    topic = node.state.topics[CONFIGURATION_TOPIC]
    await topic.refresh()
    operation = topic.find_operation(topic.value, request.operation_id)
    if operation is not None:
        generation = operation.generation
    else:
        generation = await _change(node, request)
    missing = await node.agreement.wait_in_force(
        CONFIGURATION_TOPIC, generation, _CONFIRM_TIMEOUT_S
    )
    seconds = node.clock.now() - started_at
    node.metrics.record_time(Timing.IN_FORCE, seconds)
    return Applied(generation, missing, seconds, operation is not None)


async def _change(node: Node, request: ApplyRequest) -> int:
    topic = node.state.topics[CONFIGURATION_TOPIC]
    current = topic.value.generation
    if (
        request.expected_generation is not None
        and request.expected_generation != current
    ):
        raise ConflictError(
            f'generation {current} is in force, '
            f'not {request.expected_generation}'
        )
    announce = topic.propose(request.operation_id, pack_text(request.text))
    value = await node.agreement.change(topic, request.operation_id, announce)
    operation = topic.find_operation(value, request.operation_id)
    return operation.generation if operation is not None else value.generation


__all__ = ['Applied', 'apply', 'ApplyRequest']
