"""HTTP client with pooled connections."""

from __future__ import annotations
