"""Coordination of processes: leases, claims, agreement, shared limits."""

from __future__ import annotations
