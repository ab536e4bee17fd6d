"""Coordination between the daemons: membership, agreement, loans."""

from __future__ import annotations
