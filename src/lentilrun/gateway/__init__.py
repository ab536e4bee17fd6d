"""The daemon on the users' platform: its entrance, state and duties."""

from __future__ import annotations
