"""Entry point of ``lentilrund``."""

from __future__ import annotations

from ..reloadsignal import hold_reload_signal


def main() -> None:
    """Run the daemon and exit with its exit code."""
    # Before the other modules are imported, which takes a while.
    hold_reload_signal()
    from . import run

    run.main()


__all__ = ['main']
