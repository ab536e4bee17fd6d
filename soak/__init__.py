"""A randomized soak: the daemons as processes, faults from outside."""

from __future__ import annotations
