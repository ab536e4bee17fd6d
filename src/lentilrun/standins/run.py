"""Runs a stand-in as a separate process."""

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
_MAX_BODY_BYTES = 64 * 1024 * 1024


async def _serve_platform(address: str) -> None:
    endpoint = parse_address(address)
    store = platform.PlatformState()
    server = HTTPServer(
        platform.make_application(store), max_body_size=_MAX_BODY_BYTES
    )
    server.listen(endpoint.port, endpoint.host, backlog=1024)
    await asyncio.Event().wait()


@app.command(name='platform')
def run_platform(address: str) -> None:
    """Run the platform's tables, objects, weights and VM list."""
    asyncio.run(_serve_platform(address))


async def _serve_target(
    address: str, events: str | None, settings: EngineSettings
) -> None:
    endpoint = parse_address(address)
    engine = Engine(settings)
    publisher = Publisher(engine, events)
    executor = EngineExecutor(engine, publisher, target.exit_process)
    server = HTTPServer(
        target.make_application(executor), max_body_size=_MAX_BODY_BYTES
    )
    server.listen(endpoint.port, endpoint.host, backlog=1024)
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
    """Run a target: a model engine combined with a plain service.

    Parameters
    ----------
    address
        Address to listen on, as IP:port.
    events
        Address to publish cache events on.
    capacity
        Number of blocks in the cache.
    prefill
        Prompt tokens processed per second.
    step
        Seconds per generated token.
    fencing
        Whether orders with an old fencing token are rejected.
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
