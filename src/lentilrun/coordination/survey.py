"""Surveys: who holds which units, and giving out those that nobody holds.

A member answers a survey with its units and remembers only the newest
survey. It takes an issue only from the survey that it answered last, and
only once. A survey issues only after every member answered, so two
surveys can't both give out the same unit, whoever runs them.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from .shares import UNITS_PER_BUCKET

if TYPE_CHECKING:
    from .shares import BucketShares


class SurveyQuestion(NamedTuple):
    """Asks a member for its units; ``members_generation`` is a generation."""

    survey: str
    members_generation: int


class SurveyAnswer(NamedTuple):
    """The units that a member holds, and whether it takes more."""

    survey: str
    units: dict[str, int]
    accepts_units: bool


class Grant(NamedTuple):
    """The units of a bucket that a member is to hold from now on."""

    bucket: str
    units_before: int
    units: int
    starts_full: bool


class SurveyGrants(NamedTuple):
    """Grants to one member, good for one survey only."""

    survey: str
    grants: tuple[Grant, ...]


class SurveyRespondent:
    """The side of a survey that every member plays."""

    def __init__(self, shares: BucketShares) -> None:
        self._shares = shares
        self._survey = ''
        self._takes = True

    def answer(self, question: SurveyQuestion) -> SurveyAnswer:
        """Answer a survey; issues of all others are void from now on."""
        self._survey = question.survey
        return SurveyAnswer(
            question.survey, self._shares.count_units(), self._takes
        )

    def accept(self, issue: SurveyGrants) -> bool:
        """Take an issue of the survey answered last; return if taken."""
        if issue.survey != self._survey:
            return False
        self._survey = ''
        held = self._shares.count_units()
        for grant in issue.grants:
            if held.get(grant.bucket) == grant.units_before:
                self._shares.set_units(
                    grant.bucket, grant.units, grant.starts_full
                )
        return True

    def drop_units(self) -> None:
        """Forget the survey and give up all units."""
        self._survey = ''
        self._shares.drop_units()

    def retire(self) -> None:
        """Give up all units and take none from now on."""
        self.drop_units()
        self._takes = False


def _divide(members: list[str]) -> dict[str, int]:
    if not members:
        return {}
    each, extra = divmod(UNITS_PER_BUCKET, len(members))
    return {
        name: each + (1 if index < extra else 0)
        for index, name in enumerate(sorted(members))
    }


class Survey:
    """One survey over all members, run by any one of them."""

    def __init__(
        self, name: str, members: tuple[str, ...], buckets: tuple[str, ...]
    ) -> None:
        """Survey ``members`` about ``buckets``; ``name`` is unique."""
        self.name = name
        self._members = members
        self._buckets = buckets
        self._answers: dict[str, SurveyAnswer] = {}

    def add_answer(self, member: str, answer: SurveyAnswer) -> None:
        """Take in an answer."""
        if answer.survey == self.name and member in self._members:
            self._answers[member] = answer

    def is_complete(self) -> bool:
        """Return whether every member answered."""
        return len(self._answers) == len(self._members)

    def count_unassigned_units(self) -> dict[str, int]:
        """Return the units that nobody holds, by bucket."""
        unheld = {}
        for bucket in self._buckets:
            held = sum(a.units.get(bucket, 0) for a in self._answers.values())
            unheld[bucket] = UNITS_PER_BUCKET - held
        return unheld

    def list_known_buckets(self) -> frozenset[str]:
        """Return the buckets that every member which takes units knows."""
        takers = [a for a in self._answers.values() if a.accepts_units]
        return frozenset(
            b for b in self._buckets if all(b in a.units for a in takers)
        )

    def plan_grants(
        self, new: frozenset[str], issued: frozenset[str]
    ) -> dict[str, SurveyGrants]:
        """Return the issue for each member; empty before all answered.

        Members above their even part give units up; what nobody held
        when they answered goes to those below it. ``issued`` buckets
        are planned; the ``new`` ones of them, of which nothing was ever
        issued before, start full.
        """
        if not self.is_complete():
            return {}
        takers = [m for m in self._members if self._answers[m].accepts_units]
        even = _divide(takers)
        grants: dict[str, list[Grant]] = {name: [] for name in self._members}
        for bucket, unheld in self.count_unassigned_units().items():
            if bucket not in issued:
                continue
            self._plan_bucket(bucket, unheld, even, grants, bucket in new)
        return {
            name: SurveyGrants(self.name, tuple(found))
            for name, found in grants.items()
            if found
        }

    def _plan_bucket(
        self,
        bucket: str,
        unheld: int,
        even: dict[str, int],
        grants: dict[str, list[Grant]],
        full: bool,
    ) -> None:
        for name in sorted(even):
            held = self._answers[name].units.get(bucket)
            if held is None:
                continue
            units = min(even[name], held + max(0, unheld))
            if units == held:
                continue
            unheld -= max(0, units - held)
            grants[name].append(Grant(bucket, held, units, full))


__all__ = [
    'Grant',
    'Survey',
    'SurveyAnswer',
    'SurveyGrants',
    'SurveyQuestion',
    'SurveyRespondent',
]
