"""A randomized soak test of daemon processes under injected faults."""

from __future__ import annotations
