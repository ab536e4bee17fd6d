"""Selection of a target for each request."""

from __future__ import annotations
