"""Clients that begin to send a request and then stall.

The head of each is as long as the limits allow, and a part of its body
follows. They have no API key, and an address that other clients don't have.
One that is refused or closed connects again.
"""

from __future__ import annotations

import asyncio
import contextlib
import sys

from lentilrun.standins.configuration import HOST

_ADDRESS = '127.0.0.2'
_BODY_BYTES = 2000
_SENT_BYTES = 1000
# ``max-header-bytes`` is 16,384.
_MAX_HEAD_BYTES = 15_500
_STALL_S = 20.0
_RETRY_S = 0.5
_BATCH = 20
_BATCH_PAUSE_S = 0.03


def _make_head(number: int) -> bytes:
    """Return a head with as many short headers as there is room for."""
    lines = [
        'POST /plain/x HTTP/1.1',
        f'Host: {HOST}',
        f'X-Request-Id: u{number:05d}',
        'X-Deadline-Ms: 30000',
        f'Content-Length: {_BODY_BYTES}',
    ]
    size = 0
    while size < _MAX_HEAD_BYTES - 300:
        line = f'X-Note-{len(lines)}: {"n" * 30}'
        lines.append(line)
        size += len(line) + 2
    head = '\r\n'.join([*lines, '', '']).encode()
    assert len(head) <= _MAX_HEAD_BYTES
    return head


async def _upload(port: int, number: int) -> None:
    head = _make_head(number)
    while True:
        with contextlib.suppress(OSError, TimeoutError):
            reader, writer = await asyncio.open_connection(
                '127.0.0.1', port, local_addr=(_ADDRESS, 0)
            )
            try:
                writer.write(head + b'x' * _SENT_BYTES)
                async with asyncio.timeout(_STALL_S):
                    # A refusal or a close ends the wait.
                    await reader.read(1)
            finally:
                writer.transport.abort()
        await asyncio.sleep(_RETRY_S)


async def _main() -> None:
    port, count = sys.argv[1:]
    tasks = []
    for number in range(int(count)):
        tasks.append(asyncio.create_task(_upload(int(port), number)))
        if number % _BATCH == 0:
            await asyncio.sleep(_BATCH_PAUSE_S)
    await asyncio.gather(*tasks)


if __name__ == '__main__':
    asyncio.run(_main())
