"""Verdicts: how an attempt ended, and whether it may have run."""

import dataclasses

__all__ = ['Answered', 'MayHaveRun', 'NotRun', 'Verdict', 'name_verdict']


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request ran and its whole answer arrived.

    :param status: HTTP status of a plain call, 200 for a generation
    :param headers: header pairs of a plain call
    :param body: body of a plain call, in bytes
    :param finish_reason: why a generation ended, as the engine says
    """

    status: int = 200
    headers: tuple = ()
    body: bytes = b''
    finish_reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run and this attempt of it never will.

    :param reason: why it was refused
    :param retry_after_s: when another attempt makes sense, in seconds
    """

    reason: str
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Nobody can say whether the request ran.

    :param reason: what was lost
    """

    reason: str


Verdict = Answered | NotRun | MayHaveRun

_NAMES = {
    Answered: 'answered',
    NotRun: 'not-run',
    MayHaveRun: 'may-have-run',
}


def name_verdict(verdict):
    """Return the verdict's name as callers read it in a header."""
    return _NAMES[type(verdict)]
