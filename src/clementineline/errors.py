"""Exceptions of the package."""

__all__ = [
    'AmbiguousWrite',
    'AnswerLost',
    'ClementinelineError',
    'ConnectionLost',
    'CursorError',
    'FrameTooLarge',
    'HistoryGone',
    'IntentError',
    'LimitReached',
    'LostStep',
    'MalformedFrame',
    'NotListening',
    'NotReady',
    'PlanError',
    'PlatformError',
    'PlatformUnavailable',
    'ProtocolError',
    'RequestError',
    'SettingsError',
    'StalePlan',
    'UnknownPlan',
    'WriteConflict',
]


class ClementinelineError(Exception):
    """Base class of the package's exceptions."""


class SettingsError(ClementinelineError):
    """A settings file or value is invalid; nothing was changed."""


class ProtocolError(ClementinelineError):
    """A peer violated the protocol between the processes."""


class ConnectionLost(ProtocolError):
    """The connection ended before the expected frame arrived."""


class NotListening(ConnectionLost):
    """The peer refused a connection: no process listens at the address."""


class AnswerLost(ConnectionLost):
    """A question was sent, but its answer did not arrive."""


class FrameTooLarge(ProtocolError):
    """A frame is larger than the receiver accepts."""


class MalformedFrame(ProtocolError):
    """A frame is not a valid message of a known type."""


class PlatformError(ClementinelineError):
    """A call to the object API of the platform was refused or failed."""


class PlatformUnavailable(PlatformError):
    """The object API is unreachable or responded with a server error."""


class AmbiguousWrite(PlatformUnavailable):
    """A write got no response and may or may not have taken effect."""


class WriteConflict(PlatformError):
    """A conditional write found a version other than the expected one."""


class HistoryGone(PlatformError):
    """A watch requested changes that the store no longer keeps."""


class IntentError(ClementinelineError):
    """An intent has an unknown key, a wrong type or an invalid value."""


class PlanError(ClementinelineError):
    """A plan cannot be shown, confirmed or withdrawn."""


class UnknownPlan(PlanError):
    """No plan has the given id."""


class StalePlan(PlanError):
    """The configuration has changed since the plan was made."""


class CursorError(ClementinelineError):
    """A trainer's cursor is invalid or does not match its step."""


class LostStep(ClementinelineError):
    """The entry does not hold a step, so the trainer must resubmit it."""


class NotReady(ClementinelineError):
    """The process has no configuration or knows no leader; nothing was run."""


class NoScore(ClementinelineError):
    """Every allowed reward call of an item failed at its endpoint."""


class LimitReached(ClementinelineError):
    """A request was not sent, because of the limit that an endpoint names.

    :param message: the endpoint and its limit
    :param retry_after_s: time until the next request may be sent, in seconds
    """

    def __init__(self, message, retry_after_s):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class RequestError(ClementinelineError):
    """A caller's request is malformed.

    :param status: HTTP status code of the response
    :param message: what was given and what was expected
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
