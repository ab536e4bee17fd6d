"""Counters and histograms, exposed as text."""

from __future__ import annotations
