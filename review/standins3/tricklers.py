"""Clients that send the body of a request byte by byte, and never finish.

They have no API key, and an address of loopback that other clients don't
have. One that is refused or closed connects again.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

from lentilrun.standins.configuration import HOST

_ADDRESS = '127.0.0.2'
_BODY_BYTES = 2000
_HEAD = (
    f'POST /plain/x HTTP/1.1\r\nHost: {HOST}\r\n'
    'X-Request-Id: {}\r\nX-Deadline-Ms: 60000\r\n'
    f'Content-Length: {_BODY_BYTES}\r\n\r\n'
)
_RETRY_S = 0.5


class Trickler:
    """Keeps one connection with a request whose body is on its way."""

    closed = 0

    def __init__(self, port: int, number: int, pause: float) -> None:
        self._port = port
        self._name = f't{number:05d}'
        self._pause = pause

    async def run(self) -> None:
        """Send until cancelled."""
        while True:
            with contextlib.suppress(OSError):
                await self._send()
            Trickler.closed += 1
            await asyncio.sleep(_RETRY_S)

    async def _send(self) -> None:
        _, writer = await asyncio.open_connection(
            '127.0.0.1', self._port, local_addr=(_ADDRESS, 0)
        )
        try:
            writer.write(_HEAD.format(self._name).encode())
            while not writer.is_closing():
                writer.write(b'x')
                await writer.drain()
                await asyncio.sleep(self._pause)
        finally:
            writer.transport.abort()


async def _main() -> None:
    port, count, pause = sys.argv[1:]
    tasks = []
    for number in range(int(count)):
        trickler = Trickler(int(port), number, float(pause))
        tasks.append(asyncio.create_task(trickler.run()))
        if number % 20 == 0:
            await asyncio.sleep(0.02)
    while True:
        await asyncio.sleep(1.0)
        print('closed by the router:', Trickler.closed, flush=True)


if __name__ == '__main__':
    asyncio.run(_main())
