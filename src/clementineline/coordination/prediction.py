"""Prediction of generation lengths from earlier generations."""

import collections
import statistics

__all__ = ['LengthPredictor']

PROMPTS_MAX = 4096
RECENT_LENGTHS_MAX = 64
DEFAULT_LENGTH_TOKENS = 128.0


class LengthPredictor:
    """Predicts the length of generations of one model, in tokens.

    The prediction comes from other samples of the same prompt. If there are
    none, it is the median length of recent generations of the share (live
    callers or one trainer), since a few long generations hardly change a
    median. The prediction never exceeds the limit of the request.
    """

    __slots__ = ('_estimates_by_prompt', '_median_by_share', '_recent_lengths')

    def __init__(self):
        self._estimates_by_prompt = collections.OrderedDict()
        self._median_by_share = {}
        self._recent_lengths = {}

    def predict(self, prompt_key, share, limit):
        """Return the expected number of tokens.

        :param prompt_key: key of the prompt
        :param share: ``live`` or a trainer's name
        :param limit: maximum tokens of the request; 0 for no limit
        """
        expected = self._estimates_by_prompt.get(prompt_key)
        if expected is None:
            expected = self._median_by_share.get(share, DEFAULT_LENGTH_TOKENS)
        if limit:
            expected = min(expected, limit)
        return expected

    def has_estimate(self, prompt_key):
        """Return whether there is an estimate for a prompt."""
        return prompt_key in self._estimates_by_prompt

    def raise_estimate(self, prompt_key, produced):
        """Raise the estimate for a prompt that has a long running sample.

        :param prompt_key: key of the prompt
        :param produced: tokens of the running sample so far
        """
        expected = 2.0 * produced
        known = self._estimates_by_prompt.get(prompt_key, 0.0)
        self._estimates_by_prompt[prompt_key] = max(known, expected)
        self._evict_oldest_prompt()

    def _evict_oldest_prompt(self):
        if len(self._estimates_by_prompt) > PROMPTS_MAX:
            self._estimates_by_prompt.popitem(last=False)

    def learn(self, prompt_key, share, tokens):
        """Update the estimates with the length of a finished generation."""
        known = self._estimates_by_prompt.pop(prompt_key, tokens)
        # Other samples of a prompt with a long sample tend to be long, so the
        # longer length weighs more.
        self._estimates_by_prompt[prompt_key] = (
            max(known, tokens) * 0.7 + tokens * 0.3
        )
        self._evict_oldest_prompt()
        recent = self._recent_lengths.get(share)
        if recent is None:
            recent = collections.deque(maxlen=RECENT_LENGTHS_MAX)
            self._recent_lengths[share] = recent
        recent.append(tokens)
        self._median_by_share[share] = statistics.median_low(recent)
