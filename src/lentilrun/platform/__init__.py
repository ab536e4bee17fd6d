"""Adapter to the services, headers and settings of the platform."""

from __future__ import annotations
