"""Numbered usage records of workspaces."""

from __future__ import annotations
