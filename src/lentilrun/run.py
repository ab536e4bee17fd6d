"""Entry point of the command line ``lentilrun``."""

from __future__ import annotations

import signal
import sys

import cyclopts

from .session.cmd.commands.apply import apply
from .session.cmd.queries.check import check
from .session.cmd.queries.digest import digest
from .session.cmd.queries.dump import dump
from .session.cmd.queries.explain import explain
from .session.cmd.queries.moves import moves
from .session.cmd.queries.secret import secret
from .session.cmd.queries.status import status
from .session.cmd.queries.usage import usage

app = cyclopts.App(
    name='lentilrun', help='Change and read the state of the router.'
)
for _command in (apply,):
    app.command(_command, group='Commands')
for _query in (check, digest, dump, explain, moves, secret, status, usage):
    app.command(_query, group='Queries')


def main() -> None:
    """Run the command line and exit with its exit code."""
    # Exit without a traceback if the reader of a pipe, such as head, closes
    # it early.
    signal.signal(signal.SIGPIPE, signal.SIG_DFL)
    sys.exit(app(result_action='return_value'))


__all__ = ['app', 'main']
