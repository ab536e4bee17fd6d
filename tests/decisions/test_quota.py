"""Quotas hold over all VMs, although each VM knows only some use."""

from __future__ import annotations

import random

from lentilrun.decisions.quota import QuotaTolerance
from lentilrun.decisions.quota import UsageWindow
import pytest

_TOLERANCE = QuotaTolerance(8.0, 0.1, 72_000.0)
_RATE = 20_000.0
_BURST = 20_000.0
_MAX_TOKENS = (_RATE * 8.0 + _BURST) * 1.1 + 72_000.0


def _make() -> UsageWindow:
    window = UsageWindow(_TOLERANCE)
    window.set_limits(_RATE, _BURST)
    return window


class _Vm:
    """A VM that admits what fits, and reports it to the others later."""

    def __init__(self, report_lag: float = 0.35) -> None:
        self.window = _make()
        self._report_lag = report_lag

    def try_charge(
        self, tokens: float, now: float, vms: int, random_factor: float
    ) -> bool:
        if self.window.compute_delay(
            tokens, vms, 0, now, self._report_lag, random_factor
        ):
            return False
        self.window.add(tokens, now)
        self.window.unreported_tokens += tokens
        return True


@pytest.mark.parametrize('seed', range(12))
@pytest.mark.parametrize('is_even', [True, False])
def test_hot_workspace_stays_within_its_quota(
    seed: int, is_even: bool
) -> None:
    """Eight VMs with reports every 0.25 s, at 8 times the rate."""
    rng = random.Random(seed)
    vms = [_Vm() for _ in range(8)]
    admitted: list[tuple[float, float]] = []
    for step in range(2400):
        now = 100.0 + step * 0.01
        vm = vms[rng.randrange(8 if is_even else 2)]
        tokens = rng.choice([200.0, 1500.0, 9000.0])
        if vm.try_charge(tokens, now, 8, rng.random()):
            admitted.append((now, tokens))
        if step % 25 == 24:
            _exchange(vms, now)
    for start, _ in admitted:
        used = sum(t for at, t in admitted if start <= at < start + 8.0)
        assert used <= _MAX_TOKENS
    # At most a tenth of the entitlement is refused.
    total = sum(t for _, t in admitted)
    assert total > _RATE * 24.0 * 0.9


def _exchange(vms: list[_Vm], now: float) -> None:
    unreported = [vm.window.unreported_tokens for vm in vms]
    for vm, own in zip(vms, unreported, strict=True):
        vm.window.add(sum(unreported) - own, now)
        vm.window.unreported_tokens = 0.0


@pytest.mark.parametrize('seed', range(4))
@pytest.mark.parametrize('is_burst', [True, False])
def test_late_reports_of_a_large_fleet(seed: int, is_burst: bool) -> None:
    """Reports pass two hubs on their way between 195 VMs.

    A workspace sends eight times its rate, all the time or for a second
    after it was idle.
    """
    rng = random.Random(seed)
    lag = 0.85
    vms = [_Vm(lag) for _ in range(195)]
    admitted: list[tuple[float, float]] = []
    reports: list[list[float]] = []
    for step in range(1400):
        now = 100.0 + step * 0.01
        if not is_burst or step % 500 < 100:
            vm = rng.choice(vms)
            tokens = rng.choice([200.0, 1500.0, 3000.0])
            if vm.try_charge(tokens, now, len(vms), rng.random()):
                admitted.append((now, tokens))
        if step % 25 == 24:
            reports.append([vm.window.unreported_tokens for vm in vms])
            for vm in vms:
                vm.window.unreported_tokens = 0.0
            if len(reports) > 2:
                _deliver(vms, reports.pop(0), now)
    for start, _ in admitted:
        used = sum(t for at, t in admitted if start <= at < start + 8.0)
        assert used <= _MAX_TOKENS


def _deliver(vms: list[_Vm], unreported: list[float], now: float) -> None:
    total = sum(unreported)
    for vm, own in zip(vms, unreported, strict=True):
        vm.window.add(total - own, now)


def test_unresponsive_vms_keep_a_share() -> None:
    """A VM that receives no reports uses only its own share."""
    window = _make()
    now = 50.0
    used = 0.0
    while not window.compute_delay(1000.0, 8, 7, now, 0.35):
        window.add(1000.0, now)
        used += 1000.0
    assert used <= window.limit(0.35) / 8


@pytest.mark.parametrize('age', [0.0, 1.0, 3.0])
def test_use_outlives_a_restart(age: float) -> None:
    """Use from a checkpoint counts until its own window has passed."""
    before = _make()
    for second in range(8):
        before.add(25_000.0, 100.0 + second)
    after = _make()
    after.adopt(before.export(107.5), 107.5)
    after.discard_expired(107.5 + age)
    expected = [25_000.0 for s in range(8) if 100.0 + s > 107.5 + age - 8.0]
    assert after.used_tokens >= sum(expected) - 1.0


def test_unknown_use_is_assumed_after_a_restart() -> None:
    """A process without reports assumes half of the entitlement."""
    window = _make()
    window.assume_prior_use(10.0)
    assert window.used_tokens == pytest.approx(window.entitlement() / 2)
    window.discard_expired(20.0)
    assert window.used_tokens == pytest.approx(0.0)
