"""The memory that the segments of callers' prompts take."""

from __future__ import annotations

import tracemalloc

from lentilrun.coordination.clock import ManualClock
from lentilrun.gateway.messages import PrefillReport
from lentilrun.gateway.recent import Origin
from lentilrun.gateway.targets import Targets
from lentilrun.platform.dialect import read_caller_headers
from lentilrun.platform.documents import decode_configuration
from lentilrun.platform.documents import decode_target
from lentilrun.standins.configuration import make_configuration
from lentilrun.standins.configuration import make_target_row
import msgspec
import pytest
from tornado.httputil import HTTPHeaders

_ENGINES = 9
_MEMORY_TOKENS = 69_174
# Of the 150 MB of a VM, 52 MB are the process's own.
_MAX_BYTES = 30_000_000
_MAX_HEADER_BYTES = 16_384
_REQUESTS_PER_S = 40.0


def _make_targets(clock: ManualClock) -> Targets:
    configuration = make_configuration(1)
    for service in configuration['services']:
        if 'engine' in service:
            service['engine']['kv-capacity'] = _MEMORY_TOKENS
    targets = Targets(clock, 'a')
    targets.configure(decode_configuration(msgspec.json.encode(configuration)))
    for number in range(_ENGINES):
        row = make_target_row('llm', '127.0.0.1:9', {}, 'ready')
        targets.register(decode_target(f'e{number}', row))
    return targets


@pytest.mark.parametrize(
    ('identity_length', 'tokens', 'prompts'),
    [
        # As many segments as a head has room for.
        (8, 1, 200),
        (8, 0, 200),
        # Few with long identities.
        (4000, 1, 2000),
        (16_000, 0, 2000),
    ],
)
def test_segments_of_any_length(
    identity_length: int, tokens: int, prompts: int
) -> None:
    """Guards against prompts whose segments fill a VM's memory.

    The requests of one caller, inside the limits and its quota, took each
    process over the memory of its machine.
    """
    clock = ManualClock()
    targets = _make_targets(clock)
    number = 0
    tracemalloc.start()
    try:
        for prompt in range(prompts):
            items: list[str] = []
            length = 0
            while length + identity_length + 3 <= _MAX_HEADER_BYTES:
                number += 1
                items.append(f'{number:0{identity_length}x}:{tokens}')
                length += identity_length + 3
            headers = HTTPHeaders(
                {'X-Token-Usage': '2000,10', 'X-Prefix-Hash': ','.join(items)}
            )
            request = read_caller_headers(headers)
            assert request.prompt is not None
            report = PrefillReport(
                f'e{prompt % _ENGINES}', 'salt', request.prompt.segments
            )
            targets.record_prefill(report, Origin.OWN)
            clock.advance(1.0 / _REQUESTS_PER_S)
        used = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert used < _MAX_BYTES


def test_usual_prompts_are_known_whole() -> None:
    """The bound leaves what an engine has of usual prompts."""
    targets = _make_targets(ManualClock())
    text = ','.join(f'{n:x}:100' for n in range(200))
    headers = HTTPHeaders({'X-Token-Usage': '20000,10', 'X-Prefix-Hash': text})
    prompt = read_caller_headers(headers).prompt
    assert prompt is not None
    report = PrefillReport('e0', 'salt', prompt.segments)
    targets.record_prefill(report, Origin.OWN)
    cache = targets.states['e0'].prefix_cache
    assert cache.count_cached_tokens('salt', prompt) == 20_000
