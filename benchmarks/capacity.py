"""Renders the tables of ``docs/CAPACITY.md`` from the measured slopes.

Run ``python -m benchmarks.slopes`` first, then
``python -m benchmarks.capacity``; it replaces the text between the two
marks on the page.
"""

from __future__ import annotations

import pathlib
from typing import NamedTuple

import msgspec

from .measure import Slope

_FOLDER = pathlib.Path(__file__).parent
_PAGE = _FOLDER.parent / 'docs' / 'CAPACITY.md'
_BEGIN_MARK = '<!-- begin: rendered by python -m benchmarks.capacity -->'
_END_MARK = '<!-- end -->'

VMS = 930
TARGETS = 12_000
WORKSPACES = 1600
MODELS = 34
REQUESTS_PER_S = 44_000.0
TOKENS = 12_000_000.0
CACHE_EVENTS_PER_S = 3_300_000.0
CHANGES_PER_DAY = 12_000.0
DATA_CENTRES = 16
_DAY_S = 86_400.0
_CPU_BUDGET_CORES = 0.021
_TRAFFIC_BUDGET_BYTES_PER_S = 23_000.0
_MEMORY_BUDGET_BYTES = 128e6


class _Results(NamedTuple):
    idle_process_kib: float
    slopes: dict[str, Slope]


class Row(NamedTuple):
    """One row of a table: a quantity, its formula, value and budget."""

    quantity: str
    arithmetic: str
    value: float
    unit: str
    budget: float | None


def _load_results() -> _Results:
    raw = msgspec.json.decode((_FOLDER / 'slopes.json').read_bytes())
    slopes = [msgspec.convert(list(s.values()), Slope) for s in raw['slopes']]
    return _Results(raw['idle_process_kib'], {s.name: s for s in slopes})


def _extrapolate(slope: Slope, size: float) -> float:
    return slope.base + slope.slope * size


def _get_largest(slope: Slope) -> float:
    return slope.values[-1]


def _make_cpu_rows(results: _Results) -> list[Row]:
    slopes = results.slopes
    change = _get_largest(slopes['a change of one section'])
    heartbeat = slopes['a heartbeat coded and read'].slope
    mesh = _extrapolate(
        slopes['processor time of an idle VM in the mesh'], VMS
    )
    decision = _get_largest(slopes['a routing decision'])
    admission = _get_largest(slopes['an admission decision'])
    event = slopes['cache events taken in'].slope
    requests_per_vm = REQUESTS_PER_S / VMS
    return [
        Row(
            'configuration changes',
            f'{CHANGES_PER_DAY:.0f}/day x {change / 1000:.1f} ms',
            CHANGES_PER_DAY / _DAY_S * change / 1e6,
            'cores',
            _CPU_BUDGET_CORES,
        ),
        Row(
            'full mesh of beats, surveys and table reads',
            f'{mesh / 1000:.0f} ms/s at {VMS} VMs (line, see below)',
            mesh / 1e6,
            'cores',
            _CPU_BUDGET_CORES,
        ),
        Row(
            'of that, coding of beats alone',
            f'{VMS} x 2/s x {heartbeat:.1f} us',
            VMS * 2 * heartbeat / 1e6,
            'cores',
            _CPU_BUDGET_CORES,
        ),
        Row(
            'routing decisions',
            f'{requests_per_vm:.0f}/s x {decision:.0f} us',
            requests_per_vm * decision / 1e6,
            'cores',
            None,
        ),
        Row(
            'admission decisions',
            f'{requests_per_vm:.0f}/s x {admission:.1f} us',
            requests_per_vm * admission / 1e6,
            'cores',
            None,
        ),
        Row(
            'cache events, if every VM took every event',
            f'{CACHE_EVENTS_PER_S:.0f}/s x {event:.1f} us',
            CACHE_EVENTS_PER_S * event / 1e6,
            'cores',
            _CPU_BUDGET_CORES,
        ),
        Row(
            'cache events, if each event went to one VM',
            f'{CACHE_EVENTS_PER_S:.0f}/s / {VMS} x {event:.1f} us',
            CACHE_EVENTS_PER_S / VMS * event / 1e6,
            'cores',
            _CPU_BUDGET_CORES,
        ),
    ]


def _make_byte_rows(results: _Results) -> list[Row]:
    slopes = results.slopes
    sent = _get_largest(slopes['a configuration sent'])
    mesh = _extrapolate(slopes['peer bytes of an idle VM'], VMS)
    event = slopes['cache events received'].slope
    return [
        Row(
            'configuration changes, each sent whole once to a VM',
            f'{CHANGES_PER_DAY:.0f}/day x {sent / 1000:.0f} KB',
            CHANGES_PER_DAY / _DAY_S * sent,
            'bytes/s',
            _TRAFFIC_BUDGET_BYTES_PER_S,
        ),
        Row(
            'full mesh of beats',
            f'{VMS} x 2/s x 102 B',
            mesh,
            'bytes/s',
            _TRAFFIC_BUDGET_BYTES_PER_S,
        ),
        Row(
            'cache events, if each event went to one VM',
            f'{CACHE_EVENTS_PER_S:.0f}/s / {VMS} x {event:.0f} B',
            CACHE_EVENTS_PER_S / VMS * event,
            'bytes/s',
            _TRAFFIC_BUDGET_BYTES_PER_S,
        ),
    ]


def _make_memory_rows(results: _Results) -> list[Row]:
    slopes = results.slopes
    bucket = slopes['buckets in memory'].slope
    target = slopes['targets in memory'].slope
    configuration = _get_largest(slopes['a configuration in memory'])
    block = slopes['placements in memory'].slope
    idle_process = results.idle_process_kib * 1024
    total = (
        idle_process
        + WORKSPACES * bucket
        + TARGETS * target
        + 3 * configuration
    )
    total += 100_000 * block
    return [
        Row('an idle process', 'measured', idle_process, 'bytes', None),
        Row(
            'buckets',
            f'{WORKSPACES} x {bucket:.0f} B',
            WORKSPACES * bucket,
            'bytes',
            None,
        ),
        Row(
            'targets',
            f'{TARGETS} x {target:.0f} B',
            TARGETS * target,
            'bytes',
            None,
        ),
        Row(
            'the configuration, its text and the remembered sections',
            f'about 3 x {configuration / 1e6:.1f} MB (estimate)',
            3 * configuration,
            'bytes',
            None,
        ),
        Row(
            'placements, as bounded by remembered_prefixes',
            f'100,000 x {block:.0f} B',
            100_000 * block,
            'bytes',
            None,
        ),
        Row('together', 'sum', total, 'bytes', _MEMORY_BUDGET_BYTES),
        Row(
            'placements, if one VM held all cached blocks',
            f'280M x {block:.0f} B',
            280e6 * block,
            'bytes',
            _MEMORY_BUDGET_BYTES,
        ),
    ]


def _make_platform_rows(results: _Results) -> list[Row]:
    return [
        Row(
            'reads of agreed values by all VMs',
            f'{VMS} VMs x 2 rows / 2 s',
            VMS * 2 / 2.0,
            'reads/s',
            2000.0,
        ),
        Row(
            'writes of usage by all VMs',
            f'{VMS} VMs / 2 s',
            VMS / 2.0,
            'writes/s',
            300.0,
        ),
        Row(
            'writes for VMs that are replaced',
            '2,300/day x 2 (leave and join)',
            2300 * 2 / _DAY_S,
            'writes/s',
            300.0,
        ),
        Row(
            'writes for configuration changes',
            f'{CHANGES_PER_DAY:.0f}/day',
            CHANGES_PER_DAY / _DAY_S,
            'writes/s',
            300.0,
        ),
    ]


def _format_value(row: Row) -> str:
    if row.unit == 'bytes':
        return f'{row.value / 1e6:,.1f} MB'
    if row.unit == 'bytes/s':
        return f'{row.value / 1e3:,.1f} KB/s'
    if row.unit == 'cores':
        return f'{row.value:.2%} of a core'
    return f'{row.value:,.2f} {row.unit}'


def _format_budget_share(row: Row) -> str:
    if row.budget is None:
        return ''
    factor = row.value / row.budget
    return f'missed {factor:,.1f}x' if factor > 1.0 else f'{factor:.0%} of it'


def _render(title: str, rows: list[Row]) -> list[str]:
    lines = [
        f'### {title}',
        '',
        '| what | arithmetic | value | against the budget |',
        '|---|---|---|---|',
    ]
    for row in rows:
        cells = (row.quantity, row.arithmetic, _format_value(row))
        lines.append(f'| {" | ".join(cells)} | {_format_budget_share(row)} |')
    return [*lines, '']


def _render_slopes(results: _Results) -> list[str]:
    lines = [
        '### The measured slopes',
        '',
        '| what | sizes | values | slope | a line? |',
        '|---|---|---|---|---|',
    ]
    for slope in results.slopes.values():
        sizes = ', '.join(str(s) for s in slope.sizes)
        values = ', '.join(f'{v:,.4g}' for v in slope.values)
        linearity = 'bends up' if slope.curved else 'yes'
        slope_text = f'{slope.slope:.4g} {slope.unit} per {slope.per}'
        lines.append(
            f'| {slope.name} ({slope.unit}) | {sizes} | {values} '
            f'| {slope_text} | {linearity} |'
        )
    return [*lines, '']


def main() -> None:
    """Rewrite the rendered part of the page."""
    results = _load_results()
    lines = [
        *_render(
            'Processor time for control, per VM', _make_cpu_rows(results)
        ),
        *_render('Messages, per VM', _make_byte_rows(results)),
        *_render('Memory, per VM', _make_memory_rows(results)),
        *_render('The platform', _make_platform_rows(results)),
        *_render_slopes(results),
    ]
    page = _PAGE.read_text(encoding='utf-8')
    head = page.partition(_BEGIN_MARK)[0]
    tail = page.partition(_END_MARK)[2]
    body = '\n'.join(['', '', *lines])
    _PAGE.write_text(
        head + _BEGIN_MARK + body + _END_MARK + tail, encoding='utf-8'
    )


if __name__ == '__main__':
    main()
