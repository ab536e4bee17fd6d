"""Messages and connections between the daemons."""

from __future__ import annotations
