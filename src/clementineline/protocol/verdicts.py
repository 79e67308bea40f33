"""Verdicts: how an attempt ended and whether the request may have run."""

import dataclasses

__all__ = ['Answered', 'MayHaveRun', 'NotRun', 'Verdict', 'name_verdict']


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The request ran and its complete response arrived.

    :param status: HTTP status of a service call; 200 for a generation
    :param headers: response headers of a service call, as name-value pairs
    :param body: response body of a service call
    :param finish_reason: finish reason of a generation, as the engine
        reports it
    """

    status: int = 200
    headers: tuple = ()
    body: bytes = b''
    finish_reason: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run, and this attempt will never run it.

    :param reason: why the attempt was refused
    :param retry_after_s: recommended delay before another attempt, in seconds
    :param no_room: whether an endpoint refused it, as one without room does
    """

    reason: str
    retry_after_s: float = 1.0
    no_room: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class MayHaveRun:
    """It is unknown whether the request ran.

    :param reason: failure that hides the outcome, such as a lost connection
    """

    reason: str


Verdict = Answered | NotRun | MayHaveRun

_NAMES = {
    Answered: 'answered',
    NotRun: 'not-run',
    MayHaveRun: 'may-have-run',
}


def name_verdict(verdict):
    """Return a verdict's name, as response headers and logs contain it."""
    return _NAMES[type(verdict)]
