"""The body of a request, which may be released before its holders end."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable


class Body:
    """Bytes that are held until ``release``.

    Calls are referred to by tasks, timers and tracebacks, which may be
    parts of reference cycles. The bytes must not live as long as those.
    """

    def __init__(
        self,
        data: bytes | bytearray,
        on_release: Callable[[], None] | None = None,
    ) -> None:
        """Call ``on_release`` once the bytes are not held any more."""
        self.data = data
        self._on_release = on_release

    def __len__(self) -> int:
        return len(self.data)

    def release(self) -> None:
        """Drop the bytes, as nothing can need them any more."""
        self.data = b''
        if self._on_release is not None:
            self._on_release()
            self._on_release = None


@functools.singledispatch
def read_body(body: object) -> bytes | bytearray:
    """Return the bytes of a body."""
    raise TypeError(type(body))


@read_body.register
def _read_bytes(body: bytes) -> bytes:
    return body


@read_body.register
def _read_held(body: Body) -> bytes | bytearray:
    return body.data


@functools.singledispatch
def release_body(body: object) -> None:
    """Drop the bytes of a body that can be released."""


@release_body.register
def _release_held(body: Body) -> None:
    body.release()


__all__ = ['Body', 'read_body', 'release_body']
