"""Subcommands that only read."""

from __future__ import annotations
