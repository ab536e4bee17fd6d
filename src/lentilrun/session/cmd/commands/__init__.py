"""Subcommands that change the configuration."""

from __future__ import annotations
