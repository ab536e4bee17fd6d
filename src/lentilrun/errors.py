"""Errors with stable codes."""

from __future__ import annotations

import enum


class RunStatus(enum.StrEnum):
    """Whether a request ran at a target, as far as is known."""

    NOT_RUN = 'not run'
    UNKNOWN = 'outcome unknown'


class Code(enum.StrEnum):
    """Stable error codes, sent to callers and operators."""

    BAD_REQUEST = 'bad_request'
    BODY_TOO_LARGE = 'body_too_large'
    UNKNOWN_ROUTE = 'unknown_route'
    UNKNOWN_MODEL = 'unknown_model'
    KEY_MISSING = 'key_missing'
    KEY_REFUSED = 'key_refused'
    WORKSPACE_REFUSED = 'workspace_refused'
    RATE_EXCEEDED = 'rate_exceeded'
    OVERLOADED = 'overloaded'
    VM_STALE = 'vm_stale'
    VM_LEAVING = 'vm_leaving'
    NOT_CONFIGURED = 'not_configured'
    NO_TARGET = 'no_target'
    QUARANTINED = 'quarantined'
    CLAIM_UNAVAILABLE = 'claim_unavailable'
    CLAIM_RUNNING = 'claim_running'
    CLAIM_MISMATCH = 'claim_mismatch'
    TARGET_FAILED = 'target_failed'
    STREAM_BROKEN = 'stream_broken'
    STREAM_UNKNOWN = 'stream_unknown'
    DEADLINE = 'deadline'
    KEY_WITHDRAWN = 'key_withdrawn'
    INVALID_FILE = 'invalid_file'
    CONFLICT = 'conflict'
    MAJORITY_MISSING = 'majority_missing'
    PLATFORM_UNAVAILABLE = 'platform_unavailable'
    OPERATOR_REFUSED = 'operator_refused'
    PORT_IN_USE = 'port_in_use'
    INTERNAL = 'internal'


class LentilrunError(Exception):
    """Base of all errors that carry a code."""

    code = Code.INTERNAL

    def __init__(self, message: str, code: Code | None = None) -> None:
        super().__init__(message)
        if code is not None:
            self.code = code


class CallError(LentilrunError):
    """An error sent to a caller.

    It has an HTTP status and says whether the request ran at a target.
    """

    def __init__(
        self,
        code: Code,
        message: str,
        status: int,
        run_status: RunStatus = RunStatus.NOT_RUN,
        retry_after: float | None = None,
    ) -> None:
        """Create the error; ``retry_after`` is in seconds."""
        super().__init__(message, code)
        self.status = status
        self.run_status = run_status
        self.retry_after = retry_after


class PlatformError(LentilrunError):
    """The platform did not respond; the effect of a write is unknown."""

    code = Code.PLATFORM_UNAVAILABLE


class ConflictError(LentilrunError):
    """A conditional write found another version of its row."""

    code = Code.CONFLICT


__all__ = [
    'CallError',
    'Code',
    'ConflictError',
    'LentilrunError',
    'PlatformError',
    'RunStatus',
]
