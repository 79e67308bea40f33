"""Prediction of generation lengths from prompts and finished siblings."""

import collections
import statistics

__all__ = ['LengthPredictor']

PROMPTS_KEPT = 4096
RECENT_KEPT = 64
DEFAULT_TOKENS = 128.0


class LengthPredictor:
    """Predicts the length of generations of one model, in tokens.

    The best source wins: finished samples of the same prompt, then the
    median of the share (live callers or one trainer) of late, which a few
    long ones do not move, then the limit.
    """

    __slots__ = ('_by_prompt', '_by_share', '_recent')

    def __init__(self):
        self._by_prompt = collections.OrderedDict()
        self._by_share = {}
        self._recent = {}

    def predict(self, prompt_key, share, limit):
        """Return the expected number of tokens.

        :param prompt_key: digest of the prompt
        :param share: ``live`` or a trainer's name
        :param limit: most tokens that the request allows; 0 for no limit
        """
        expected = self._by_prompt.get(prompt_key)
        if expected is None:
            expected = self._by_share.get(share, DEFAULT_TOKENS)
        if limit:
            expected = min(expected, limit)
        return expected

    def has_estimate(self, prompt_key):
        """Return whether anything is known of a prompt."""
        return prompt_key in self._by_prompt

    def raise_estimate(self, prompt_key, produced):
        """Expect more of a prompt whose sample goes on and on.

        :param produced: tokens of a sample that has not ended
        """
        expected = 2.0 * produced
        known = self._by_prompt.get(prompt_key, 0.0)
        self._by_prompt[prompt_key] = max(known, expected)
        self._forget_oldest()

    def _forget_oldest(self):
        if len(self._by_prompt) > PROMPTS_KEPT:
            self._by_prompt.popitem(last=False)

    def learn(self, prompt_key, share, tokens):
        """Take in the length of a finished generation."""
        known = self._by_prompt.pop(prompt_key, tokens)
        # Siblings of a long sample tend to be long: lean to the longer.
        self._by_prompt[prompt_key] = max(known, tokens) * 0.7 + tokens * 0.3
        self._forget_oldest()
        recent = self._recent.get(share)
        if recent is None:
            recent = collections.deque(maxlen=RECENT_KEPT)
            self._recent[share] = recent
        recent.append(tokens)
        self._by_share[share] = statistics.median_low(recent)
