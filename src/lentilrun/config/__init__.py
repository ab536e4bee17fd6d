"""Parsers of a daemon's settings and of operators' files."""

from __future__ import annotations
