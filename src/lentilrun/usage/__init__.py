"""Numbered records of what each workspace used."""

from __future__ import annotations
