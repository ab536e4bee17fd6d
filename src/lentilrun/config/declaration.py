"""Parser of operators' files."""

from __future__ import annotations

from typing import Any
from typing import TYPE_CHECKING
from typing import TypeVar

from . import ini
from .configuration import Configuration
from .configuration import EMPTY
from .configuration import Key
from .configuration import Model
from .configuration import Move
from .configuration import Policy
from .configuration import Route
from .configuration import Target
from .configuration import TargetKind
from .configuration import Workspace
from .findings import FindingCollector

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from .ini import Section

_T = TypeVar('_T')
# Replaces an invalid address until the findings are raised.
_PLACEHOLDER_ADDRESS = ini.Address('0.0.0.0', 1)
_DEFAULT_MOVE_SHARE = 0.02
_MAX_MOVE_SHARE = 0.5
_NAMED_KINDS = (
    'workspace',
    'key',
    'model',
    'service',
    'target',
    'route',
    'move',
)


def _read_workspace(section: Section) -> Workspace:
    return Workspace(
        section.name,
        section.number('rate', low=0.001),
        section.number('burst', low=1.0),
        section.number('weight', 1.0, 0.001, 1000.0),
    )


def _read_key(section: Section) -> Key:
    return Key(
        section.name, section.text('workspace'), section.digest('digest')
    )


def _read_model(section: Section) -> Model:
    return Model(
        section.name,
        TargetKind(section.kind),
        section.text('version', 'v1'),
        section.integer('block_bytes', 8192, 16, 2**24),
        section.number('bytes_per_token', 4.0, 0.25, 64.0),
        section.number('prefill', 20_000.0, 1.0),
        section.integer('slots', 16, 1, 100_000),
    )


def _read_target(section: Section) -> Target:
    events = section.address('events', '')
    return Target(
        section.name,
        section.text('model'),
        section.address('address') or _PLACEHOLDER_ADDRESS,
        events,
        section.text('version', 'v1'),
        section.flag('fencing', False),
    )


def _read_route(section: Section) -> Route:
    path = section.text('path')
    if path and not path.startswith('/'):
        section.add_finding('path', 'bad_path', 'a path starts with /')
    return Route(
        section.name,
        path,
        section.text('model'),
        section.choice('access', ('open', 'keyed'), 'keyed') == 'open',
        section.names('workspaces'),
        section.flag('idempotent', False),
        section.number('deadline', 30.0, 0.01, 86_400.0),
        section.integer('priority', 1, 0, 9),
        section.number('cost', 1.0, 0.0, 1e9),
        section.integer('max_output', 1024, 1, 10**7),
    )


def _read_move(section: Section) -> Move:
    return Move(
        section.name,
        section.text('model'),
        section.text('version'),
        section.instant('by'),
        section.number('share', _DEFAULT_MOVE_SHARE, 0.0, _MAX_MOVE_SHARE),
    )


def _read_policy(section: Section) -> Policy:
    return Policy(
        section.number('wait_weight', 1.0, 0.0, 1000.0),
        section.number('recompute_weight', 1.0, 0.0, 1000.0),
    )


SECTION_READERS: dict[str, Callable[[Section], Any]] = {
    'workspace': _read_workspace,
    'key': _read_key,
    'model': _read_model,
    'service': _read_model,
    'target': _read_target,
    'route': _read_route,
    'move': _read_move,
    'policy': _read_policy,
}


class _FileReader:
    """Parses the sections of a file and collects findings."""

    def __init__(self, text: str, file: str) -> None:
        self.collector = FindingCollector()
        self._sections = ini.read_sections(text, file, self.collector)
        for section in self._sections:
            if section.kind not in (*_NAMED_KINDS, 'policy'):
                section.add_finding('', 'unknown_section', 'no such kind')

    def list_sections(self, *kinds: str) -> list[Section]:
        return [s for s in self._sections if s.kind in kinds]

    def read(
        self, read_section: Callable[[Section], _T], *kinds: str
    ) -> list[tuple[Section, _T]]:
        values = []
        for section in self.list_sections(*kinds):
            values.append((section, read_section(section)))
            section.check_keys()
        return values

    def read_policy(self) -> Policy:
        policy = EMPTY.policy
        for section in self.list_sections('policy'):
            policy = _read_policy(section)
            section.check_keys(needs_name=False)
        return policy


def _check_reference(
    section: Section, key: str, name: str, declared: Iterable[str]
) -> None:
    if name and name not in declared:
        section.add_finding(key, 'unknown_name', f'{name!r} is not declared')


def _read_keys(
    reader: _FileReader, workspaces: Iterable[str]
) -> dict[str, Key]:
    keys: dict[str, Key] = {}
    for section, key in reader.read(_read_key, 'key'):
        _check_reference(section, 'workspace', key.workspace, workspaces)
        if key.digest in keys:
            section.add_finding('digest', 'duplicate', 'digest stands twice')
        keys[key.digest] = key
    return keys


def _read_routes(
    reader: _FileReader, models: Iterable[str], workspaces: Iterable[str]
) -> list[Route]:
    routes = []
    seen_paths = set()
    for section, route in reader.read(_read_route, 'route'):
        _check_reference(section, 'model', route.model, models)
        for workspace in route.workspaces:
            _check_reference(section, 'workspaces', workspace, workspaces)
        if (route.path, route.model) in seen_paths:
            section.add_finding(
                'path', 'duplicate', 'path and model stand twice'
            )
        seen_paths.add((route.path, route.model))
        routes.append(route)
    return routes


def _read_moves(reader: _FileReader, models: Iterable[str]) -> dict[str, Move]:
    moves: dict[str, Move] = {}
    moved_models: set[str] = set()
    for section, move in reader.read(_read_move, 'move'):
        _check_reference(section, 'model', move.model, models)
        if move.model in moved_models:
            section.add_finding('model', 'duplicate', 'a model has one move')
        moved_models.add(move.model)
        moves[move.name] = move
    return moves


def parse(text: str, file: str) -> Configuration:
    """Parse an operators' file.

    Raises ``InvalidFileError`` with all findings.
    """
    reader = _FileReader(text, file)
    workspaces = {
        w.name: w for _, w in reader.read(_read_workspace, 'workspace')
    }
    models: dict[str, Model] = {}
    for section, model in reader.read(_read_model, 'model', 'service'):
        if model.name in models:
            section.add_finding('', 'duplicate', 'name stands twice')
        models[model.name] = model
    targets = {}
    for section, target in reader.read(_read_target, 'target'):
        _check_reference(section, 'model', target.model, models)
        targets[target.name] = target
    configuration = Configuration(
        workspaces,
        _read_keys(reader, workspaces),
        models,
        targets,
        tuple(_read_routes(reader, models, workspaces)),
        _read_moves(reader, models),
        reader.read_policy(),
    )
    reader.collector.raise_if_any()
    return configuration


__all__ = ['parse', 'SECTION_READERS']
