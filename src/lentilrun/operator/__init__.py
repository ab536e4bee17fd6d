"""HTTP interface for operators: commands and queries."""

from __future__ import annotations
