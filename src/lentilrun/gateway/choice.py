"""The choice of a target for a call, from what this VM believes."""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from ..decisions.placement import choose
from ..decisions.placement import guess_share
from ..decisions.placement import Need

if TYPE_CHECKING:
    from ..decisions.facts import Prompt
    from ..decisions.facts import Service
    from ..decisions.placement import Choice
    from ..platform.node import Bounds
    from .call import Call
    from .peers import Peers
    from .targets import Targets
    from .targets import TargetState
    from .view import View

# From this age of newer weights on, answers on older ones lose worth.
_FRESH_WEIGHTS_S = 1.5
# Requests that start on older weights so long before the limit may still
# wait there.
_VERSION_MARGIN_S = 1.2


class Taken(NamedTuple):
    """A target that was chosen, and what the choice was made from."""

    state: TargetState
    service: Service
    choice: Choice
    need: Need
    weights: int | None
    salt: str


class Chooser:
    """Chooses targets of one service for one call."""

    def __init__(
        self,
        call: Call,
        service: str,
        view: View,
        targets: Targets,
        peers: Peers,
        bounds: Bounds,
    ) -> None:
        self._call = call
        self._service = service
        self._view = view
        self._targets = targets
        self._peers = peers
        self._bounds = bounds

    def choose(self, avoid: set[str]) -> Taken | None:
        """Return a target that can take the call now, if there is one.

        Those in ``avoid`` are taken only if there is no other.
        """
        configuration = self._view.configuration
        if configuration is None:
            return None
        service = configuration.services.get(self._service)
        if service is None:
            return None
        call = self._call
        prompt = call.prompt if service.engine is not None else None
        states = self._find_usable(service, avoid)
        if not states:
            return None
        need = Need(0, 0)
        if prompt is not None:
            need = Need(prompt.input_tokens, prompt.output_tokens)
        salts = [self._make_salt(s) for s in states]
        found = choose(
            self._targets.make_candidates(
                states,
                service,
                salts,
                prompt,
                self._find_stale(states),
                self._guess_places(states, prompt),
            ),
            need,
        )
        if found is None:
            return None
        state = self._targets.states[found.name]
        salt = self._make_salt(state)
        weights = self._weights(state)
        return Taken(state, service, found, need, weights, salt)

    @staticmethod
    def _guess_places(
        states: list[TargetState], prompt: Prompt | None
    ) -> dict[str, float]:
        """Return the targets that others send the shared parts to."""
        if prompt is None or len(prompt.parts) < 2:
            return {}
        names = [s.target.incarnation for s in states]
        return guess_share(prompt.parts[-2].identity, names)

    def _find_stale(self, states: list[TargetState]) -> frozenset[str]:
        """Return the targets whose weights cost an answer worth."""
        return frozenset(
            s.target.incarnation
            for s in states
            if self._stale_for(s) > _FRESH_WEIGHTS_S
        )

    def _stale_for(self, state: TargetState) -> float:
        weights = self._weights(state)
        prompt = self._call.prompt
        if weights is None or prompt is None:
            return 0.0
        return self._view.stale_for(prompt.model, weights)

    def _weights(self, state: TargetState) -> int | None:
        prompt = self._call.prompt
        if prompt is None or not state.versions:
            return None
        return state.versions.get(prompt.model)

    def _make_salt(self, state: TargetState) -> str:
        weights = self._weights(state)
        if weights is None:
            return ''
        workspace = self._call.workspace
        if workspace is not None and workspace.is_isolated:
            return f'{weights}/{workspace.name}'
        return str(weights)

    def _find_usable(
        self, service: Service, avoid: set[str]
    ) -> list[TargetState]:
        states = self._targets.usable(service.name, avoid)
        if not states and avoid:
            states = self._targets.usable(service.name)
        states = [s for s in states if self._has_room(s, service)]
        prompt = self._call.prompt
        if service.engine is None or prompt is None:
            return states
        # Weights that are too old to begin on are as good as none.
        oldest = self._bounds.version - _VERSION_MARGIN_S
        return [
            s
            for s in states
            if prompt.model in s.versions and self._stale_for(s) < oldest
        ]

    def _has_room(self, state: TargetState, service: Service) -> bool:
        members = self._peers.members()
        return state.running < max(2, service.max_connections // members)


__all__ = ['Chooser', 'Taken']
