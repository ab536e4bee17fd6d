"""What targets state of themselves in the responses to attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .ratelimits import StatedLimits

if TYPE_CHECKING:
    from ..platform.dialect import ResponseHead
    from .context import DispatchContext
    from .targetstate import TargetState


class AttemptStatements:
    """Records what the target of one attempt states, or no longer states."""

    def __init__(
        self, context: DispatchContext, request_id: str, state: TargetState
    ) -> None:
        """The request is sent now, by the clock."""
        self._context = context
        self._request_id = request_id
        self._state = state
        self._sent_at = context.clock.now()

    def record(self, head: ResponseHead) -> None:
        """Record the statements of a response, unless it is of another."""
        if not self._is_of_target(head):
            return
        if head.is_leaving:
            self._record_leaving()
        if head.misdirected:
            return
        if head.not_run and head.rest:
            self._record_rest(head.rest)
        stated = StatedLimits(head.rate_limit, head.rejection_limit)
        self._context.rate_limits.record_response(
            self._state, stated, self._sent_at, head.is_signed
        )

    def _is_of_target(self, head: ResponseHead) -> bool:
        if head.incarnation:
            return head.incarnation == self._state.target.incarnation
        return not head.misdirected

    def _record_leaving(self) -> None:
        context = self._context
        incarnation = self._state.target.incarnation
        if context.targets.record_leaving(incarnation):
            context.peers.request_send()
            context.log.write(
                'target_leaving', id=self._request_id, target=incarnation
            )

    def _record_rest(self, seconds: float) -> None:
        context = self._context
        self._state.statements.record_rest(context.clock.now(), seconds)
        context.log.write(
            'target_rests',
            id=self._request_id,
            target=self._state.target.incarnation,
            seconds=seconds,
        )


__all__ = ['AttemptStatements']
