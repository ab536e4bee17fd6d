"""Writes and reads every format that outlives a process, for any build.

Run as a script with the sources of a build on ``PYTHONPATH``: ``write``
prints a sample of each format with all fields set, ``read`` prints what the
build reads from the samples on standard input. It names only what each
build has. Samples of a new build in production are made by

    git archive COMMIT src | tar x -C DIRECTORY
    PYTHONPATH=DIRECTORY/src python tests/gateway/buildsamples.py write \\
        > tests/gateway/samples/COMMIT.json
"""

from __future__ import annotations

import json
import sys
from typing import Any
from typing import TYPE_CHECKING

from lentilrun.decisions.facts import PromptSegment
from lentilrun.decisions.quarantine import Crash
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.gateway import discovery
from lentilrun.gateway import forwarding
from lentilrun.gateway import messages
from lentilrun.gateway import orderlease
from lentilrun.gateway import rolloutdriver
from lentilrun.gateway import usage
from lentilrun.platform.rollouts import encode_status
from lentilrun.platform.rollouts import RolloutState
import msgspec
from tornado.httputil import HTTPHeaders

if TYPE_CHECKING:
    from collections.abc import Callable


def make_gossip() -> messages.GossipMessage:
    """Return a gossip message with all fields set."""
    crash = Crash(Suspect(SuspectKind.SEGMENT, 'beef'), 'e1/1700000000000')
    return messages.GossipMessage(
        'vm2',
        messages.Scope.DATA_CENTRE,
        'dc-a',
        2.5,
        '10.0.0.2',
        7000,
        123456789012345,
        True,
        3,
        True,
        [
            messages.LoadReport(
                *('e1', 4, 2, 300.5, 400.25, 1.5, 6.25, 0.5),
                {0: 100.5, 5: 200.0},
                7.5,
                8.25,
            )
        ],
        [messages.WeightsLoadReport('e2', 1.25)],
        [messages.WeightsVersionReport('e1', 'model', 7)],
        [crash],
        {'workspace': 1234.5},
        {'workspace': [10, 20, 30]},
        {'op': 1000000000042, 'servers': 1000000000043},
        [messages.StoredSegmentReport('salt', 'beef')],
        [messages.PrefillReport('e1', 'salt', (PromptSegment('ab', 800),))],
        [messages.AnnouncementReport('model', 8, 2.5)],
        [Crash(Suspect(SuspectKind.REQUEST, 'ff'), 'e3/5')],
        [messages.RolloutReport('app', 41, 'v2', 1, 12, 34, 'errors')],
        [
            messages.OutcomeReport(
                *('vm2', 9, 'app', 41, 'chat', 'e1', True, 1, 5, 6)
            )
        ],
        True,
        [messages.RateLimitReport('e1', 12.5, 0.75, True)],
        True,
        [messages.LeavingReport('e4', 1700000000001)],
    )


def make_samples() -> dict[str, Any]:
    """Return a record of each format, by the format's name."""
    row = messages.RelayedRow('config', b'{"a": 1}', 1000000000042, True)
    return {
        'gossip': make_gossip(),
        'relayed_rows': messages.RelayedRows(
            'vm2', 'op', 1000000000041, 1000000000042, [row], 0.5
        ),
        'row_request': messages.RowRequest('vm2', 'op', 1000000000041),
        'forwarded_call': forwarding.ForwardedCall('vm2', 42, 0.125, True),
        'row/vm': discovery._VmRow('10.0.0.2', 7000, 'dc-a', 2.5),
        'row/lease': orderlease._LeaseRow('vm2', 1000012, 1234.5),
        'row/usage': usage._UsageRow({'workspace': [10, 20]}, 1234.5),
        'row/rollout': rolloutdriver._RolloutRow(
            *(41, 'v2', RolloutState.ROLLED_BACK, 99.5, 'errors', ['v1'])
        ),
        'row/status': json.loads(encode_status(RolloutState.RUNNING, 'v2')),
    }


def _read_header(data: bytes) -> Any:
    headers = HTTPHeaders({forwarding._CALL_HEADER: data.decode()})
    call = forwarding.take_forwarded_call(headers)
    if call is None:
        raise ValueError('unreadable header')
    return call


READERS: dict[str, Callable[[bytes], Any]] = {
    'gossip': messages.decode,
    'relayed_rows': messages.decode,
    'row_request': messages.decode,
    'forwarded_call': _read_header,
    'row/vm': discovery._decoder.decode,
    'row/lease': orderlease._decoder.decode,
    'row/usage': usage._decoder.decode,
    'row/rollout': rolloutdriver._decoder.decode,
    'row/status': json.loads,
}


def encode_sample(name: str, record: Any) -> bytes:
    """Return a record as the build sends or writes it."""
    if READERS[name] is messages.decode:
        return messages.encode(record)
    return msgspec.json.encode(record)


def write_samples() -> dict[str, dict[str, Any]]:
    """Return each sample: bytes in hexadecimal, and what is read from them."""
    samples = {
        name: encode_sample(name, record).hex()
        for name, record in make_samples().items()
    }
    fields = read_samples(samples)
    return {
        name: {'bytes': data, 'fields': fields[name]}
        for name, data in samples.items()
    }


def read_samples(samples: dict[str, str]) -> dict[str, Any]:
    """Return the fields that are read from samples, or the error."""
    return {n: _read_sample(n, data) for n, data in samples.items()}


def _read_sample(name: str, data: str) -> Any:
    try:
        record = READERS[name](bytes.fromhex(data))
    except Exception as error:
        return f'unreadable: {error}'
    return json.loads(msgspec.json.encode(record))


def main() -> int:
    """Write samples, or read those on standard input."""
    output: dict[str, Any]
    if sys.argv[1] == 'write':
        output = write_samples()
    else:
        output = read_samples(json.load(sys.stdin))
    json.dump(output, sys.stdout, indent=1)
    sys.stdout.write('\n')
    return 0


if __name__ == '__main__':
    sys.exit(main())
