"""Makes ``python -m lentilrun`` the command line."""

from __future__ import annotations

from .run import main

if __name__ == '__main__':
    main()
