"""How an exchange of the client may fail."""

from __future__ import annotations

from ..errors import LentilrunError


class NotSentError(LentilrunError):
    """No connection was made, so no byte of the request was sent."""


class InterruptedExchangeError(LentilrunError):
    """The exchange failed after bytes of the request may have been sent."""


class ExchangeTimeoutError(InterruptedExchangeError):
    """The client itself ended the exchange at the request's timeout."""


__all__ = ['ExchangeTimeoutError', 'InterruptedExchangeError', 'NotSentError']
