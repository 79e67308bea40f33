"""Questions that the processes ask each other, and the answers.

Gateways ask the leader about submissions, the leader copies the texts of
unfinished items to other keepers, and a process that cannot reach the
platform's store asks another process to make its calls.
"""

import msgspec

from clementineline.state import submissions

__all__ = [
    'Acknowledged',
    'Answer',
    'BodyAnswer',
    'KeepTexts',
    'NotLeading',
    'PageAnswer',
    'Question',
    'ReadBody',
    'ReadResults',
    'ReadTexts',
    'RelayAnswer',
    'RelayCall',
    'RelayFailed',
    'SubmissionEnded',
    'TextPart',
    'TextsAnswer',
    'UnknownSubmission',
]


class ReadResults(msgspec.Struct, frozen=True, tag='results'):
    """Asks the leader for results of a submission.

    :param after: position of the first result to read
    :param wait_s: how long to wait for a result, in seconds
    """

    submission_id: str
    after: int
    wait_s: float


class ReadBody(msgspec.Struct, frozen=True, tag='body'):
    """Asks the leader for the body of an item without a recorded result."""

    submission_id: str
    item_id: str


class NotLeading(msgspec.Struct, frozen=True, tag='not_leading'):
    """The asked process is not the leader, or cannot answer as the leader.

    :param reason: the lease holder that the process knows, or an error
    """

    reason: str = ''


class UnknownSubmission(msgspec.Struct, frozen=True, tag='unknown'):
    """The leader does not hold the submission; the ledger may have it."""


class PageAnswer(msgspec.Struct, frozen=True, tag='page'):
    """A page of the results of a submission."""

    page: submissions.ResultPage


class BodyAnswer(msgspec.Struct, frozen=True, tag='body'):
    """The body of an item.

    :param body: None if the item has a recorded result, or if the submission
        has no such item
    """

    body: bytes | None


class SubmissionEnded(msgspec.Struct, frozen=True, tag='note_end'):
    """Tells the leader that the end of a submission is recorded."""

    submission_id: str


class Acknowledged(msgspec.Struct, frozen=True, tag='noted'):
    """The leader has handled a :class:`SubmissionEnded`."""


class RelayCall(msgspec.Struct, frozen=True, tag='relay'):
    """Asks a process to make a call to the platform's store.

    :param timeout_s: time limit of the call, in seconds
    """

    method: str
    path: str
    body: bytes
    timeout_s: float


class RelayAnswer(msgspec.Struct, frozen=True, tag='relayed'):
    """The store's response to a relayed call."""

    status: int
    body: bytes


class RelayFailed(msgspec.Struct, frozen=True, tag='not_relayed'):
    """A relayed call failed.

    :param ambiguous: whether the call may have taken effect
    """

    reason: str
    ambiguous: bool


class TextPart(msgspec.Struct, frozen=True):
    """Events of an unfinished item.

    :param run_id: id of the item run that generated the last event; events
        of different runs belong together only if the later run resumed the
        earlier one
    :param first: number of the item's events before these
    :param versions: weights versions that generated the events up to the
        last one, in order of first use
    :param whole: whether ``events`` is the complete text, joined into one
        string
    """

    submission_id: str
    item_id: str
    run_id: str
    first: int
    events: list[str]
    versions: list[int]
    whole: bool = False


class KeepTexts(msgspec.Struct, frozen=True, tag='keep_texts'):
    """Asks a keeper to store new events of unfinished items."""

    parts: list[TextPart]


class ReadTexts(msgspec.Struct, frozen=True, tag='read_texts'):
    """Asks a keeper for the texts that it holds of some submissions."""

    submission_ids: list[str]


class TextsAnswer(msgspec.Struct, frozen=True, tag='texts'):
    """Texts that a keeper holds; empty as the answer to KeepTexts."""

    parts: list[TextPart]


Question = (
    ReadResults
    | ReadBody
    | SubmissionEnded
    | RelayCall
    | KeepTexts
    | ReadTexts
)
Answer = (
    NotLeading
    | UnknownSubmission
    | Acknowledged
    | PageAnswer
    | BodyAnswer
    | RelayAnswer
    | RelayFailed
    | TextsAnswer
)
