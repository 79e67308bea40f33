"""What processes ask each other, and the answers."""

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
    """Asks for results from a position on."""

    submission_id: str
    after: int
    wait_s: float


class ReadBody(msgspec.Struct, frozen=True, tag='body'):
    """Asks for the body of an item that is not listed yet."""

    submission_id: str
    item_id: str


class NotLeading(msgspec.Struct, frozen=True, tag='not_leading'):
    """The process owns nothing at this moment."""

    reason: str = ''


class UnknownSubmission(msgspec.Struct, frozen=True, tag='unknown'):
    """The owner does not know the submission; only the ledger is sure."""


class PageAnswer(msgspec.Struct, frozen=True, tag='page'):
    """Results."""

    page: submissions.ResultPage


class BodyAnswer(msgspec.Struct, frozen=True, tag='body'):
    """A body, or None if the item is listed or not of the submission."""

    body: bytes | None


class SubmissionEnded(msgspec.Struct, frozen=True, tag='note_end'):
    """Says that a submission's end is recorded."""

    submission_id: str


class Acknowledged(msgspec.Struct, frozen=True, tag='noted'):
    """What was said is known."""


class RelayCall(msgspec.Struct, frozen=True, tag='relay'):
    """Asks to make a call to the platform's store."""

    method: str
    path: str
    body: bytes
    timeout_s: float


class RelayAnswer(msgspec.Struct, frozen=True, tag='relayed'):
    """The store's answer."""

    status: int
    body: bytes


class RelayFailed(msgspec.Struct, frozen=True, tag='not_relayed'):
    """The store did not answer.

    :param ambiguous: whether the call may have been carried out
    """

    reason: str
    ambiguous: bool


class TextPart(msgspec.Struct, frozen=True):
    """Events of an unfinished item.

    :param run_id: the run that made the last of them; events of different
        runs join only where one run was asked to go on after the other
    :param first: how many events stand before them
    :param versions: versions that made all events up to the last one
    :param whole: whether the events are one joined text, and all of it
    """

    submission_id: str
    item_id: str
    run_id: str
    first: int
    events: list[str]
    versions: list[int]
    whole: bool = False


class KeepTexts(msgspec.Struct, frozen=True, tag='keep_texts'):
    """Asks to keep what has grown."""

    parts: list[TextPart]


class ReadTexts(msgspec.Struct, frozen=True, tag='read_texts'):
    """Asks for the texts of some submissions."""

    submission_ids: list[str]


class TextsAnswer(msgspec.Struct, frozen=True, tag='texts'):
    """Texts that are held."""

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
