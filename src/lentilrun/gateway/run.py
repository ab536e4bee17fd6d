"""Entry point of the daemon on the users' platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

from ..config.ini import Address
from ..platform import node as node_settings
from .node import Node

if TYPE_CHECKING:
    from ..platform.node import NodeSettings

EXIT_INVALID = 2
# Set in the deploy file beside the address where metrics are fetched.
METRICS_VARIABLE = 'METRICS_PORT'


async def _serve(settings: NodeSettings, metrics_port: int) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    async with Node(settings) as node:
        if metrics_port:
            node.serve_metrics(Address(settings.host, metrics_port))
        loop.add_signal_handler(
            signal.SIGHUP, lambda: node.log.write('reload_asked')
        )
        await stopping.wait()
        await node.leave()


def main() -> int:
    """Run until SIGTERM or SIGINT; return the exit code."""
    path = os.environ.get(node_settings.PATH_VARIABLE, '')
    try:
        settings = node_settings.load(path)
    except node_settings.BadSettingsError as error:
        sys.stderr.write(f'{error.code}: {error}\n')
        return EXIT_INVALID
    port = os.environ.get(METRICS_VARIABLE, '0')
    if not port.isdecimal():
        sys.stderr.write(f'invalid_file: {METRICS_VARIABLE} is no port\n')
        return EXIT_INVALID
    asyncio.run(_serve(settings, int(port)))
    return 0


__all__ = ['EXIT_INVALID', 'main']
