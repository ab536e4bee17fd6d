"""Moves: canary roll-outs of a model's next version to its targets."""

from __future__ import annotations
