"""Settings of a daemon and the declarative files of operators."""

from __future__ import annotations
