"""The processes of other VMs that have ended, whose messages may be late."""

from __future__ import annotations

from typing import NamedTuple

# The processes that ended first are forgotten first.
_MAX_PROCESSES = 4096


class VmProcess(NamedTuple):
    """A process of a VM, by the random number that it picked."""

    node: str
    incarnation: int


class EndedProcesses:
    """Remembers processes that left, or that another one has replaced."""

    def __init__(self) -> None:
        self._processes: dict[VmProcess, None] = {}

    def __contains__(self, process: VmProcess) -> bool:
        return process in self._processes

    def add(self, process: VmProcess) -> None:
        """Remember a process that has ended."""
        self._processes[process] = None
        while len(self._processes) > _MAX_PROCESSES:
            del self._processes[next(iter(self._processes))]


__all__ = ['EndedProcesses', 'VmProcess']
