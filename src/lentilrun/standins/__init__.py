"""Stand-ins for targets, the platform and the network, for tests."""

from __future__ import annotations
