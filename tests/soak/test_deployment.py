"""The soak's own processes: what counts as an end of their own."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest
from soak.deployment import copy_programs
from soak.deployment import VmProcess
from soak.proxy import LOOPBACK


def test_a_slow_start_is_no_end(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """While a VM starts anew, the process before it counts no more.

    Seed 20261225 showed it on a busy machine: the start took two seconds.
    """
    folder = tmp_path / '1'
    folder.mkdir()
    copy_programs(tmp_path)
    create = asyncio.create_subprocess_exec

    async def create_slowly(*given: object, **more: object) -> object:
        await asyncio.sleep(0.2)
        return await create(*given, **more)

    async def body() -> None:
        async with VmProcess('vm0', folder, (LOOPBACK, 9)) as vm:
            await vm.stop(signal.SIGKILL)
            monkeypatch.setattr(
                asyncio, 'create_subprocess_exec', create_slowly
            )
            starting = asyncio.ensure_future(vm.start())
            await asyncio.sleep(0.1)
            assert not vm.is_running()
            await starting
            assert vm.is_running()
            assert not vm.unexpected_exits

    asyncio.run(body())
