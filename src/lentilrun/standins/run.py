"""Runs one stand-in as a process of its own."""

from __future__ import annotations

import asyncio
import sys

import cyclopts
from tornado.httpserver import HTTPServer

from ..config.ini import parse_address
from . import platform
from . import target
from .engine import Engine
from .engine import EngineSettings
from .executor import EngineExecutor
from .executor import Publisher

app = cyclopts.App(
    name='lentilrun-standin', help='Run a stand-in for trials and tests.'
)
_MAX_BODY = 64 * 1024 * 1024


async def _serve_platform(address: str) -> None:
    listen = parse_address(address)
    store = platform.PlatformState()
    server = HTTPServer(
        platform.make_application(store), max_body_size=_MAX_BODY
    )
    server.listen(listen.port, listen.host, backlog=1024)
    await asyncio.Event().wait()


@app.command(name='platform')
def run_platform(address: str) -> None:
    """Run the tables, objects, weights and list of VMs."""
    asyncio.run(_serve_platform(address))


async def _serve_target(
    address: str, events: str | None, settings: EngineSettings
) -> None:
    listen = parse_address(address)
    engine = Engine(settings)
    publisher = Publisher(engine, events)
    executor = EngineExecutor(engine, publisher, target.exit_process)
    server = HTTPServer(
        target.make_application(executor), max_body_size=_MAX_BODY
    )
    server.listen(listen.port, listen.host, backlog=1024)
    await asyncio.Event().wait()


@app.command(name='target')
def run_target(
    address: str,
    *,
    name: str = 'target',
    events: str | None = None,
    version: str = 'v1',
    slots: int = 16,
    capacity: int = 64,
    block_bytes: int = 8192,
    prefill: float = 20_000.0,
    step: float = 0.002,
    fencing: bool = False,
) -> None:
    """Run a target: a model engine and a plain service in one.

    Parameters
    ----------
    address
        Where it listens, as IP:port.
    events
        Where it publishes cache events.
    capacity
        Blocks that its cache holds.
    prefill
        Prompt tokens computed a second.
    step
        Seconds for each generated token.
    fencing
        Whether it refuses orders with an old fencing number.
    """
    settings = EngineSettings(
        name=name,
        version=version,
        slots=slots,
        cache_blocks=capacity,
        block_bytes=block_bytes,
        prefill_tokens_per_s=prefill,
        token_time_s=step,
        checks_fencing=fencing,
    )
    asyncio.run(_serve_target(address, events, settings))


def main() -> None:
    """Run a stand-in."""
    sys.exit(app(result_action='return_value'))


if __name__ == '__main__':
    main()

__all__ = ['main', 'run_platform', 'run_target']
