"""The daemon on the users' platform: its ports, state and tasks."""

from __future__ import annotations
