"""Clients of the services that the platform gives."""

from __future__ import annotations
