"""Runs the daemon until a signal ends it."""

from __future__ import annotations

import asyncio
import signal
import ssl
import sys
from typing import NamedTuple
from typing import TYPE_CHECKING

from absl import logging
import cyclopts
import zmq

from ..config.findings import InvalidFileError
from ..config import settings as settings_file
from ..entry import handlers
from ..operator import handlers as operator_handlers
from ..reloadsignal import ReloadSignal
from ..web.drainingserver import DrainingServer
from .node import Node

if TYPE_CHECKING:
    from ..config.settings import Certificate
    from ..config.settings import Settings

EXIT_INVALID = 2
EXIT_IN_USE = 3
_MAX_HEADER_BYTES = 64 * 1024
_UNLIMITED_BYTES = 2**60
# Beyond the longest deadline of a call: requests that are arriving as the port
# closes, and the delivery of the last responses.
_FINISH_MARGIN_S = 3.0
# An ``apply`` waits 6 s for confirmations, after the change itself.
_OPERATOR_FINISH_S = 10.0
_MAX_OPERATOR_BODY_BYTES = 32 * 1024 * 1024

app = cyclopts.App(name='lentilrund', help='Run the router on this VM.')


def _make_tls(certificate: Certificate | None) -> ssl.SSLContext | None:
    if certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate.chain, certificate.key)
    return context


class _Servers(NamedTuple):
    callers: DrainingServer
    operators: DrainingServer


def _listen(node: Node) -> _Servers:
    settings = node.settings
    callers = DrainingServer(
        handlers.make_application(
            handlers.HandlerDependencies(
                node.state,
                node.service,
                node.resumption,
                node.in_flight,
                settings.limits.max_body_bytes,
                lambda: node.hints.is_done,
            )
        ),
        handlers.encode_leaving(),
        ssl_options=_make_tls(settings.certificate),
        max_header_size=_MAX_HEADER_BYTES,
        # The handlers enforce the limit, so that the error response can say
        # what is wrong.
        max_body_size=_UNLIMITED_BYTES,
        idle_connection_timeout=600.0,
        body_timeout=60.0,
    )
    operators = DrainingServer(
        operator_handlers.make_application(node),
        operator_handlers.encode_leaving(),
        max_body_size=_MAX_OPERATOR_BODY_BYTES,
    )
    address = settings.listen.callers
    callers.listen(address.port, address.host, backlog=1024)
    address = settings.listen.operators
    operators.listen(address.port, address.host)
    return _Servers(callers, operators)


async def _finish(node: Node, servers: _Servers) -> None:
    """Answer what has arrived, first to callers, then to operators."""
    seconds = node.find_longest_deadline() + _FINISH_MARGIN_S
    ends_at = node.clock.now() + seconds
    stopped = await servers.callers.finish(seconds)
    logging.info("the callers' port is closed: %s", stopped)
    # Calls that must not be cancelled go on if their callers disconnect.
    await node.finish_calls(ends_at)
    stopped = await servers.operators.finish(_OPERATOR_FINISH_S)
    logging.info("the operators' port is closed: %s", stopped)


def _ignore_reload() -> None:
    logging.warning('SIGHUP is ignored: settings are read at the start')


async def _serve(settings: Settings) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    with ReloadSignal(loop, _ignore_reload):
        async with Node(settings) as node:
            servers = _listen(node)
            address = settings.listen.callers
            logging.info('%s serves at %s', settings.name, address)
            await stop_requested.wait()
            logging.info('%s is stopping', settings.name)
            await node.drain()
            await _finish(node, servers)
            await node.leave_fleet()
            logging.info('%s stopped', settings.name)


@app.default
def run(settings_path: str) -> int:
    """Run until SIGTERM or SIGINT.

    Parameters
    ----------
    settings_path
        The INI file with this daemon's settings.
    """
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    try:
        settings = settings_file.load(settings_path)
    except InvalidFileError as error:
        sys.stderr.write(f'{error}\n')
        return EXIT_INVALID
    try:
        asyncio.run(_serve(settings))
    except (OSError, zmq.ZMQError) as error:
        sys.stderr.write(f'port_in_use: {error}\n')
        return EXIT_IN_USE
    return 0


def main() -> None:
    """Run the daemon and exit with its exit code."""
    sys.exit(app(result_action='return_value'))


__all__ = ['EXIT_IN_USE', 'EXIT_INVALID', 'main', 'run']
