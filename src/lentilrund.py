"""Runs the daemon from a checkout, without an installed package."""

from __future__ import annotations

import sys

from lentilrun.reloadsignal import hold_reload_signal

if __name__ == '__main__':
    # Before the other modules are imported, which takes a while.
    hold_reload_signal()
    from lentilrun.gateway.run import main

    sys.exit(main())
