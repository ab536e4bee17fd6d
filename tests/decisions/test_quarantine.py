"""What crashes targets is refused; what breaks off beside it is not."""

from __future__ import annotations

from typing import NamedTuple

from lentilrun.decisions.facts import Prompt
from lentilrun.decisions.facts import PromptSegment
from lentilrun.decisions.quarantine import Crash
from lentilrun.decisions.quarantine import list_segments
from lentilrun.decisions.quarantine import Quarantine
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.decisions.quarantine import Verdict
import pytest

_SEND = Verdict.SEND
_TRIAL = Verdict.TRIAL
_REFUSE = Verdict.REFUSE


def _suspect(name: str) -> Suspect:
    """Return a segment, or a whole request if the name has a slash."""
    kind = SuspectKind.REQUEST if '/' in name else SuspectKind.SEGMENT
    return Suspect(kind, name)


class _Crashes(NamedTuple):
    """A crash of each target start under each of the suspects.

    The requests were sent by this VM if they ``are_own``.
    """

    suspects: str
    starts: str
    are_own: bool = False


class _Response(NamedTuple):
    """A response to a request with the suspects."""

    suspects: str


class _Trial(NamedTuple):
    """A request with the suspects that is sent on trial."""

    suspects: str


class _Cleared(NamedTuple):
    """Crashes that another VM reports as followed by a response."""

    suspects: str
    starts: str


_Event = _Crashes | _Response | _Trial | _Cleared


def _list_crashes(event: _Crashes | _Cleared) -> list[Crash]:
    return [
        Crash(_suspect(name), start)
        for start in event.starts
        for name in event.suspects.split()
    ]


def _play(quarantine: Quarantine, events: list[_Event]) -> None:
    for event in events:
        suspects = [_suspect(n) for n in event.suspects.split()]
        if isinstance(event, _Crashes):
            for crash in _list_crashes(event):
                sent_at = 0.0 if event.are_own else None
                quarantine.record_crash(crash, 0.0, sent_at)
        elif isinstance(event, _Cleared):
            for crash in _list_crashes(event):
                quarantine.clear(crash, 0.0)
        elif isinstance(event, _Trial):
            quarantine.begin_trial(suspects, 0.0)
        else:
            for crash in quarantine.record_response(suspects, 0.0):
                quarantine.clear(crash, 0.0)


def _judge(quarantine: Quarantine, suspects: str, now: float = 0.0) -> Verdict:
    return quarantine.judge([_suspect(n) for n in suspects.split()], now)


class _Case(NamedTuple):
    """What happened, and the verdict for requests with suspects."""

    events: list[_Event]
    verdicts: dict[str, Verdict]


_CASES = {
    'nothing is known': _Case([], {'a b': _SEND}),
    'victims of one crash': _Case(
        [_Crashes('a b c d', '1'), _Crashes('a b', '1')],
        {'a b': _SEND, 'c d': _SEND},
    ),
    'two crashes': _Case([_Crashes('a p', '12')], {'a p': _SEND}),
    'a request that is repeated': _Case(
        [_Crashes('r/1', '123')], {'r/1': _REFUSE, 'r/2': _SEND}
    ),
    'requests that are no two alike': _Case(
        [
            _Crashes('a b p r/1', '1'),
            _Response('a b'),
            _Crashes('a c p r/2', '2'),
            _Response('a c'),
            _Crashes('a d p r/3', '3'),
        ],
        {'a e p r/4': _REFUSE, 'p r/5': _REFUSE, 'a b r/6': _SEND},
    ),
    'a storm over segments that had responses': _Case(
        [_Response('a b'), _Crashes('a b', '1234')], {'a b': _SEND}
    ),
    'a segment that became bad': _Case(
        [_Response('a p'), _Crashes('a p', '12345'), _Response('a')],
        {'a p': _TRIAL, 'a': _SEND},
    ),
    'a segment that became bad, after a trial': _Case(
        [
            _Response('a p'),
            _Crashes('a p', '12345'),
            _Trial('a p'),
            _Crashes('a p', '6', are_own=True),
            _Response('a'),
        ],
        {'a p': _REFUSE, 'a': _SEND},
    ),
    'many targets that crash at once': _Case(
        [_Response('a'), _Crashes('a s', '12345'), _Crashes('a s', '6789')],
        {'a': _TRIAL, 'a s': _REFUSE, 'b': _SEND},
    ),
    'a response after they are back': _Case(
        [
            _Response('a'),
            _Crashes('a', '123456789'),
            _Trial('a'),
            _Response('a'),
        ],
        {'a': _SEND},
    ),
    'a whole request that became bad': _Case(
        [_Response('r/1'), _Crashes('r/1', '123')], {'r/1': _REFUSE}
    ),
    'a response in between': _Case(
        [_Crashes('a', '12'), _Response('a'), _Crashes('a', '3456')],
        {'a': _SEND},
    ),
    'a response after the conviction': _Case(
        [_Crashes('a', '123'), _Response('a')], {'a': _SEND}
    ),
    'a cleared crash is reported again': _Case(
        [_Crashes('a', '12'), _Response('a'), _Crashes('a', '123')],
        {'a': _SEND},
    ),
    'the response is known before the crashes': _Case(
        [_Cleared('a', '123'), _Crashes('a', '123')], {'a': _SEND}
    ),
    'a response elsewhere after the conviction': _Case(
        [_Crashes('a', '123'), _Cleared('a', '1')], {'a': _SEND}
    ),
    'two segments that are always together': _Case(
        [_Crashes('c p', '123')],
        {'c p': _REFUSE, 'c': _TRIAL, 'c x': _TRIAL, 'p': _TRIAL},
    ),
    'one of them responds': _Case(
        [_Crashes('c p', '123'), _Response('c')],
        {'c p': _REFUSE, 'c': _SEND, 'p': _REFUSE},
    ),
    'one of them crashes alone': _Case(
        [_Crashes('c p', '123'), _Crashes('p', '4')],
        {'c p': _REFUSE, 'c': _TRIAL, 'p': _REFUSE},
    ),
    'a victim at each crash under different requests': _Case(
        [_Crashes('p s', '1'), _Crashes('p s', '2'), _Crashes('p s', '345')],
        {'s': _TRIAL, 'p s': _REFUSE},
    ),
    'two segments that crash targets apart': _Case(
        [_Crashes('p', '123'), _Crashes('q', '456')],
        {'p': _REFUSE, 'q': _REFUSE, 'p q': _REFUSE},
    ),
}


@pytest.mark.parametrize('name', _CASES)
def test_verdicts(name: str) -> None:
    """Only what crashed targets and never had a response is refused."""
    case = _CASES[name]
    quarantine = Quarantine()
    _play(quarantine, case.events)
    verdicts = {s: _judge(quarantine, s) for s in case.verdicts}
    assert verdicts == case.verdicts


@pytest.mark.parametrize(
    ('sent_at', 'expected'), [(0.9, _REFUSE), (1.1, _SEND)]
)
def test_targets_that_respond_have_not_crashed(
    sent_at: float, expected: Verdict
) -> None:
    """A response to a later request shows it; earlier ones may be late."""
    quarantine = Quarantine()
    for start in '123':
        for name in 'as':
            quarantine.record_crash(Crash(_suspect(name), start), 1.0)
    refuted = quarantine.list_refuted('2', sent_at, 1.2)
    for crash in refuted:
        quarantine.clear(crash, 1.2)
    assert quarantine.list_refuted('2', sent_at, 1.2) == []
    assert _judge(quarantine, 'a s', 1.3) is expected


@pytest.mark.parametrize(
    ('crashed_at', 'expected'), [(4.0, _TRIAL), (6.0, _REFUSE)]
)
def test_segments_with_recent_responses_are_tried(
    crashed_at: float, expected: Verdict
) -> None:
    """A segment that had no response for a while may have become bad."""
    quarantine = Quarantine()
    quarantine.record_response([_suspect('a')], 0.0)
    for start in '12345':
        quarantine.record_crash(Crash(_suspect('a'), start), crashed_at)
    assert _judge(quarantine, 'a', crashed_at) is expected


@pytest.mark.parametrize(
    ('sent_at', 'expected'), [(None, _TRIAL), (0.5, _TRIAL), (2.0, _REFUSE)]
)
def test_crashes_after_a_trial(
    sent_at: float | None, expected: Verdict
) -> None:
    """Only one under the trial itself ends the trials."""
    quarantine = Quarantine()
    _play(quarantine, [_Response('a'), _Crashes('a', '12345')])
    quarantine.begin_trial([_suspect('a')], 1.0)
    quarantine.record_crash(Crash(_suspect('a'), '6'), 2.1, sent_at)
    assert _judge(quarantine, 'a', 2.5) is expected


def test_trials_are_rare() -> None:
    """After a trial, the next one may begin only a second later."""
    quarantine = Quarantine()
    _play(quarantine, [_Crashes('c p', '123')])
    quarantine.begin_trial([_suspect('c'), _suspect('x')], 5.0)
    assert _judge(quarantine, 'c', 5.9) is Verdict.REFUSE
    assert _judge(quarantine, 'c', 6.1) is Verdict.TRIAL


@pytest.mark.parametrize(
    ('starts', 'now', 'expected'),
    [
        ('12', 59.0, _REFUSE),
        ('12', 61.0, _SEND),
        ('123', 299.0, _REFUSE),
        ('123', 301.0, _SEND),
    ],
)
def test_old_crashes_expire(
    starts: str, now: float, expected: Verdict
) -> None:
    """A conviction ends later than a suspicion does."""
    quarantine = Quarantine()
    _play(quarantine, [_Crashes('p', starts)])
    quarantine.record_crash(Crash(_suspect('p'), '9'), now)
    assert _judge(quarantine, 'p', now) is expected


def test_floods_of_suspects_use_bounded_memory() -> None:
    """A conviction outlasts many other suspects, and their number is low."""
    quarantine = Quarantine()
    _play(quarantine, [_Crashes('p', '123')])
    for number in range(10_000):
        quarantine.record_crash(Crash(_suspect(f'v{number}'), '4'), 1.0)
        quarantine.record_response([_suspect(f's{number}')], 1.0)
    assert _judge(quarantine, 'p', 2.0) is Verdict.REFUSE
    assert len(list(quarantine.list_crashes(2.0))) <= 4003
    for number in range(10_000):
        quarantine.record_crash(Crash(_suspect('p'), f'n{number}'), 3.0)
    assert len(list(quarantine.list_crashes(3.0))) <= 4100


def test_recent_responses_are_remembered() -> None:
    """The segments with the newest responses need more crashes."""
    quarantine = Quarantine()
    for number in range(10_000):
        quarantine.record_response([_suspect(f's{number}')], 0.0)
    quarantine.record_response([_suspect('s9000')], 0.0)
    _play(quarantine, [_Crashes('s1 s9000 s9999', '123')])
    assert [_judge(quarantine, s) for s in ('s9000', 's9999')] == [_SEND] * 2
    assert _judge(quarantine, 's1') is not _SEND


@pytest.mark.parametrize(
    ('names', 'expected'), [('', ''), ('a', ''), ('a b c', 'a b')]
)
def test_last_segment_is_no_suspect(names: str, expected: str) -> None:
    """It belongs to one request or session."""
    segments = tuple(PromptSegment(n, 10) for n in names.split())
    suspects = list_segments(Prompt('model', 10, 1, segments))
    assert suspects == [_suspect(n) for n in expected.split()]
    assert list_segments(None) == []
