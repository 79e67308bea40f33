"""Work that organisations have for each model, and their parts of the engines.

Engines are assigned to models in proportion to work, which gives an
organisation with ten times the work ten times the engines. Where the engines
are not sufficient for all, the work of each organisation counts only up to
its share.

The functions do no I/O. They are designed for some tens of trainers, with a
step of each every few seconds.
"""

import collections
import statistics

from clementineline.coordination import fairness

__all__ = ['ModelWork']

SAMPLES_MAX = 4
# Trainers submit a step every few seconds. One that has submitted none for
# this time has stopped, and its organisation needs no engines for it.
STOPPED_S = 60.0


class _Work:
    """Recent steps of an organisation with a model.

    :ivar samples: tokens of each step and the time in which they are due, in
        seconds, 0 for none
    :ivar seen_at: loop time of the last step, in seconds
    """

    __slots__ = ('samples', 'seen_at')

    def __init__(self):
        self.samples = collections.deque(maxlen=SAMPLES_MAX)
        self.seen_at = 0.0


class ModelWork:
    """The work of recent steps, by model and organisation."""

    __slots__ = ('_work',)

    def __init__(self):
        self._work = {}

    def note(self, model, organisation, tokens, due_s, now):
        """Record a step.

        :param tokens: tokens that its items are expected to need
        :param due_s: time in which they are due, in seconds; 0 for none
        :param now: loop time, in seconds
        """
        work = self._work.setdefault((model, organisation), _Work())
        work.samples.append((tokens, due_s))
        work.seen_at = now

    def estimate(self, models, capacity, now):
        """Estimate the work of each model that counts for its engines.

        :param models: names of the models of a service
        :param capacity: tokens that its engines generate in a second; None if
            that is unknown
        :param now: loop time, in seconds
        :returns: dict from model to tokens a step, without the models that
            have no recent step
        """
        steps = {}
        rates = {}
        for key, work in list(self._work.items()):
            if now - work.seen_at > STOPPED_S:
                del self._work[key]
                continue
            model, organisation = key
            if model not in models:
                continue
            steps[key] = statistics.fmean(tokens for tokens, _ in work.samples)
            due_s = max(due_s for _, due_s in work.samples)
            rate = steps[key] / due_s if due_s else 0.0
            rates[organisation] = rates.get(organisation, 0.0) + rate
        shares = rates
        if capacity:
            shares = fairness.share_capacity(
                rates, capacity * fairness.UTILISATION
            )
        found = {}
        for (model, organisation), tokens in steps.items():
            if rates[organisation]:
                tokens *= shares[organisation] / rates[organisation]
            found[model] = found.get(model, 0.0) + tokens
        return found
