"""``lentilrun secret``."""

from __future__ import annotations

import sys

import zmq

from ...exits import Exit


def secret() -> int:
    """Print a new secret for a fleet, to be shared by its daemons."""
    _, made = zmq.curve_keypair()
    sys.stdout.write(made.decode() + '\n')
    return Exit.DONE


__all__ = ['secret']
