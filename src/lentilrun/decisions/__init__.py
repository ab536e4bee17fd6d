"""Decisions without input or output: who waits, where, and who is refused."""

from __future__ import annotations
