"""Raw values that the store sends without a length."""

from __future__ import annotations

import asyncio

from earlytargets import EarlyTarget
from earlytargets import Ending
from lentilrun.errors import PlatformError
from lentilrun.platform.objects import ObjectStore
from lentilrun.platform.service import PlatformService
from lentilrun.platform.tables import HttpTable
from lentilrun.web.client import Client
import pytest

_TAG = b'ETag: "3"\r\nConnection: close\r\n'
_VALUE = b'a value'
# The head's own lines and the body, and whether the value is known as whole.
_RESPONSES = {
    'length': (b'Content-Length: 7\r\n', _VALUE, True),
    'chunks': (
        b'Transfer-Encoding: chunked\r\n',
        b'7\r\na value\r\n0\r\n\r\n',
        True,
    ),
    'neither': (b'', _VALUE, False),
    'neither, cut before its first byte': (b'', b'', False),
}


@pytest.mark.parametrize('name', _RESPONSES)
def test_value_that_ends_with_its_connection(name: str) -> None:
    """A store that was killed as it sent a value gave a part of it."""
    lines, data, is_whole = _RESPONSES[name]

    async def body() -> None:
        packet = b'HTTP/1.1 200 OK\r\n' + _TAG + lines + b'\r\n' + data
        target = EarlyTarget((packet,), Ending.FIN, reads_body=True)
        async with target:
            with Client() as client:
                service = PlatformService(client, target.address)
                table, objects = HttpTable(service), ObjectStore(service)
                if is_whole:
                    assert (await table.read('k')).value == _VALUE
                    assert await objects.read('k') == _VALUE
                    return
                with pytest.raises(PlatformError):
                    await table.read('k')
                with pytest.raises(PlatformError):
                    await objects.read('k')

    asyncio.run(body())
