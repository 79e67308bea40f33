"""Exceptions of the package, in one small hierarchy."""

__all__ = [
    'AmbiguousWrite',
    'AnswerLost',
    'ClementinelineError',
    'ConnectionLost',
    'CursorError',
    'FrameTooLarge',
    'HistoryGone',
    'IntentError',
    'LostStep',
    'MalformedFrame',
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
    """Base of all exceptions that the package raises on purpose."""


class SettingsError(ClementinelineError):
    """A settings file or value was refused; nothing was changed."""


class ProtocolError(ClementinelineError):
    """A peer broke the protocol between the processes."""


class ConnectionLost(ProtocolError):
    """The connection ended before the expected frame arrived."""


class AnswerLost(ConnectionLost):
    """The connection ended after the question was sent."""


class FrameTooLarge(ProtocolError):
    """A frame is larger than the receiver accepts."""


class MalformedFrame(ProtocolError):
    """A frame does not decode into a known message."""


class PlatformError(ClementinelineError):
    """The object API of the platform refused or failed a call."""


class PlatformUnavailable(PlatformError):
    """The object API cannot be reached or answered with a server error."""


class AmbiguousWrite(PlatformUnavailable):
    """A write got no answer: it may or may not have taken effect."""


class WriteConflict(PlatformError):
    """A conditional write found another version than expected."""


class HistoryGone(PlatformError):
    """A watch asked for changes that the store no longer knows."""


class IntentError(ClementinelineError):
    """An intent has an unknown key, a wrong type or an impossible value."""


class PlanError(ClementinelineError):
    """A plan cannot be shown, confirmed or withdrawn."""


class UnknownPlan(PlanError):
    """No plan has the given id."""


class StalePlan(PlanError):
    """The configuration that the plan rests on has changed since."""


class CursorError(ClementinelineError):
    """A trainer's cursor does not fit its step."""


class LostStep(ClementinelineError):
    """The entry holds no such step; the trainer must submit it again."""


class NotReady(ClementinelineError):
    """The process has no configuration yet; nothing was run."""


class RequestError(ClementinelineError):
    """A caller's request is malformed.

    :param status: HTTP status code to answer with
    :param message: what was given and what was expected
    """

    def __init__(self, status, message):
        super().__init__(message)
        self.status = status
