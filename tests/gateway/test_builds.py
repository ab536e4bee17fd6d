"""What this build and the one in production say, the other one reads."""

from __future__ import annotations

import collections
from collections.abc import Iterator
import enum
from typing import Any

from buildsamples import encode_sample
from buildsamples import make_samples
from buildsamples import read_samples
from buildsamples import READERS
from lentilrun.gateway import messages
import msgspec
import productionbuild
import pytest

_NAMES = list(READERS)
# The fields that a shorter record may lack, as its writer knew none. No
# limit and no charge is among them; see ``docs/design/builds.md``.
_MAY_BE_MISSING = {
    'GossipMessage': [
        'announcements',
        'cleared_crashes',
        'rollouts',
        'rollout_outcomes',
        'has_lost_rows',
        'rate_limits',
        'is_cut_off',
        'leaving_targets',
    ],
    'LoadReport': ['prefill_by_urgency', 'paced_requests', 'pace_total'],
    'RateLimitReport': ['of_rejections'],
    'RelayedRows': ['unread_for'],
}


def _begins_with(fields: Any, known: Any) -> bool:
    """Return whether fields are those that are known, and maybe later."""
    if isinstance(known, list):
        return len(fields) >= len(known) and all(
            map(_begins_with, fields, known)
        )
    if isinstance(known, dict):
        return fields.keys() == known.keys() and all(
            _begins_with(fields[k], known[k]) for k in known
        )
    return fields == known


def _encode_fields(name: str, fields: Any) -> bytes:
    data = encode_sample(name, make_samples()[name])
    if READERS[name] is messages.decode:
        return data[:1] + msgspec.msgpack.encode(fields)
    return msgspec.json.encode(fields)


def _list_fields(record: msgspec.Struct) -> list[Any]:
    return [getattr(record, n) for n in record.__struct_fields__]


def _grow(value: Any) -> Any:
    """Return a value as a later build sends it: all records are longer."""
    if isinstance(value, msgspec.Struct):
        return [*map(_grow, _list_fields(value)), 'later', {'more': [1.5]}]
    if isinstance(value, list | tuple):
        return [_grow(v) for v in value]
    if isinstance(value, dict):
        return {k: _grow(v) for k, v in value.items()}
    return value.value if isinstance(value, enum.Enum) else value


def _list_records(value: Any) -> Iterator[msgspec.Struct]:
    """Yield a record and all records in it."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = _list_fields(value)
    if isinstance(value, list | tuple):
        for element in value:
            yield from _list_records(element)


@pytest.mark.parametrize('name', _NAMES)
def test_what_production_wrote_is_read(name: str) -> None:
    """This build reads all fields of the samples of the other one."""
    sample = productionbuild.read_samples()[name]
    read = read_samples({name: sample['bytes']})[name]
    assert _begins_with(read, sample['fields'])


def test_production_reads_what_is_written() -> None:
    """The build in production reads what this one sends and writes."""
    written = {
        name: encode_sample(name, record).hex()
        for name, record in make_samples().items()
    }
    expected = read_samples(written)
    read = productionbuild.run_samples('read', written)
    unread = {
        name: read[name]
        for name in written
        if not _begins_with(expected[name], read[name])
    }
    assert not unread


def test_samples_are_of_production() -> None:
    """The files hold what the build in production writes."""
    written = productionbuild.run_samples('write', {})
    assert written == productionbuild.read_samples()


@pytest.mark.parametrize('name', _NAMES)
def test_samples_set_all_fields(name: str) -> None:
    """A field that a sample does not set would go unchecked."""
    for record in _list_records(make_samples()[name]):
        defaults = dict(
            zip(
                reversed(record.__struct_fields__),
                reversed(record.__struct_defaults__),
                strict=False,
            )
        )
        unset = [
            n
            for n in record.__struct_fields__
            if getattr(record, n) in ('', 0, [], {}, None)
            or getattr(record, n) == defaults.get(n, msgspec.NODEFAULT)
        ]
        assert not unset, type(record).__name__


@pytest.mark.parametrize('name', [n for n in _NAMES if n != 'row/status'])
def test_longer_records_are_read(name: str) -> None:
    """What a later build adds to any record is ignored."""
    record = make_samples()[name]
    data = _encode_fields(name, _grow(record))
    assert READERS[name](data) == record


@pytest.mark.parametrize('name', [n for n in _NAMES if n != 'row/status'])
def test_shorter_records(name: str) -> None:
    """Only fields that may be missing are; else a record is rejected."""
    missing: dict[str, list[str]] = collections.defaultdict(list)
    for record in _list_records(make_samples()[name]):
        kind = type(record)
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(record))
        for count in range(len(fields)):
            try:
                msgspec.msgpack.decode(
                    msgspec.msgpack.encode(fields[:count]), type=kind
                )
            except msgspec.ValidationError:
                continue
            field = kind.__struct_fields__[count]
            if field not in missing[kind.__name__]:
                missing[kind.__name__].append(field)
    expected = {k: v for k, v in _MAY_BE_MISSING.items() if k in missing}
    assert {k: v for k, v in missing.items() if v} == expected
