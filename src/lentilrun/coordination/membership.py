"""The agreed list of members, the roster, and its encoding."""

from __future__ import annotations

from typing import NamedTuple

import msgspec


class Member(NamedTuple):
    """A member: its name, its peer address and its data centre."""

    name: str
    address: str
    data_centre: str


class Roster(NamedTuple):
    """The members, as agreed in one generation."""

    members: tuple[Member, ...]

    def names(self) -> frozenset[str]:
        """Return the names of all members."""
        return frozenset(m.name for m in self.members)

    def find(self, name: str) -> Member | None:
        """Return the member of that name, or nothing."""
        matching = [m for m in self.members if m.name == name]
        return matching[0] if matching else None

    def add(self, member: Member) -> Roster:
        """Return the roster with a member added or replaced."""
        others = [m for m in self.members if m.name != member.name]
        return Roster(tuple(sorted([*others, member])))

    def remove(self, name: str) -> Roster:
        """Return the roster without a member."""
        return Roster(tuple(m for m in self.members if m.name != name))


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Roster)


def encode(roster: Roster) -> bytes:
    """Return a roster as bytes."""
    return _encoder.encode(roster)


def decode(body: bytes) -> Roster:
    """Return a roster from bytes; no bytes give an empty one.

    Raises ``msgspec.MsgspecError`` if the bytes are malformed.
    """
    if not body:
        return Roster(())
    return _decoder.decode(body)


__all__ = ['decode', 'encode', 'Member', 'Roster']
