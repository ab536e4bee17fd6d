"""``lentilrun secret``."""

from __future__ import annotations

import sys

import zmq

from ...exits import Exit


def secret() -> int:
    """Print a new secret for a fleet, which its daemons share."""
    _, secret_key = zmq.curve_keypair()
    sys.stdout.write(secret_key.decode() + '\n')
    return Exit.DONE


__all__ = ['secret']
