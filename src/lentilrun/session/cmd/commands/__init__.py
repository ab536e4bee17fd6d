"""Subcommands that change something."""

from __future__ import annotations
