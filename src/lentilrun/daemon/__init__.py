"""The daemon, a process that runs on every VM."""

from __future__ import annotations
