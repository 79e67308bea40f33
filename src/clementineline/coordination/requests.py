"""Generation and call requests of an entry, and their verdicts."""

import xxhash

from clementineline.coordination import waiting
from clementineline.protocol import verdicts

__all__ = [
    'CallRequest',
    'GenerateRequest',
    'build_prefix_key',
    'build_verdict',
]

RETRY_AFTER_S = 1.0
PREFIX_CHARACTERS_MAX = 256


class GenerateRequest:
    """A request to generate text with a model.

    :param id: id of the request
    :param work: the :class:`messages.Generate` that the first attempt sends
    :param share: ``live`` or a trainer's name
    :param weight: the trainer's weight
    :param prompt_key: key of the prompt, for the prediction of lengths
    :param prefix_key: digest of the prompt's first characters
    :param limit: maximum number of tokens; 0 for no limit
    :param deadline: monotonic time, in seconds, or None
    :param idempotent: whether a lost attempt may be repeated
    :param allowed: names of endpoints that may run it; empty for all
    :param rank: sort key in the queue of its share, smallest first
    :param is_first_sample: whether it is the first sample of its prompt, whose
        length predicts the lengths of the others
    """

    __slots__ = (
        'allowed',
        'deadline',
        'id',
        'idempotent',
        'is_first_sample',
        'limit',
        'prefix_key',
        'prompt_key',
        'rank',
        'share',
        'weight',
        'work',
    )

    def __init__(
        self,
        id,
        work,
        share=waiting.LIVE,
        weight=1.0,
        prompt_key='',
        prefix_key='',
        limit=0,
        deadline=None,
        idempotent=True,
        allowed=(),
        rank=0,
        is_first_sample=False,
    ):
        self.id = id
        self.work = work
        self.share = share
        self.weight = weight
        self.prompt_key = prompt_key
        self.prefix_key = prefix_key
        self.limit = limit
        self.deadline = deadline
        self.idempotent = idempotent
        self.allowed = allowed
        self.rank = rank
        self.is_first_sample = is_first_sample


class CallRequest:
    """A request to call a plain service.

    :param id: id of the request
    :param work: the :class:`messages.Call`
    :param deadline: monotonic time, in seconds, or None
    :param hedge: whether a slow call may be hedged if it is idempotent
    :param share: ``live`` or the name of the trainer whose sample it scores
    """

    __slots__ = ('deadline', 'hedge', 'id', 'share', 'work')

    def __init__(
        self, id, work, deadline=None, hedge=True, share=waiting.LIVE
    ):
        self.id = id
        self.work = work
        self.deadline = deadline
        self.hedge = hedge
        self.share = share


def build_prefix_key(prompt):
    """Return the digest of a prompt's first characters."""
    prefix = prompt[:PREFIX_CHARACTERS_MAX]
    return xxhash.xxh3_64_hexdigest(prefix.encode())


def build_verdict(done):
    """Convert a sidecar's :class:`messages.Done` to a verdict.

    :param done: a :class:`messages.Done`
    :returns: a :data:`verdicts.Verdict`
    """
    if done.outcome == 'answered':
        headers = tuple((name, value) for name, value in done.headers)
        return verdicts.Answered(
            done.status, headers, done.body, done.finish_reason
        )
    if done.outcome == 'not-run':
        return verdicts.NotRun(done.reason, RETRY_AFTER_S)
    return verdicts.MayHaveRun(done.reason)
