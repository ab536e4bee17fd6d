"""HTTP exchanges over pooled connections."""

from __future__ import annotations
