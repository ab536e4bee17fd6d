"""Serving of callers: admission, dispatch to targets and relay."""

from __future__ import annotations
