"""A replica that runs as a process of its own.

It writes each run to a file before it answers, so that the file is whole
when the process is killed.
"""

from __future__ import annotations

import asyncio
import os
import pathlib
import random
import signal
import sys
from typing import NamedTuple

from lentilrun.standins.replica import ExecutedRequest
from lentilrun.standins.replica import make_application
from lentilrun.standins.replica import ReplicaState
import msgspec

from .eventstreams import EventStreams
from .eventstreams import FaultLevel
from .proxy import LOOPBACK


class ProgramSettings(NamedTuple):
    """What the program gets on its command line, as JSON."""

    incarnation: str
    port: int
    versions: dict[str, int]
    seed: str
    level: FaultLevel
    runs: str
    forms: str
    born: int


def _open(path: str) -> int:
    return os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)


class _Records:
    """Files of runs and of their forms, one JSON line each."""

    def __init__(self, settings: ProgramSettings) -> None:
        self._runs = _open(settings.runs)
        self._forms = _open(settings.forms)

    def record_run(self, run: ExecutedRequest) -> None:
        os.write(self._runs, msgspec.json.encode(run) + b'\n')

    def record_form(self, request_id: str, form: dict[str, object]) -> None:
        now = round(asyncio.get_running_loop().time(), 3)
        fields = {'request': request_id, 'at': now, **form}
        os.write(self._forms, msgspec.json.encode(fields) + b'\n')


async def _serve(settings: ProgramSettings) -> None:
    state = ReplicaState(
        settings.incarnation, settings.versions, settings.born
    )
    state.plan.echoes_request_id = True
    records = _Records(settings)
    state.record_run = records.record_run
    streams = EventStreams(
        state,
        random.Random(settings.seed),
        settings.level,
        records.record_form,
    )
    state.stream_responder = streams.respond
    make_application(state).listen(settings.port, LOOPBACK)
    loop = asyncio.get_running_loop()

    def stop_faults() -> None:
        streams.level = FaultLevel.NONE

    loop.add_signal_handler(signal.SIGUSR1, stop_faults)
    # The end of the soak closes this pipe.
    is_orphan = asyncio.Event()
    loop.add_reader(sys.stdin, is_orphan.set)
    await is_orphan.wait()


def read_runs(path: pathlib.Path, start: int) -> tuple[list[bytes], int]:
    """Return the whole lines of a file from ``start`` on, and their end."""
    if not path.exists():
        return [], start
    with open(path, 'rb') as file:
        file.seek(start)
        lines, end, _ = file.read().rpartition(b'\n')
    if not end:
        return [], start
    return lines.split(b'\n'), start + len(lines) + 1


__all__ = ['ProgramSettings', 'read_runs']

if __name__ == '__main__':
    asyncio.run(_serve(msgspec.json.decode(sys.argv[1], type=ProgramSettings)))
