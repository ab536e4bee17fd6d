"""Small stand-ins for targets and the platform."""

from __future__ import annotations
