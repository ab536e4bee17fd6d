"""Entry point of the daemon on the users' platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from typing import TYPE_CHECKING

from ..config.ini import Address
from ..platform import node as node_settings
from ..reloadsignal import ReloadSignal
from .allocation import tune_allocator
from .node import Node

if TYPE_CHECKING:
    from ..platform.node import NodeSettings

EXIT_INVALID = 2
# Set in the deploy file, next to the address that metrics are fetched from.
METRICS_VARIABLE = 'METRICS_PORT'


def _reread_settings(node: Node, path: str) -> None:
    """Log which settings changed; they apply from the next start."""
    try:
        settings = node_settings.load(path)
    except node_settings.BadSettingsError as error:
        node.log.write('settings_unreadable', path=path, error=error)
        return
    changed = [
        name
        for name, value in settings._asdict().items()
        if value != getattr(node.settings, name)
    ]
    node.log.write('settings_reread', path=path, changed=changed)


async def _serve(settings: NodeSettings, metrics_port: int, path: str) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with Node(settings) as node:
        if metrics_port:
            node.serve_metrics(Address(settings.host, metrics_port))
        with ReloadSignal(loop, lambda: _reread_settings(node, path)):
            await stop_requested.wait()
            await node.leave()


def main() -> int:
    """Run until SIGTERM or SIGINT; return the exit code.

    It is ``EXIT_INVALID`` for settings or a port that can't be read.
    """
    path = os.environ.get(node_settings.PATH_VARIABLE, '')
    try:
        settings = node_settings.load(path)
    except node_settings.BadSettingsError as error:
        sys.stderr.write(f'{error.code}: {error}\n')
        return EXIT_INVALID
    port = os.environ.get(METRICS_VARIABLE, '0')
    if not port.isdecimal():
        sys.stderr.write(
            f'invalid_file: {METRICS_VARIABLE} is not a port number\n'
        )
        return EXIT_INVALID
    tune_allocator(settings.memory_bytes)
    asyncio.run(_serve(settings, int(port), path))
    return 0


__all__ = ['EXIT_INVALID', 'main']
