"""Entry point of ``python -m soak``."""

from __future__ import annotations

import sys

from .run import app

sys.exit(app(result_action='return_value'))
