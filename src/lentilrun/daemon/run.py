"""Entry point of ``lentilrund``."""

from __future__ import annotations

import asyncio
import signal
import ssl
import sys
from typing import TYPE_CHECKING

from absl import logging
import cyclopts
from tornado.httpserver import HTTPServer
import zmq

from ..config.findings import InvalidFileError
from ..config import settings as settings_file
from ..entry import handlers
from ..operator import handlers as operator_handlers
from .node import Node

if TYPE_CHECKING:
    from ..config.settings import Certificate
    from ..config.settings import Settings

EXIT_INVALID = 2
EXIT_IN_USE = 3
_MAX_HEADER_BYTES = 64 * 1024
_UNLIMITED_BYTES = 2**60
_IDLE_GRACE_S = 0.2
_MAX_OPERATOR_BODY_BYTES = 32 * 1024 * 1024

app = cyclopts.App(name='lentilrund', help='Run the router on this VM.')


def _make_tls(certificate: Certificate | None) -> ssl.SSLContext | None:
    if certificate is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate.chain, certificate.key)
    return context


def _listen(node: Node) -> list[HTTPServer]:
    settings = node.settings
    caller_server = HTTPServer(
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
        ssl_options=_make_tls(settings.certificate),
        max_header_size=_MAX_HEADER_BYTES,
        # The handlers enforce the limit, so that the error response can say
        # what is wrong.
        max_body_size=_UNLIMITED_BYTES,
        idle_connection_timeout=600.0,
        body_timeout=60.0,
    )
    operator_server = HTTPServer(
        operator_handlers.make_application(node),
        max_body_size=_MAX_OPERATOR_BODY_BYTES,
    )
    address = settings.listen.callers
    caller_server.listen(address.port, address.host, backlog=1024)
    address = settings.listen.operators
    operator_server.listen(address.port, address.host)
    return [caller_server, operator_server]


async def _wait_until_idle(node: Node) -> None:
    """Wait until no call is in flight, before and after ``_IDLE_GRACE_S``.

    Requests may still arrive on connections that are open.
    """
    while True:
        await node.in_flight.wait_idle()
        await asyncio.sleep(_IDLE_GRACE_S)
        if node.in_flight.is_idle():
            return


async def _serve(settings: Settings) -> None:
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    async with Node(settings) as node:
        caller_server, operator_server = _listen(node)
        logging.info('%s serves at %s', settings.name, settings.listen.callers)
        await stop_requested.wait()
        logging.info('%s is stopping', settings.name)
        await node.drain()
        caller_server.stop()
        await _wait_until_idle(node)
        await node.leave_fleet()
        await caller_server.close_all_connections()
        operator_server.stop()
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
