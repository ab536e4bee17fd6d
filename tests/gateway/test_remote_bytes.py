"""What VMs send to other data centres, whose bytes are charged."""

from __future__ import annotations

import asyncio
import collections

from lentilrun.gateway.compression import BadCompressionError
from lentilrun.gateway.compression import compress
from lentilrun.gateway.compression import decompress
from lentilrun.gateway import messages
from lentilrun.gateway.messages import BadMessageError
from lentilrun.gateway.messages import RowRequest
from lentilrun.gateway.peers import STARTING_S
from lentilrun.standins import timeloop
from modelledfleets import LARGE_FLEET
from modelledfleets import ModelledFleet
from modelledfleets import SMALL_FLEET
from modelledfleets import STARTED_S
import pytest

_REQUEST = RowRequest('vm1', 'op', 7)
# A starting VM is to be known within a second, and one datagram may be lost.
_MAX_GREETINGS = 4


class _Recorder:
    """Counts the datagrams between data centres, by sender and recipient."""

    def __init__(self) -> None:
        self.counts: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.kinds: collections.Counter[bytes] = collections.Counter()

    def record(self, sender: str, recipient: str, data: bytes) -> bool:
        """Count a datagram and return that it isn't lost."""
        kind = data[:1]
        if sender[0] != recipient[0] and kind in (b'b', b'z'):
            self.counts[sender, recipient] += 1
            self.kinds[kind] += 1
        return False


def test_starting_vms_send_little_to_remote_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A fleet that starts does not send each VM's state to all VMs.

    Each of 77 VMs sent to all others four times a second for three
    seconds, which was a third of all bytes between data centres.
    """
    recorder = _Recorder()

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, LARGE_FLEET) as fleet:
            fleet.loses = recorder.record
            fleet.start()
            await asyncio.sleep(STARTING_S)
            hubs = {
                n
                for names in fleet.peers('a000').hubs().values()
                for n in names
            }
            assert all(
                node.peers.count_members() == sum(LARGE_FLEET.values())
                for node in fleet
            )
        most = max(
            count
            for (_, recipient), count in recorder.counts.items()
            if recipient not in hubs
        )
        assert most <= _MAX_GREETINGS

    timeloop.run(main)


@pytest.mark.parametrize(
    ('vms', 'kinds'), [(LARGE_FLEET, {b'z'}), (SMALL_FLEET, {b'b'})]
)
def test_hubs_compress_messages_to_remote_hubs(
    vms: dict[str, int], kinds: set[bytes], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Loads and prompts of a data centre crossed to others in full."""
    recorder = _Recorder()

    async def main(loop: timeloop.TimeLoop) -> None:
        with ModelledFleet(loop, monkeypatch, vms) as fleet:
            fleet.start()
            await asyncio.sleep(STARTED_S)
            fleet.loses = recorder.record
            await asyncio.sleep(2.0)
            assert not any(n.peers.unreadable.count for n in fleet)

    timeloop.run(main)
    assert set(recorder.kinds) == kinds


def test_compressed_messages_are_read() -> None:
    """What is compressed arrives as it was."""
    data = messages.encode_compressed(_REQUEST)
    assert messages.decode(data) == _REQUEST


@pytest.mark.parametrize(
    'data',
    [
        b'',
        b'no zlib',
        compress(messages.encode(_REQUEST))[:-3],
        compress(bytes(2 << 20)),
        compress(compress(b'')),
    ],
    ids=['empty', 'other bytes', 'truncated', 'too large', 'nested'],
)
def test_bad_compression_is_no_message(data: bytes) -> None:
    """A datagram of any content is dropped, and uses bounded memory."""
    with pytest.raises(BadMessageError):
        messages.decode(b'z' + data)


def test_decompression_is_bounded() -> None:
    """Few bytes can't become many megabytes."""
    with pytest.raises(BadCompressionError):
        decompress(compress(bytes(64 << 20)))
