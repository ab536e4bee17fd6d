"""Routing decisions as pure functions and counters, without I/O."""

from __future__ import annotations
