"""Runs the command line as ``python -m lentilrun``."""

from __future__ import annotations

from .run import main

if __name__ == '__main__':
    main()
