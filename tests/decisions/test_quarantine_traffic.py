"""Simulated traffic in which one segment crashes each engine.

The bounds are those of the rules: how many requests with the segment may be
sent later than ``_WINDOW_S`` after the fifth crash, and how many sound
requests must be sent from twice that time on.
"""

from __future__ import annotations

import collections
import heapq
import itertools
import random
from typing import NamedTuple
from typing import TYPE_CHECKING

from lentilrun.decisions.quarantine import Crash
from lentilrun.decisions.quarantine import Quarantine
from lentilrun.decisions.quarantine import Suspect
from lentilrun.decisions.quarantine import SuspectKind
from lentilrun.decisions.quarantine import Verdict
import pytest

if TYPE_CHECKING:
    from collections.abc import Callable

_WINDOW_S = 3.0
_MAX_LATE_SENDS = 3
_MIN_SOUND_SHARE = 0.5
_MIN_SOUND_REQUESTS = 20
_COUNTED_CRASHES = 5

_DAY_S = 40.0
_POISON_FROM_S = 5.0
_ENGINES = 9
_RESTART_S = 3.0
_PREFILL_RANGE_S = (0.05, 0.2)
# Attempts that break off until this long after their first event are blamed.
_BEGINNING_S = 0.1
_BREAK_DELAY_S = 0.005
_POISON = 'p'


class _Load(NamedTuple):
    """Traffic and fleet; rates in requests per second of the whole fleet.

    ``poisoned_prompt`` and ``rare_prompt`` hold the segments but the last;
    ``*`` stands for a new segment in each request. All VMs get poisoned
    requests, and ``sound_vms`` of them sound ones, those with
    ``rare_prompt`` from ``rare_from`` on. VMs start again at ``restarts``,
    in turn. At ``outage_at``, ``crashed_engines`` engines crash at once, and
    what the first VM has at engines breaks off if ``breaks_vm``.
    """

    poisoned_prompt: str
    poison_rate: float
    vms: int = 8
    sound_vms: int = 8
    message_delay: float = 0.3
    popular_rate: float = 20.0
    rare_prompt: str = 'first key rare'
    rare_rate: float = 1.0
    rare_from: float = 0.0
    restarts: tuple[float, ...] = ()
    outage_at: float = 0.0
    crashed_engines: int = 0
    breaks_vm: bool = False


class _Request(NamedTuple):
    """A request at an engine; the suspects are those of its VM's record."""

    vm: int
    is_poisoned: bool
    suspects: list[Suspect]
    sent_at: float


class _Engine:
    """One start of an engine, with the requests that it has not answered."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.requests: dict[int, _Request] = {}
        self.is_running = True


class _Simulation:
    """Plays a load; counts by segment group what is asked and sent."""

    def __init__(self, load: _Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._numbers = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._now = 0.0
        self._vms = [Quarantine() for _ in range(load.vms)]
        self._engines = [self._start_engine() for _ in range(_ENGINES)]
        self.crash_times: list[float] = []
        self.poison_sends: list[float] = []
        self.sound: list[tuple[float, str, bool]] = []

    def _at(self, delay: float, action: Callable[[], None]) -> None:
        entry = (self._now + delay, next(self._numbers), action)
        heapq.heappush(self._events, entry)

    def run(self) -> None:
        load = self._load
        popular = ('first key', 'first other *', 'first key *')
        self._arrive(popular, load.popular_rate, load.sound_vms, 0.0)
        self._arrive(
            (load.rare_prompt,),
            load.rare_rate,
            load.sound_vms,
            load.rare_from,
        )
        self._arrive(
            (load.poisoned_prompt,),
            load.poison_rate,
            load.vms,
            _POISON_FROM_S,
        )
        if load.outage_at:
            self._at(load.outage_at, self._break_off)
        for number, time in enumerate(load.restarts):
            self._at(time, lambda n=number: self._restart(n % load.vms))
        while self._events and self._events[0][0] < _DAY_S:
            self._now, _, action = heapq.heappop(self._events)
            action()

    def _break_off(self) -> None:
        """Let several engines crash, or break off all that a VM sent."""
        for engine in self._engines[: self._load.crashed_engines]:
            self._crash(engine)
        if not self._load.breaks_vm:
            return
        for engine in self._engines:
            for number, request in list(engine.requests.items()):
                if request.vm == 0:
                    del engine.requests[number]
                    self._blame_all(request, engine)

    def _arrive(
        self, prompts: tuple[str, ...], rate: float, vms: int, start: float
    ) -> None:
        """Let requests arrive from a time on."""

        def arrive() -> None:
            prompt = self._random.choice(prompts)
            self._take(self._random.randrange(vms), prompt)
            self._at(self._random.expovariate(rate), arrive)

        if rate:
            self._at(start + self._random.expovariate(rate), arrive)

    def _take(self, vm: int, prompt: str) -> None:
        """Send a request that arrived at a VM, or refuse it."""
        names = [
            f'new{next(self._numbers)}' if n == '*' else n
            for n in prompt.split()
        ]
        suspects = [Suspect(SuspectKind.SEGMENT, n) for n in names]
        whole = Suspect(SuspectKind.REQUEST, f'r{next(self._numbers)}')
        request = _Request(vm, _POISON in names, [whole, *suspects], self._now)
        quarantine = self._vms[vm]
        verdict = quarantine.judge(request.suspects, self._now)
        is_sent = verdict is not Verdict.REFUSE
        if not request.is_poisoned:
            self.sound.append((self._now, prompt, is_sent))
        if not is_sent:
            return
        if verdict is Verdict.TRIAL:
            quarantine.begin_trial(request.suspects, self._now)
        self._send(request)

    def _send(self, request: _Request) -> None:
        running = [e for e in self._engines if e.is_running]
        if not running:
            return
        engine = self._random.choice(running)
        if request.is_poisoned:
            self.poison_sends.append(self._now)
        number = next(self._numbers)
        prefill = self._random.uniform(*_PREFILL_RANGE_S)
        engine.requests[number] = request
        if request.is_poisoned:
            self._at(prefill, lambda: self._crash(engine))
        else:
            self._at(
                prefill + _BEGINNING_S, lambda: self._respond(engine, number)
            )

    def _respond(self, engine: _Engine, number: int) -> None:
        if number not in engine.requests or not engine.is_running:
            return
        request = engine.requests.pop(number)
        quarantine = self._vms[request.vm]
        cleared = quarantine.record_response(request.suspects, self._now)
        cleared += quarantine.list_refuted(
            engine.name, request.sent_at, self._now
        )
        for crash in cleared:
            quarantine.clear(crash, self._now)
            self._tell(request.vm, lambda q, c=crash: q.clear(c, self._now))

    def _crash(self, engine: _Engine) -> None:
        if not engine.is_running:
            return
        engine.is_running = False
        self.crash_times.append(self._now)
        self._at(_RESTART_S, lambda: self._replace(engine))
        for request in engine.requests.values():
            self._blame_all(request, engine)

    def _blame_all(self, request: _Request, engine: _Engine) -> None:
        for suspect in request.suspects:
            crash = Crash(suspect, engine.name)
            self._at(_BREAK_DELAY_S, lambda c=crash: self._blame(request, c))

    def _blame(self, request: _Request, crash: Crash) -> None:
        vm = request.vm
        self._vms[vm].record_crash(crash, self._now, request.sent_at)
        self._tell(vm, lambda q: q.record_crash(crash, self._now))

    def _tell(self, vm: int, action: Callable[[Quarantine], object]) -> None:
        """Let the other VMs know after a while."""
        for quarantine in self._vms:
            if quarantine is not self._vms[vm]:
                delay = self._random.uniform(0.0, self._load.message_delay)
                self._at(delay, lambda q=quarantine: action(q))

    def _start_engine(self) -> _Engine:
        return _Engine(f'e{next(self._numbers)}')

    def _replace(self, engine: _Engine) -> None:
        self._engines.remove(engine)
        self._engines.append(self._start_engine())

    def _restart(self, vm: int) -> None:
        """Let a VM forget all; the others repeat their reports to it."""
        self._vms[vm] = quarantine = Quarantine()
        for other in self._vms:
            for crash in list(other.list_crashes(self._now)):
                delay = self._random.uniform(0.0, self._load.message_delay)
                self._at(
                    delay,
                    lambda c=crash: quarantine.record_crash(c, self._now),
                )

    def count_late_sends(self) -> int:
        """Return the sends that the rule counts."""
        if len(self.crash_times) < _COUNTED_CRASHES:
            return 0
        bound_from = self.crash_times[_COUNTED_CRASHES - 1] + _WINDOW_S
        return sum(t > bound_from for t in self.poison_sends)

    def sound_shares(self) -> dict[str, float]:
        """Return which share of the sound requests is sent, by prompt."""
        disruptions = self.crash_times[:_COUNTED_CRASHES]
        last = max([self._load.outage_at, *disruptions])
        since = last + 2 * _WINDOW_S
        asked: collections.Counter[str] = collections.Counter()
        sent: collections.Counter[str] = collections.Counter()
        for time, prompt, is_sent in self.sound:
            if time >= since:
                asked[prompt] += 1
                sent[prompt] += is_sent
        return {
            p: sent[p] / n
            for p, n in asked.items()
            if n >= _MIN_SOUND_REQUESTS
        }


_LOADS = {
    'first segment of a new session': _Load('p *', 2.0),
    'only segment that is shared': _Load('p', 2.0),
    'in the middle': _Load('first key p *', 2.0),
    'last but one': _Load('first key * p', 2.0),
    'slow': _Load('first key p', 0.4),
    'fast': _Load('first key p', 12.0),
    'a rare companion': _Load('first key rare p', 3.0),
    'a rare companion and a slow hub': _Load(
        'first key rare p', 3.0, message_delay=0.8
    ),
    'a rare first segment': _Load(
        'lone p *', 3.0, rare_prompt='lone *', rare_rate=1.0
    ),
    'two rare companions': _Load(
        'lone rare p *', 4.0, rare_prompt='lone rare', rare_rate=1.0
    ),
    'a companion whose sound requests come later': _Load(
        'fresh p', 3.0, rare_prompt='fresh', rare_from=9.0
    ),
    'over hubs': _Load('first key p *', 3.0, message_delay=0.8),
    'two VMs': _Load('first key p', 2.0, vms=2, sound_vms=2),
    'one VM has the sound requests': _Load(
        'first key rare p', 4.0, sound_vms=1
    ),
    'little sound traffic': _Load('first key p', 4.0, popular_rate=3.0),
    'VMs that start again': _Load(
        'first key p', 3.0, restarts=(9.0, 9.0, 9.0, 14.0, 20.0, 21.0)
    ),
    'engines that crash at once': _Load(
        '', 0.0, popular_rate=120.0, outage_at=10.0, crashed_engines=9
    ),
    'engines that crash at once beside the segment': _Load(
        'first key p',
        2.0,
        popular_rate=120.0,
        outage_at=10.0,
        crashed_engines=9,
    ),
    'a VM that is cut off': _Load(
        '',
        0.0,
        vms=1,
        sound_vms=1,
        popular_rate=120.0,
        outage_at=10.0,
        breaks_vm=True,
    ),
    'no sound requests at all': _Load(
        'first key p', 3.0, popular_rate=0.0, rare_rate=0.0
    ),
}


@pytest.mark.parametrize('seed', range(6))
@pytest.mark.parametrize('name', _LOADS)
def test_segment_that_crashes_engines(name: str, seed: int) -> None:
    """Sends end soon after the fifth crash; sound requests go on."""
    simulation = _Simulation(_LOADS[name], seed)
    simulation.run()
    assert simulation.crash_times or not _LOADS[name].poison_rate
    assert simulation.count_late_sends() <= _MAX_LATE_SENDS
    shares = simulation.sound_shares()
    assert all(s >= _MIN_SOUND_SHARE for s in shares.values()), shares
