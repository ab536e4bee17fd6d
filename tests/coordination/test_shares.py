"""Bucket shares never exceed the bucket, whichever messages are lost."""

from __future__ import annotations

from typing import NamedTuple

from hypothesis import settings
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis import strategies as st
from lentilrun.coordination.clock import ManualClock
from lentilrun.coordination.shares import BucketShares
from lentilrun.coordination.shares import LOAN_TTL_S
from lentilrun.coordination.shares import LoanRequest
from lentilrun.coordination.shares import RateLimit
from lentilrun.coordination.shares import UNITS_PER_BUCKET
from lentilrun.coordination.survey import Survey
from lentilrun.coordination.survey import SurveyGrants
from lentilrun.coordination.survey import SurveyQuestion
from lentilrun.coordination.survey import SurveyRespondent
import pytest

_BUCKET = 'solo'
_NAMES = ('a', 'b', 'c', 'd')
_LIMIT = RateLimit(1000.0, 500.0)
_INDEXES = st.integers(0, len(_NAMES) - 1)
_EPSILON = 1e-6


class _Member:
    def __init__(self, clock: ManualClock) -> None:
        self.shares = BucketShares(clock)
        self.shares.configure({_BUCKET: _LIMIT})
        self.respondent = SurveyRespondent(self.shares)


class _Spent(NamedTuple):
    spent_at: float
    amount: float


class _Loan(NamedTuple):
    borrower: str
    request: int
    amount: float
    requested_at: float


class Bucket(RuleBasedStateMachine):
    """Members that spend, lend, crash and survey over a lossy network."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = ManualClock()
        self.members = {n: _Member(self.clock) for n in _NAMES}
        self.surveys: list[Survey] = []
        self.issues: list[tuple[str, SurveyGrants]] = []
        self.loans: list[_Loan] = []
        self.spent: list[_Spent] = []
        self.issued_full = False
        self.last_request = 0

    @rule(seconds=st.sampled_from((0.0, 0.05, 0.3, 0.45, 1.2)))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @rule(index=_INDEXES, amount=st.floats(0.1, 300.0))
    def spend(self, index: int, amount: float) -> None:
        member = self.members[_NAMES[index]]
        if member.shares.spend(_BUCKET, amount):
            self.spent.append(_Spent(self.clock.now(), amount))

    @rule(index=_INDEXES, amount=st.floats(0.0, 300.0))
    def refund(self, index: int, amount: float) -> None:
        # Spends and refunds the same amount; neither is recorded as spent.
        member = self.members[_NAMES[index]]
        if member.shares.spend(_BUCKET, amount):
            member.shares.refund(_BUCKET, amount)

    @rule(lender=_INDEXES, borrower=_INDEXES, amount=st.floats(0.1, 400.0))
    def lend(self, lender: int, borrower: int, amount: float) -> None:
        shares = self.members[_NAMES[lender]].shares
        self.last_request += 1
        in_transit = [
            n.request for n in self.loans if n.borrower == _NAMES[borrower]
        ]
        settled = min(in_transit, default=self.last_request) - 1
        request = LoanRequest(
            self.last_request, _BUCKET, amount, amount, settled
        )
        lent = shares.lend(request, _NAMES[borrower])
        now = self.clock.now()
        self.loans.append(
            _Loan(_NAMES[borrower], self.last_request, lent, now)
        )

    @rule(amount=st.floats(0.1, 300.0), pick=st.integers(0, 100))
    def use_loan(self, amount: float, pick: int) -> None:
        if not self.loans:
            return
        loan = self.loans.pop(pick % len(self.loans))
        if self.clock.now() - loan.requested_at >= LOAN_TTL_S:
            return
        shares = self.members[loan.borrower].shares
        if shares.spend_with_loans(_BUCKET, [amount], loan.amount)[0]:
            self.spent.append(_Spent(self.clock.now(), amount))

    @rule(index=_INDEXES)
    def restart(self, index: int) -> None:
        self.members[_NAMES[index]] = _Member(self.clock)

    @rule(index=_INDEXES)
    def retire(self, index: int) -> None:
        self.members[_NAMES[index]].respondent.retire()

    @rule()
    def begin_survey(self) -> None:
        name = str(len(self.surveys))
        self.surveys.append(Survey(name, _NAMES, (_BUCKET,)))

    @rule(index=_INDEXES, pick=st.integers(0, 100))
    def ask(self, index: int, pick: int) -> None:
        if not self.surveys:
            return
        survey = self.surveys[pick % len(self.surveys)]
        name = _NAMES[index]
        respondent = self.members[name].respondent
        survey.add_answer(
            name, respondent.answer(SurveyQuestion(survey.name, 0))
        )

    @rule(pick=st.integers(0, 100))
    def plan(self, pick: int) -> None:
        if not self.surveys:
            return
        survey = self.surveys[pick % len(self.surveys)]
        new = frozenset() if self.issued_full else frozenset((_BUCKET,))
        issues = survey.plan_grants(new, frozenset((_BUCKET,)))
        self.issued_full = self.issued_full or bool(issues)
        self.issues.extend(issues.items())

    @rule(pick=st.integers(0, 100), repeat=st.booleans())
    def deliver(self, pick: int, repeat: bool) -> None:
        if not self.issues:
            return
        index = pick % len(self.issues)
        name, issue = self.issues[index]
        if not repeat:
            self.issues.pop(index)
        self.members[name].respondent.accept(issue)

    @rule()
    def survey_all(self) -> None:
        self.begin_survey()
        for index in range(len(_NAMES)):
            self.ask(index, len(self.surveys) - 1)
        self.plan(len(self.surveys) - 1)
        while self.issues:
            self.deliver(0, False)

    @invariant()
    def units_never_exceed_the_whole(self) -> None:
        held = sum(
            m.shares.count_units()[_BUCKET] for m in self.members.values()
        )
        assert held <= UNITS_PER_BUCKET

    @invariant()
    def no_window_exceeds_rate_and_burst(self) -> None:
        now = self.clock.now()
        total = 0.0
        for spent in reversed(self.spent):
            total += spent.amount
            window = now - spent.spent_at
            allowed = _LIMIT.rate * window + _LIMIT.burst
            assert total <= allowed + _EPSILON


Bucket.TestCase.settings = settings(
    max_examples=300, stateful_step_count=60, deadline=None, derandomize=True
)
TestBucket = Bucket.TestCase


def _grant_all_units(members: dict[str, _Member], full: bool) -> None:
    survey = Survey('s', tuple(members), (_BUCKET,))
    for name, member in members.items():
        survey.add_answer(
            name, member.respondent.answer(SurveyQuestion('s', 0))
        )
    new = frozenset((_BUCKET,)) if full else frozenset()
    for name, issue in survey.plan_grants(new, frozenset((_BUCKET,))).items():
        members[name].respondent.accept(issue)


@pytest.mark.parametrize('count', [1, 2, 3, 7, 8])
def test_survey_gives_out_every_unit(count: int) -> None:
    """All units are granted, in even numbers."""
    clock = ManualClock()
    members = {str(i): _Member(clock) for i in range(count)}
    _grant_all_units(members, True)
    held = [m.shares.count_units()[_BUCKET] for m in members.values()]
    assert sum(held) == UNITS_PER_BUCKET
    assert max(held) - min(held) <= 1
    levels = sum(
        m.shares.count_available_tokens(_BUCKET) for m in members.values()
    )
    assert levels == pytest.approx(_LIMIT.burst)


@pytest.mark.parametrize('count', [2, 8])
def test_reissued_units_start_empty(count: int) -> None:
    """Units of a crashed member are granted again without tokens."""
    clock = ManualClock()
    members = {str(i): _Member(clock) for i in range(count)}
    _grant_all_units(members, True)
    members['0'] = _Member(clock)
    _grant_all_units(members, False)
    assert members['0'].shares.count_available_tokens(_BUCKET) == 0.0
    clock.advance(0.1)
    expected = pytest.approx(0.1 * _LIMIT.rate / count, rel=1e-3)
    assert members['0'].shares.count_available_tokens(_BUCKET) == expected


@pytest.mark.parametrize(
    ('burst', 'members', 'amount'),
    [(5.0, 8, 1.0), (5.0, 8, 5.0), (500.0, 3, 500.0)],
)
def test_small_shares_combine_for_one_request(
    burst: float, members: int, amount: float
) -> None:
    """A request may need more tokens than any member holds."""
    clock = ManualClock()
    members_by_name = {str(i): _Member(clock) for i in range(members)}
    for member in members_by_name.values():
        member.shares.configure({_BUCKET: RateLimit(100.0, burst)})
    _grant_all_units(members_by_name, True)
    borrower = members_by_name.pop('0').shares
    need = amount - borrower.count_available_tokens(_BUCKET)
    request = LoanRequest(1, _BUCKET, need, need, 0)
    lent = sum(m.shares.lend(request, '0') for m in members_by_name.values())
    assert borrower.spend_with_loans(_BUCKET, [amount - 1e-4], lent) == [True]


@pytest.mark.parametrize('wait', [0.0, 0.2, 0.45])
def test_a_loan_in_transit_is_not_refilled_by_its_lender(wait: float) -> None:
    """While a loan may still be spent, its lender does not refill it."""
    clock = ManualClock()
    members = {str(i): _Member(clock) for i in range(2)}
    _grant_all_units(members, True)
    lender = members['0'].shares
    borrower = members['1'].shares
    request = LoanRequest(1, _BUCKET, _LIMIT.burst, _LIMIT.burst, 0)
    lent = lender.lend(request, '1')
    clock.advance(wait)
    spent = lender.count_available_tokens(_BUCKET)
    lender.spend(_BUCKET, spent)
    borrowed_and_own = borrower.count_available_tokens(_BUCKET) + lent
    assert borrower.spend_with_loans(_BUCKET, [borrowed_and_own], lent) == [
        True
    ]
    assert spent + borrowed_and_own <= _LIMIT.burst + _EPSILON
