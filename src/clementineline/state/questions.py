"""What entries ask the owner of submissions, and its answers."""

import msgspec

from clementineline.state import submissions

__all__ = [
    'Answer',
    'BodyAnswer',
    'NotLeading',
    'PageAnswer',
    'Question',
    'ReadBody',
    'ReadResults',
    'Unknown',
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


class Unknown(msgspec.Struct, frozen=True, tag='unknown'):
    """The owner does not know the submission; only the ledger is sure."""


class PageAnswer(msgspec.Struct, frozen=True, tag='page'):
    """Results."""

    page: submissions.ResultPage


class BodyAnswer(msgspec.Struct, frozen=True, tag='body'):
    """A body, or None if the item is listed or not of the submission."""

    body: bytes | None


Question = ReadResults | ReadBody
Answer = NotLeading | Unknown | PageAnswer | BodyAnswer
