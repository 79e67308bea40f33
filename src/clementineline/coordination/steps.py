"""A trainer's step: its groups and samples, and their weights versions."""

import msgspec

from clementineline.state import cursor as cursors

__all__ = ['Group', 'Sample', 'Scoring', 'StepRequest', 'WireSample']

SAMPLES_MAX = 65536


class Scoring(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The service that scores a step's samples.

    :param service: name of the plain service
    :param path: path below the service's root; the service gets
        ``{"prompt", "text"}`` by POST and responds with ``{"score": NUMBER}``
    """

    service: str
    path: str = 'score'


class StepRequest(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A step as a trainer submits it.

    :param step: step id, unique for the trainer
    :param prompts: prompts, one for each group
    :param group_size: samples for each prompt
    :param max_tokens: maximum number of tokens in a sample
    :param scoring: how samples are scored, or None
    :param sampling: further fields for the engine, such as temperature
    :param cursor: what the trainer has received of the step; None for nothing
    """

    step: str
    prompts: list[str]
    group_size: int
    max_tokens: int = 256
    scoring: Scoring | None = None
    sampling: dict = {}
    cursor: cursors.WireCursor | None = None

    def __post_init__(self):
        if not self.prompts:
            raise ValueError('prompts: got none, expected at least one')
        if self.group_size < 1:
            raise ValueError(
                f'group_size: got {self.group_size}, expected 1 or more'
            )
        if len(self.prompts) * self.group_size > SAMPLES_MAX:
            raise ValueError(
                f'prompts and group_size: got '
                f'{len(self.prompts) * self.group_size} samples, expected '
                f'at most {SAMPLES_MAX}'
            )
        if self.max_tokens < 1:
            raise ValueError(
                f'max_tokens: got {self.max_tokens}, expected 1 or more'
            )

    @property
    def samples(self):
        """Number of samples in the step."""
        return len(self.prompts) * self.group_size


class WireSample(msgspec.Struct, frozen=True):
    """A sample as it is sent to its trainer.

    :param index: index in the step; the group is index // group_size
    :param spans: ``[weights version, tokens]`` pairs, in order
    :param finish_reason: why the generation ended, as reported by the engine
    :param score: score from the scoring service, or None
    """

    index: int
    text: str
    spans: list[tuple[int, int]]
    finish_reason: str
    score: float | None


class Sample:
    """A sample, from its first attempt until its trainer has received it.

    Besides the fields of :class:`WireSample` it holds ``attempts``, the
    number of generations started; ``unverified``, whether the weights version
    of some chunk is unknown; and ``complete``, whether the sample is
    generated and scored.
    """

    __slots__ = (
        'attempts',
        'complete',
        'finish_reason',
        'index',
        'score',
        'spans',
        'text',
        'unverified',
    )

    def __init__(self, index):
        self.index = index
        self.attempts = 0
        self.clear()

    def clear(self):
        """Delete the text and reset all fields that describe it."""
        self.text = ''
        self.spans = []
        self.finish_reason = ''
        self.score = None
        self.unverified = False
        self.complete = False

    def add(self, chunk):
        """Append a chunk to the text and its tokens to the spans.

        :param chunk: a :class:`messages.Chunk`; its version is negative if
            the weights version could not be verified
        """
        self.text += chunk.text
        if chunk.version < 0:
            self.unverified = True
        if not chunk.tokens:
            return
        if self.spans and self.spans[-1][0] == chunk.version:
            version, tokens = self.spans[-1]
            self.spans[-1] = (version, tokens + chunk.tokens)
            return
        self.spans.append((chunk.version, chunk.tokens))

    def find_oldest_version(self):
        """Return the oldest weights version in the spans, or None."""
        oldest = None
        for version, _ in self.spans:
            if oldest is None or version < oldest:
                oldest = version
        return oldest

    def to_wire(self):
        """Return the sample as a :class:`WireSample`."""
        return WireSample(
            self.index,
            self.text,
            list(self.spans),
            self.finish_reason,
            self.score,
        )


class Group:
    """The samples of one prompt."""

    __slots__ = ('index', 'prompt', 'samples')

    def __init__(self, index, prompt, samples):
        self.index = index
        self.prompt = prompt
        self.samples = samples

    def is_complete(self):
        """Return whether each sample is generated and scored."""
        for sample in self.samples:
            if not sample.complete:
                return False
        return True
