"""Runs the daemon from a checkout, without an installed package."""

from __future__ import annotations

import sys

from lentilrun.gateway.run import main

if __name__ == '__main__':
    sys.exit(main())
