"""The port for callers: admission, dispatch and relay."""

from __future__ import annotations
