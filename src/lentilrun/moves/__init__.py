"""Moves of targets from one version to the next."""

from __future__ import annotations
