"""How fast the targets of a service are, from the attempts that a VM sees.

Designed for this load: services whose targets prefill 10,000 or 100,000
tokens per second and respond in 5 or in 200 ms, which nobody states, and a
target that turns slow or silent while the others stay as they are. The
speeds of a service change rarely and are learned over many requests; the
pace of each target, relative to them, follows within seconds and counts
requests that still wait.
"""

from __future__ import annotations

from typing import NamedTuple

# The estimates follow about this many of the last requests.
_MEMORY_REQUESTS = 100.0
# Requests with fewer tokens to prefill show how long the first token takes
# without a prompt; those with more show the speed of prefilling.
_SMALL_PROMPT_TOKENS = 1500.0
# The priors count as much as this many tokens and requests.
_PRIOR_PREFILL_TOKENS = 20_000.0
_PRIOR_OUTPUT_TOKENS = 1000.0
_PRIOR_REQUESTS = 3.0
# A target's pace counts as the usual one as much as this many requests.
_USUAL_PACE_REQUESTS = 1.0
# Until this many requests, the priors may be far off.
_MIN_KNOWN_REQUESTS = 12
_MIN_FIRST_TOKEN_S = 0.001
_MIN_PREFILL_S_PER_TOKEN = 1e-7
# The weight of what a target's pace is estimated from halves with the age and
# with the requests of its service: a slow target is tried again at times.
_PACE_HALF_LIFE_S = 15.0
_PACE_HALF_LIFE_REQUESTS = 200.0
# Bounds of the pace that a single request may show.
_MIN_PACE = 0.2
_MAX_PACE = 20.0


class Speeds(NamedTuple):
    """The speeds of a service's targets; times in seconds.

    ``first_token`` is the time to the first token without tokens to
    prefill, ``response_per_token`` the time to generate a response for each
    token that its request allows, and ``service_time`` that of a request
    without a model at an idle target. A response that is being generated
    takes ``running_time`` on average: long ones count more often, as there
    is more time to find them.
    """

    first_token: float
    prefill_tokens_per_s: float
    response_per_token: float
    service_time: float
    running_time: float = 0.35

    def prefill_time(self, tokens: float) -> float:
        """Return the time to prefill tokens of prompts, in s."""
        return tokens / self.prefill_tokens_per_s

    def response_time(self, output_tokens: int) -> float:
        """Return the expected time to generate a response, in s."""
        return output_tokens * self.response_per_token


# Assumed until requests show more.
PRIOR_SPEEDS = Speeds(0.05, 35_000.0, 0.00165, 0.025)


class _Ratio:
    """A ratio of two sums over the last requests, with a prior."""

    def __init__(self, prior: float, weight: float) -> None:
        self._prior = prior
        self._weight = weight
        self._numerator = 0.0
        self._denominator = 0.0

    def add(self, numerator: float, denominator: float) -> None:
        kept = 1.0 - 1.0 / _MEMORY_REQUESTS
        self._numerator = self._numerator * kept + numerator
        self._denominator = self._denominator * kept + denominator

    def estimate(self) -> float:
        return (self._prior * self._weight + self._numerator) / (
            self._weight + self._denominator
        )


class SpeedEstimator:
    """Estimates the speeds of one service's targets."""

    def __init__(self, prior: Speeds = PRIOR_SPEEDS) -> None:
        self._first_token = _Ratio(prior.first_token, _PRIOR_REQUESTS)
        self._prefill_per_token = _Ratio(
            1.0 / prior.prefill_tokens_per_s, _PRIOR_PREFILL_TOKENS
        )
        self._response_per_token = _Ratio(
            prior.response_per_token, _PRIOR_OUTPUT_TOKENS
        )
        self._service_time = _Ratio(prior.service_time, _PRIOR_REQUESTS)
        self._running_time = _Ratio(
            prior.running_time, _PRIOR_REQUESTS * prior.running_time
        )
        self._speeds = prior
        self._requests = 0

    @property
    def request_count(self) -> int:
        """Return the number of requests that were recorded."""
        return self._requests

    def is_settled(self) -> bool:
        """Return whether the estimates may be compared with a request."""
        return self._requests >= _MIN_KNOWN_REQUESTS

    def speeds(self) -> Speeds:
        """Return the current estimates."""
        return self._speeds

    def record_first_token(self, tokens: float, seconds: float) -> None:
        """Record the time to a first token.

        ``tokens`` were to be prefilled before it, including the prompt.
        """
        speeds = self._speeds
        if tokens < _SMALL_PROMPT_TOKENS:
            self._first_token.add(seconds - speeds.prefill_time(tokens), 1.0)
        else:
            self._prefill_per_token.add(
                max(0.0, seconds - speeds.first_token), tokens
            )
        self._requests += 1
        self._update()

    def record_response(self, output_tokens: int, seconds: float) -> None:
        """Record the time from the first token to the last.

        ``output_tokens`` is the most that the response may have.
        """
        self._response_per_token.add(seconds, float(output_tokens))
        self._running_time.add(seconds * seconds, seconds)
        self._update()

    def record_service(self, service_times: float, seconds: float) -> None:
        """Record the time of a response without a model.

        The request was expected to take ``service_times`` times as long as
        at an idle target.
        """
        self._service_time.add(seconds, service_times)
        self._requests += 1
        self._update()

    def _update(self) -> None:
        self._speeds = Speeds(
            max(_MIN_FIRST_TOKEN_S, self._first_token.estimate()),
            1.0
            / max(
                _MIN_PREFILL_S_PER_TOKEN, self._prefill_per_token.estimate()
            ),
            self._response_per_token.estimate(),
            self._service_time.estimate(),
            self._running_time.estimate(),
        )


class PaceCounts(NamedTuple):
    """How long requests took, in multiples of what was expected.

    ``total`` is the sum over ``requests``; both are decayed.
    """

    requests: float
    total: float

    def add(self, seconds: float, expected: float) -> PaceCounts:
        """Return the counts with a request; the times are in seconds."""
        pace = compare_pace(seconds, expected)
        return PaceCounts(self.requests + 1.0, self.total + pace)

    def decay(self, seconds: float, requests: int) -> PaceCounts:
        """Return the counts after a time with requests of the service."""
        half_lives = seconds / _PACE_HALF_LIFE_S
        half_lives += requests / _PACE_HALF_LIFE_REQUESTS
        factor = 0.5**half_lives
        return PaceCounts(self.requests * factor, self.total * factor)


NO_PACE = PaceCounts(0.0, 0.0)


def compare_pace(seconds: float, expected: float) -> float:
    """Return how many times as long as expected a request took."""
    if expected <= 0.0:
        return 1.0
    return min(_MAX_PACE, max(_MIN_PACE, seconds / expected))


def estimate_pace(counts: PaceCounts) -> float:
    """Return how many times as slow as expected a target is."""
    return (counts.total + _USUAL_PACE_REQUESTS) / (
        counts.requests + _USUAL_PACE_REQUESTS
    )


__all__ = [
    'compare_pace',
    'estimate_pace',
    'NO_PACE',
    'PaceCounts',
    'PRIOR_SPEEDS',
    'SpeedEstimator',
    'Speeds',
]
