"""Parts for agreeing between processes, to be embedded by others."""

from __future__ import annotations
