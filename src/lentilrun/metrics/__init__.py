"""Counters and histograms, exposed in the Prometheus text format."""

from __future__ import annotations
