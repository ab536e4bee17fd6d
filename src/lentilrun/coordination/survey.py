"""Surveys of the units that members hold, and grants of unassigned units.

A member answers a survey with its units and remembers only the newest
survey. It accepts grants only from the survey that it answered last, and
only once. A survey makes grants only after every member answered, so two
surveys can't both assign the same unit, whichever members run them.
"""

from __future__ import annotations

from typing import NamedTuple
from typing import TYPE_CHECKING

from .shares import UNITS_PER_BUCKET

if TYPE_CHECKING:
    from .shares import BucketShares


class SurveyQuestion(NamedTuple):
    """Asks a member for its units, as of a generation of the roster."""

    survey: str
    members_generation: int


class SurveyAnswer(NamedTuple):
    """The units that a member holds, and whether it accepts more."""

    survey: str
    units: dict[str, int]
    accepts_units: bool


class Grant(NamedTuple):
    """Sets a member's units of a bucket, if it holds ``units_before``."""

    bucket: str
    units_before: int
    units: int
    starts_full: bool


class SurveyGrants(NamedTuple):
    """Grants to one member, valid for one survey only."""

    survey: str
    grants: tuple[Grant, ...]


class SurveyRespondent:
    """Answers surveys and accepts grants on behalf of one member."""

    def __init__(self, shares: BucketShares) -> None:
        self._shares = shares
        self._answered_survey = ''
        self._accepts_units = True

    def answer(self, question: SurveyQuestion) -> SurveyAnswer:
        """Answer a survey; grants of earlier surveys become invalid."""
        self._answered_survey = question.survey
        return SurveyAnswer(
            question.survey, self._shares.count_units(), self._accepts_units
        )

    def accept(self, survey_grants: SurveyGrants) -> bool:
        """Apply grants of the survey answered last; return if applied.

        A grant whose ``units_before`` isn't what is held is skipped.
        """
        if survey_grants.survey != self._answered_survey:
            return False
        self._answered_survey = ''
        held = self._shares.count_units()
        for grant in survey_grants.grants:
            if held.get(grant.bucket) == grant.units_before:
                self._shares.set_units(
                    grant.bucket, grant.units, grant.starts_full
                )
        return True

    def drop_units(self) -> None:
        """Give up all units and accept no grants of the last survey."""
        self._answered_survey = ''
        self._shares.drop_units()

    def retire(self) -> None:
        """Give up all units and accept none from now on."""
        self.drop_units()
        self._accepts_units = False


def _divide_units(members: list[str]) -> dict[str, int]:
    if not members:
        return {}
    quotient, remainder = divmod(UNITS_PER_BUCKET, len(members))
    return {
        name: quotient + (1 if index < remainder else 0)
        for index, name in enumerate(sorted(members))
    }


class Survey:
    """One survey of all members, run by any of them."""

    def __init__(
        self, name: str, members: tuple[str, ...], buckets: tuple[str, ...]
    ) -> None:
        """Survey ``members`` about ``buckets``; ``name`` is unique."""
        self.name = name
        self._members = members
        self._buckets = buckets
        self._answers: dict[str, SurveyAnswer] = {}

    def add_answer(self, member: str, answer: SurveyAnswer) -> None:
        """Record the answer of a member; one to another survey is ignored."""
        if answer.survey == self.name and member in self._members:
            self._answers[member] = answer

    def is_complete(self) -> bool:
        """Return whether every member has answered."""
        return len(self._answers) == len(self._members)

    def count_unassigned_units(self) -> dict[str, int]:
        """Return the units that no member holds, by bucket."""
        unassigned = {}
        for bucket in self._buckets:
            held = sum(a.units.get(bucket, 0) for a in self._answers.values())
            unassigned[bucket] = UNITS_PER_BUCKET - held
        return unassigned

    def list_known_buckets(self) -> frozenset[str]:
        """Return the buckets known to all members that accept units."""
        recipients = [a for a in self._answers.values() if a.accepts_units]
        return frozenset(
            b for b in self._buckets if all(b in a.units for a in recipients)
        )

    def plan_grants(
        self, new_buckets: frozenset[str], issued_buckets: frozenset[str]
    ) -> dict[str, SurveyGrants]:
        """Return the grants for each member; empty before all answered.

        Members above an even share give units up; units that no member
        held when answering go to members below it. Only buckets in
        ``issued_buckets`` are planned; those in ``new_buckets``, of
        which no unit was ever granted before, start full.
        """
        if not self.is_complete():
            return {}
        recipients = [
            m for m in self._members if self._answers[m].accepts_units
        ]
        even_units = _divide_units(recipients)
        grants: dict[str, list[Grant]] = {name: [] for name in self._members}
        for bucket, unassigned in self.count_unassigned_units().items():
            if bucket not in issued_buckets:
                continue
            self._plan_bucket(
                bucket, unassigned, even_units, grants, bucket in new_buckets
            )
        return {
            name: SurveyGrants(self.name, tuple(member_grants))
            for name, member_grants in grants.items()
            if member_grants
        }

    def _plan_bucket(
        self,
        bucket: str,
        unassigned: int,
        even_units: dict[str, int],
        grants: dict[str, list[Grant]],
        starts_full: bool,
    ) -> None:
        for name in sorted(even_units):
            held = self._answers[name].units.get(bucket)
            if held is None:
                continue
            units = min(even_units[name], held + max(0, unassigned))
            if units == held:
                continue
            unassigned -= max(0, units - held)
            grants[name].append(Grant(bucket, held, units, starts_full))


__all__ = [
    'Grant',
    'Survey',
    'SurveyAnswer',
    'SurveyGrants',
    'SurveyQuestion',
    'SurveyRespondent',
]
