"""The coordination parts, run between the daemons."""

from __future__ import annotations
