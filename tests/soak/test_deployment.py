"""Processes of the soak: detection of unexpected exits."""

from __future__ import annotations

import asyncio
import pathlib
import signal

import pytest
from soak.deployment import copy_programs
from soak.deployment import VmProcess
from soak.proxy import LOOPBACK


def test_slow_start_is_no_unexpected_exit(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The stopped process isn't an unexpected exit while a VM restarts.

    On a busy machine a start can take two seconds (soak seed 20261225);
    checks that run meanwhile still see the previous process.
    """
    folder = tmp_path / '1'
    folder.mkdir()
    copy_programs(tmp_path)
    create_process = asyncio.create_subprocess_exec

    async def create_process_slowly(
        *arguments: object, **options: object
    ) -> object:
        await asyncio.sleep(0.2)
        return await create_process(*arguments, **options)

    async def run_test() -> None:
        async with VmProcess('vm0', folder, (LOOPBACK, 9)) as vm:
            await vm.stop(signal.SIGKILL)
            monkeypatch.setattr(
                asyncio, 'create_subprocess_exec', create_process_slowly
            )
            starting = asyncio.ensure_future(vm.start())
            await asyncio.sleep(0.1)
            assert not vm.is_running()
            await starting
            assert vm.is_running()
            assert not vm.unexpected_exits

    asyncio.run(run_test())
