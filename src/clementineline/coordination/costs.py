"""Costs of requests that look alike, learned from completed ones.

The cost of a generation is counted in tokens, that of a plain call in seconds
on an endpoint of normal speed. It is designed for a process that completes
some hundred requests a second: learning and estimating take microseconds, and
the distribution of a kind is sorted again after several completions only.

At most ``KINDS_MAX`` kinds are kept, the least recently learned one is dropped
first. A kind holds its last ``SAMPLES_MAX`` completions, so a change of the
workload is forgotten after as many, and all kinds together take under 2 MB.
"""

import array
import bisect
import collections
import math
import statistics

__all__ = ['KINDS_MAX', 'SAMPLES_MAX', 'CostModel', 'Estimate', 'remaining']

KINDS_MAX = 64
# More than the items of a step: the short items of a step end first, so fewer
# samples would show only its short or only its long items.
SAMPLES_MAX = 256
# Fewer samples do not show the 90th percentile.
SAMPLES_MIN = 24
# Number of completions after which a kind is summarised again.
SUMMARY_INTERVAL = 8
# Hints count as informative if the deviation of the costs from their hints is
# at most this share of the deviation of the costs from each other. Both are
# medians of the absolute deviations of logarithms.
INFORMATIVE_SHARE = 0.7
# Cost of a generation in relation to its hint until enough are known: a mean
# of 1, and a long tail.
PRIOR_RATIOS = (0.3, 0.5, 0.6, 0.8, 0.9, 1.0, 1.0, 1.1, 1.4, 2.4)
# Expected cost of a generation without a hint or completed ones.
DEFAULT_TOKENS = 128.0
# A request that has passed most costs of its kind is expected to take this
# share of its cost so far in addition.
OVERRUN_SHARE = 0.5
# Prefill of a prompt token, in relation to the generation of a token, until
# it was measured: the first event of a prompt of some hundred tokens takes
# 50 ms, a later one 40 ms.
PREFILL_SHARE = 0.01
PREFILL_SMOOTHING = 1 / 16


class _Distribution:
    """Sorted values with the sums that conditional means need."""

    __slots__ = ('mean', 'tails', 'values')

    def __init__(self, values):
        self.values = array.array('d', sorted(values))
        # Sums of the values from each position on.
        self.tails = array.array('d', self.values)
        for index in range(len(self.tails) - 2, -1, -1):
            self.tails[index] += self.tails[index + 1]
        self.mean = self.tails[0] / len(self.values)

    def quantile(self, share):
        """Return the interpolated quantile."""
        position = share * (len(self.values) - 1)
        index = int(position)
        low = self.values[index]
        if index + 1 == len(self.values):
            return low
        return low + (position - index) * (self.values[index + 1] - low)

    def mean_above(self, bound):
        """Return the mean of the values above a bound; None for none."""
        index = bisect.bisect_right(self.values, bound)
        if index == len(self.values):
            return None
        return self.tails[index] / (len(self.values) - index)


_PRIOR = _Distribution(PRIOR_RATIOS)


class Estimate:
    """The expected cost of a request, and its distribution.

    :ivar tokens: expected cost, in tokens, or in seconds for a plain call
    :ivar prompt: the part of it that is the prefill of the prompt
    :ivar learned: whether it comes from completed requests
    """

    __slots__ = ('_distribution', '_scale', 'learned', 'prompt', 'tokens')

    def __init__(self, distribution, scale, prompt, learned):
        self._distribution = distribution
        self._scale = scale
        self.learned = learned
        self.prompt = prompt
        self.tokens = distribution.mean * scale + prompt

    @property
    def p90(self):
        """The 90th percentile of the cost."""
        return self.quantile(0.9)

    def quantile(self, share):
        """Return a quantile of the cost, with a share from 0 to 1."""
        return self._distribution.quantile(share) * self._scale + self.prompt

    def mean_above(self, cost):
        """Return the mean of the costs above a cost; None for none."""
        above = self._distribution.mean_above(
            (cost - self.prompt) / self._scale
        )
        return None if above is None else above * self._scale + self.prompt


def remaining(estimate, done):
    """Return the cost that is expected in addition to that so far.

    The longer a request has run beyond the costs that are usual for its kind,
    the more is to be expected.

    :param estimate: the :class:`Estimate` of the request
    :param done: its cost so far
    """
    if done <= 0:
        return estimate.tokens
    above = estimate.mean_above(done)
    left = 0.0 if above is None else above - done
    if done >= estimate.p90:
        left = max(left, done * OVERRUN_SHARE)
    return left


def _measure_deviation(logarithms):
    middle = statistics.median(logarithms)
    return statistics.median(abs(value - middle) for value in logarithms)


class _Kind:
    """The completed requests of a kind."""

    __slots__ = (
        '_costs',
        '_hints',
        '_learned',
        '_position',
        '_summarised',
        'by_hint',
        'costs',
        'hints_inform',
        'prefill_share',
    )

    def __init__(self):
        self._costs = array.array('d')
        self._hints = array.array('d')
        self._position = 0
        self._learned = 0
        self._summarised = 0
        # Distributions of the costs, and of costs divided by hints.
        self.costs = None
        self.by_hint = None
        self.hints_inform = False
        self.prefill_share = PREFILL_SHARE

    def learn(self, hint, cost):
        if len(self._costs) < SAMPLES_MAX:
            self._costs.append(cost)
            self._hints.append(hint)
        else:
            self._costs[self._position] = cost
            self._hints[self._position] = hint
            self._position = (self._position + 1) % SAMPLES_MAX
        self._learned += 1
        if len(self._costs) < SAMPLES_MIN:
            return
        if (
            self.costs is not None
            and self._learned - self._summarised < SUMMARY_INTERVAL
        ):
            return
        self._summarised = self._learned
        self._summarise()

    def _summarise(self):
        self.costs = _Distribution(self._costs)
        self.by_hint = None
        self.hints_inform = False
        ratios = []
        logarithms = []
        for cost, hint in zip(self._costs, self._hints, strict=True):
            if hint > 0:
                ratios.append(cost / hint)
                logarithms.append(math.log(cost))
        if len(ratios) < SAMPLES_MIN:
            return
        self.by_hint = _Distribution(ratios)
        around_hints = _measure_deviation([math.log(r) for r in ratios])
        around_median = _measure_deviation(logarithms)
        self.hints_inform = around_hints < INFORMATIVE_SHARE * around_median


class CostModel:
    """Learns the distribution of the costs of each kind of request.

    A kind is any hashable value, such as the names of route and model. What is
    learned is lost with the process.
    """

    __slots__ = ('_kinds',)

    def __init__(self):
        self._kinds = collections.OrderedDict()

    def __len__(self):
        return len(self._kinds)

    def _get_kind(self, kind):
        found = self._kinds.get(kind)
        if found is None:
            found = self._kinds[kind] = _Kind()
            if len(self._kinds) > KINDS_MAX:
                self._kinds.popitem(last=False)
        else:
            self._kinds.move_to_end(kind)
        return found

    def learn(self, kind, hint, cost):
        """Add a completed request.

        :param hint: the cost that its sender expected, 0 if unknown
        :param cost: output tokens of a generation, seconds of a plain call
        """
        if cost <= 0 or not math.isfinite(cost):
            return
        usable = hint > 0 and math.isfinite(hint)
        self._get_kind(kind).learn(hint if usable else 0.0, cost)

    def learn_prefill(self, kind, prompt_tokens, cost):
        """Add the measured prefill of a prompt.

        :param cost: the number of tokens that would have been generated in
            the same time
        """
        if prompt_tokens <= 0:
            return
        found = self._get_kind(kind)
        share = min(max(cost / prompt_tokens, 0.0), 1.0)
        found.prefill_share += PREFILL_SMOOTHING * (
            share - found.prefill_share
        )

    def estimate(self, kind, hint=0.0, prompt_tokens=0):
        """Estimate the cost of a request.

        Hints are ignored once the completed requests of the kind show that
        they do not inform.

        :param hint: the output tokens that its sender expects, 0 if unknown
        :param prompt_tokens: prompt tokens that the endpoint does not have in
            its memory yet
        :returns: an :class:`Estimate`
        """
        found = self._kinds.get(kind)
        share = PREFILL_SHARE if found is None else found.prefill_share
        prompt = max(0, prompt_tokens) * share
        hinted = hint > 0 and math.isfinite(hint)
        if found is None or found.costs is None:
            scale = hint if hinted else DEFAULT_TOKENS
            return Estimate(_PRIOR, scale, prompt, False)
        if hinted and found.hints_inform:
            return Estimate(found.by_hint, hint, prompt, True)
        return Estimate(found.costs, 1.0, prompt, True)

    def find_median(self, kind):
        """Return the median cost of a kind; None if too few are known."""
        found = self._kinds.get(kind)
        if found is None or found.costs is None:
            return None
        return found.costs.quantile(0.5)

    def find_predictable_spread(self, kind):
        """Return how much of the difference between costs hints can tell.

        :returns: the 90th percentile of the costs divided by their median;
            1.0 if the hints do not inform
        """
        found = self._kinds.get(kind)
        if found is None or not found.hints_inform:
            return 1.0
        return found.costs.quantile(0.9) / found.costs.quantile(0.5)
