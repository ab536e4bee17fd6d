"""A key is taken away while both readers of the store are cut off from it."""

from __future__ import annotations

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1]))

from review import deployment  # noqa: E402
from review.deployment import Deployment  # noqa: E402
from review.deployment import make_configuration  # noqa: E402
from review.deployment import Record  # noqa: E402
from review.traffic import record_runs  # noqa: E402
from review.traffic import Traffic  # noqa: E402

# The two that read the store for all: the first machines of two zones.
_CUT_OFF = ('front-garut-1', 'front-jepara-1')
# Nothing happens to these: they are in touch all the time.
_CALM = ('front-solo-1', 'front-solo-2')
_STABLE_S = 4.0
_CUT_DELAY_S = 0.4
_CHANGE_DELAY_S = 0.1
_CONFIG_S = 2.0
_CUT_S = 5.0
_REQUEST_GAP_S = 0.03
_TIMEOUT_MS = 800
_DROPPED_KEY = 'key-that-is-taken-away'


def _write_configuration(
    system: Deployment, version: int, has_key: bool
) -> None:
    """Write a configuration with or without the second key."""
    configuration = make_configuration(version, _TIMEOUT_MS)
    if has_key:
        configuration['tenants'][0]['api-keys'].append(_DROPPED_KEY)
    system.store.put('op', 'config', configuration)


async def play(record: Record, has_trouble: bool) -> bool:
    """Return whether the rule CONFIG held."""
    async with Deployment([*_CUT_OFF, *_CALM]) as system:
        _write_configuration(system, 2, True)
        await asyncio.sleep(1.0)
        traffic = Traffic(
            system, record, _CALM, _REQUEST_GAP_S, _DROPPED_KEY
        )
        sending = asyncio.ensure_future(traffic.run())
        await asyncio.sleep(_STABLE_S)
        _write_configuration(system, 5, True)
        system.replicas[2].register('draining')
        record.write('version 5 is written, and a server reports draining')
        await asyncio.sleep(_CUT_DELAY_S)
        if has_trouble:
            for name in _CUT_OFF:
                record.write(f'{name} is cut off from the store')
                system.store_proxies[name].cut()
        await asyncio.sleep(_CHANGE_DELAY_S)
        _write_configuration(system, 7, False)
        written_at = time.monotonic()
        record.write('version 7, without the key, is written')
        await asyncio.sleep(_CUT_S)
        sending.cancel()
        await traffic.finish()
        for name in _CUT_OFF:
            system.store_proxies[name].heal()
        record_runs(system, record)
        late = [
            (run, traffic.sent[run.request_id])
            for replica in system.replicas
            for run in replica.runs
            if traffic.sent[run.request_id].at - written_at > _CONFIG_S
        ]
    late.sort(key=lambda pair: pair[1].at)
    for run, sent in (*late[:2], *late[-1:]):
        record.say(
            f'{run.request_id}, sent to {sent.machine} '
            f'{sent.at - written_at:.3f} s after the key was dropped, ran'
        )
    record.say(f'{len(late)} requests with the dropped key ran too late')
    return not late


if __name__ == '__main__':
    deployment.run(FOLDER, play)
