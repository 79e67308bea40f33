"""Marks of requests under which endpoints ended.

Marks only grow, so processes agree in whatever order they are told.
"""

import dataclasses
import math

from clementineline.state import questions

__all__ = ['End', 'Marks', 'decode_marks', 'encode_marks']


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """The end of an endpoint that held a request.

    :param sent_at: loop time at which the request was sent to it, in seconds
    :param ended_at: loop time at which its end was found, in seconds
    """

    sent_at: float
    ended_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Marks:
    """What is known of a request.

    :param ends: dict from the instance of an endpoint to its :class:`End`
    :param cleared: instances that do not count any more
    :param tried_at: loop time of the last trial, in seconds; ``-inf`` if there
        was none
    """

    ends: dict = dataclasses.field(default_factory=dict)
    cleared: frozenset = frozenset()
    tried_at: float = -math.inf

    def merge(self, other):
        """Return these marks and others; ends known already stay as known."""
        return Marks(
            {**other.ends, **self.ends},
            self.cleared | other.cleared,
            max(self.tried_at, other.tried_at),
        )

    @property
    def ended_at(self):
        """Loop time of the last end, in seconds; ``-inf`` if there is none."""
        return max(
            (end.ended_at for end in self.ends.values()), default=-math.inf
        )

    def list_counted(self):
        """Return the instances that count against the request, sorted."""
        return sorted(self.ends.keys() - self.cleared)

    def count_rounds(self):
        """Count the rounds: the ends that no common cause explains.

        Endpoints that held the request at the same time are one round, as they
        may have ended for one reason that is not the request.
        """
        ends = [self.ends[instance] for instance in self.list_counted()]
        rounds = 0
        last_ended_at = -math.inf
        for end in sorted(ends, key=lambda end: end.ended_at):
            if end.sent_at < last_ended_at:
                continue
            rounds += 1
            last_ended_at = end.ended_at
        return rounds


def encode_marks(marks, now):
    """Encode marks with ages, since processes compare no clocks.

    :param marks: the :class:`Marks` of a request
    :param now: loop time, in seconds
    :returns: the :class:`~questions.CrashMarks`
    """
    ages = {}
    for instance, end in marks.ends.items():
        ages[instance] = (now - end.sent_at, now - end.ended_at)
    trial_age_s = now - marks.tried_at if marks.tried_at > -math.inf else None
    return questions.CrashMarks(
        frozenset(marks.ends), marks.cleared, ages, trial_age_s
    )


def decode_marks(stated, now):
    """Decode :class:`~questions.CrashMarks` that another process told.

    :param now: loop time, in seconds
    :returns: the :class:`Marks`
    """
    ends = {}
    for instance in stated.ended:
        sent_age_s, ended_age_s = stated.ages.get(instance, (0.0, 0.0))
        ends[instance] = End(now - sent_age_s, now - ended_age_s)
    tried_at = -math.inf
    if stated.trial_age_s is not None:
        tried_at = now - stated.trial_age_s
    return Marks(ends, stated.cleared, tried_at)
