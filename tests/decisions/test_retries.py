"""Retries stay within the limit of all VMs together."""

from __future__ import annotations

from lentilrun.decisions.retries import RetryBudget
import pytest


@pytest.mark.parametrize('members', [1, 6, 8])
@pytest.mark.parametrize('requests', [0, 50, 400])
def test_failing_service_gets_few_retries(members: int, requests: int) -> None:
    """All requests fail, and each is retried as often as allowed."""
    budgets = [RetryBudget(0.2, 56.0, 10.0) for _ in range(members)]
    spent = 0
    for number in range(requests):
        now = number * 10.0 / max(1, requests)
        budget = budgets[number % members]
        budget.record_request(now)
        spent += budget.spend(now, members)
        spent += budget.spend(now, members)
    assert spent <= 0.2 * requests + 56.0


def test_old_retries_are_discarded() -> None:
    """Retries before the window do not count."""
    budget = RetryBudget(0.0, 8.0, 10.0)
    assert sum(budget.spend(0.0, 1) for _ in range(20)) == 6
    assert budget.spend(10.5, 1)


@pytest.mark.parametrize(
    ('max_share', 'expected'), [(1.0, 15), (0.5, 7), (0.0, 0)]
)
def test_some_retries_leave_a_share(max_share: float, expected: int) -> None:
    """Retries that are less needed leave a part of the limit to others."""
    budget = RetryBudget(0.2, 0.0, 10.0)
    for _ in range(100):
        budget.record_request(0.0)
    spent = sum(budget.spend(1.0, 1, max_share) for _ in range(50))
    assert spent == expected
    assert sum(budget.spend(1.0, 1) for _ in range(50)) == 15 - spent


def test_slack_counts_as_spent_at_first() -> None:
    """Guards against VMs that spend their slack again after a restart."""
    budget = RetryBudget(0.2, 56.0, 10.0, slack_from=20.0)
    for _ in range(100):
        budget.record_request(12.0)
    assert sum(budget.spend(12.0, 1) for _ in range(50)) == 15
    assert sum(budget.spend(23.0, 1) for _ in range(60)) == 42
