"""Size of a hub's gossip message, and processor time to encode and decode.

The message is that of a hub of 195 VMs to another VM: 120 targets, 60
workspaces and as many reports as a hub passes on in a second. Run with the
sources of another build on ``PYTHONPATH`` to compare.
"""

from __future__ import annotations

import sys
import time

from lentilrun.decisions.facts import PromptSegment
from lentilrun.decisions.quarantine import Crash
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.gateway.messages import decode
from lentilrun.gateway.messages import encode
from lentilrun.gateway.messages import GossipMessage
from lentilrun.gateway.messages import LoadReport
from lentilrun.gateway.messages import PrefillReport
from lentilrun.gateway.messages import RateLimitReport
from lentilrun.gateway.messages import Scope
from lentilrun.gateway.messages import StoredSegmentReport

_TARGETS = 120
_WORKSPACES = 60
_REPORTS = 150
_CRASHES = 10
_USE_SECONDS = 30
_RUNS = 400
_ROUNDS = 9
_US_PER_S = 1e6


def make_message() -> GossipMessage:
    """Return the message of a hub to a VM of its data centre."""
    names = [f'{n:016x}' for n in range(_TARGETS)]
    workspaces = [f'workspace-{n}' for n in range(_WORKSPACES)]
    return GossipMessage(
        'hub1',
        Scope.FLEET,
        'dc-a',
        2.0,
        '10.0.0.1',
        7000,
        1 << 47,
        False,
        0,
        False,
        [
            LoadReport(
                *(n, 12, 2, 2400.0, 90000.0, 1.75, 310.25, 0.5),
                {0: 400.0, 5: 2000.0},
                12.5,
                13.75,
            )
            for n in names
        ],
        [],
        [],
        [
            Crash(Suspect(SuspectKind.SEGMENT, f'{n:08x}'), f'{names[n]}/1')
            for n in range(_CRASHES)
        ],
        {w: 123456.0 for w in workspaces},
        {w: list(range(1000, 1000 + _USE_SECONDS)) for w in workspaces},
        {'op': 1000000000042, 'servers': 1000000000043},
        [StoredSegmentReport('salt', f'{n:08x}') for n in range(_REPORTS)],
        [
            PrefillReport(
                names[n % _TARGETS],
                'salt',
                tuple(PromptSegment(f'{n:08x}{i}', 800) for i in range(3)),
            )
            for n in range(_REPORTS)
        ],
        rate_limits=[RateLimitReport(n, 12.5, 0.5) for n in names],
    )


def _time_encoding(message: GossipMessage) -> float:
    started_at = time.process_time()
    for _ in range(_RUNS):
        encode(message)
    return time.process_time() - started_at


def _time_decoding(data: bytes) -> float:
    started_at = time.process_time()
    for _ in range(_RUNS):
        decode(data)
    return time.process_time() - started_at


def main() -> int:
    """Print the size in bytes, and the least times in microseconds."""
    message = make_message()
    data = encode(message)
    encoding = min(_time_encoding(message) for _ in range(_ROUNDS))
    decoding = min(_time_decoding(data) for _ in range(_ROUNDS))
    sys.stdout.write(
        f'{len(data)} bytes,'
        f' encode {encoding / _RUNS * _US_PER_S:.1f} us,'
        f' decode {decoding / _RUNS * _US_PER_S:.1f} us\n'
    )
    return 0


if __name__ == '__main__':
    sys.exit(main())
