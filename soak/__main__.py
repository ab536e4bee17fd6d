"""Runs the soak: ``python -m soak --help``."""

from __future__ import annotations

import sys

from .run import app

sys.exit(app(result_action='return_value'))
