"""The subcommands, one module each."""

from __future__ import annotations
