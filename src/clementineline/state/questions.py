"""Questions that the processes ask each other, and the answers.

Processes ask keepers for permits to send requests to endpoints with a limit.
Gateways ask keepers for changes of objects in the platform's store, and the
leader about submissions. The leader copies the texts of
unfinished items to other keepers, and a process that cannot reach the
platform's store asks another process to make its calls. Gateways tell keepers
how many requests of each organisation they have sent.
"""

import msgspec

from clementineline.state import submissions

__all__ = [
    'Acknowledged',
    'Answer',
    'BodyAnswer',
    'CrashMarks',
    'CrashesAnswer',
    'Denied',
    'FindOrganisation',
    'KeepTexts',
    'LimitsAnswer',
    'NotLeading',
    'NotWatching',
    'OrganisationAnswer',
    'PageAnswer',
    'PermitAnswer',
    'PreviewAnswer',
    'PreviewCandidate',
    'PreviewChoice',
    'PreviewRequest',
    'Question',
    'ReadBody',
    'ReadCrashes',
    'ReadLimits',
    'ReadResults',
    'ReadTexts',
    'ReadUsage',
    'RelayAnswer',
    'RelayCall',
    'RelayFailed',
    'RequestPermit',
    'StatedLimit',
    'StatedUsage',
    'SubmissionEnded',
    'TellCrashes',
    'TellLimits',
    'TellUsage',
    'TextPart',
    'TextsAnswer',
    'UnknownSubmission',
    'UsageAnswer',
    'UsageKept',
    'WatchKind',
    'WatchedChanges',
    'WatchedObject',
]


class ReadResults(msgspec.Struct, frozen=True, tag='results'):
    """Asks the leader for results of a submission.

    :param after: position of the first result to read
    :param wait_s: how long to wait for a result, in seconds
    :param reader: organisation of the reader, '' without a valid key; None if
        organisations are not in force
    """

    submission_id: str
    after: int
    wait_s: float
    reader: str | None = None


class ReadBody(msgspec.Struct, frozen=True, tag='body'):
    """Asks the leader for the body of an item without a recorded result.

    :param reader: as in :class:`ReadResults`
    """

    submission_id: str
    item_id: str
    reader: str | None = None


class FindOrganisation(msgspec.Struct, frozen=True, tag='find_organisation'):
    """Asks the leader for the organisation of a submission."""

    submission_id: str


class OrganisationAnswer(msgspec.Struct, frozen=True, tag='organisation'):
    """The organisation of a submission, as its record has it."""

    organisation: str | None


class Denied(msgspec.Struct, frozen=True, tag='denied'):
    """The reader may not use the submission."""


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
    """News of another process were handled."""


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
    :param organisation: that of the submission
    """

    submission_id: str
    item_id: str
    run_id: str
    first: int
    events: list[str]
    versions: list[int]
    whole: bool = False
    organisation: str | None = None


class KeepTexts(msgspec.Struct, frozen=True, tag='keep_texts'):
    """Asks a keeper to store new events of unfinished items."""

    parts: list[TextPart]


class ReadTexts(msgspec.Struct, frozen=True, tag='read_texts'):
    """Asks a keeper for the texts that it holds of some submissions."""

    submission_ids: list[str]


class TextsAnswer(msgspec.Struct, frozen=True, tag='texts'):
    """Texts that a keeper holds; empty as the answer to KeepTexts."""

    parts: list[TextPart]


class StatedLimit(msgspec.Struct, frozen=True):
    """A limit of requests a second that an endpoint names.

    :param rate: requests a second, None for no limit
    :param age_s: age of the last response that shows it, in seconds
    :param lasted_s: how long the endpoint has had a limit, in seconds
    """

    rate: float | None
    age_s: float
    lasted_s: float


class RequestPermit(msgspec.Struct, frozen=True, tag='permit'):
    """Asks a keeper for a permit to send a request to an endpoint.

    :param wait_s: how long the request may wait for the permit, in seconds
    :param bulk: whether the request is an item or a reward call
    :param passed_on: whether the question comes from another keeper, which
        was asked first
    """

    endpoint_id: str
    limit: StatedLimit
    wait_s: float
    bulk: bool
    passed_on: bool = False


class PermitAnswer(msgspec.Struct, frozen=True, tag='permitted'):
    """A permit, or its refusal.

    :param delay_s: time until the permit may be used, or until another one
        is expected, in seconds
    :param limit: the newest limit of the endpoint that the keeper knows
    """

    granted: bool
    delay_s: float
    limit: StatedLimit


class TellLimits(msgspec.Struct, frozen=True, tag='tell_limits'):
    """Tells limits, or their end, by endpoint id."""

    limits: dict[str, StatedLimit]


class ReadLimits(msgspec.Struct, frozen=True, tag='read_limits'):
    """Asks a process for the limits that it knows."""


class LimitsAnswer(msgspec.Struct, frozen=True, tag='limits'):
    """The limits that a process knows, by endpoint id."""

    limits: dict[str, StatedLimit]


class CrashMarks(msgspec.Struct, frozen=True):
    """Instances of endpoints that ended while they held a request.

    Times are stated as ages, since processes compare no clocks.

    :param ended: all of them
    :param cleared: those that do not count any more, because the request was
        answered after they had ended
    :param ages: dict from an instance to the times since the request was sent
        to it and since it ended, in seconds
    :param trial_age_s: time since the last trial of the request, in seconds;
        None if there was none
    """

    ended: frozenset[str] = frozenset()
    cleared: frozenset[str] = frozenset()
    ages: dict[str, tuple[float, float]] = {}
    trial_age_s: float | None = None


class TellCrashes(msgspec.Struct, frozen=True, tag='tell_crashes'):
    """Tells the :class:`CrashMarks` of requests."""

    marks: dict[str, CrashMarks]


class ReadCrashes(msgspec.Struct, frozen=True, tag='read_crashes'):
    """Asks a process for the crashes under requests that it knows."""


class CrashesAnswer(msgspec.Struct, frozen=True, tag='crashes'):
    """The :class:`CrashMarks` of requests that a process knows."""

    marks: dict[str, CrashMarks]


class WatchKind(msgspec.Struct, frozen=True, tag='watch'):
    """Asks a process for changes of the objects of a kind.

    :param since: version of the store that the asking process has
    :param wait_s: longest time to wait for a change, in seconds
    """

    kind: str
    since: int
    wait_s: float


class WatchedObject(msgspec.Struct, frozen=True):
    """An object of the store, with its encoded value."""

    name: str
    version: int
    value: msgspec.Raw


class WatchedChanges(msgspec.Struct, frozen=True, tag='changes'):
    """Changes of the objects of a kind.

    :param version: version up to which changes are included
    :param objects: changed objects
    :param removed: names of removed objects
    :param whole: whether all other objects are gone
    :param age_s: age of the answering process's last evidence that it is up to
        date, in seconds
    :param regained_s: time since the answering process could reach the store
        again, in seconds; None if it always could
    """

    version: int
    objects: list[WatchedObject]
    removed: list[str]
    whole: bool
    age_s: float = 0.0
    regained_s: float | None = None


class NotWatching(msgspec.Struct, frozen=True, tag='not_watching'):
    """The process is not up to date itself.

    :param age_s: age of its last evidence, in seconds
    """

    age_s: float


class StatedUsage(msgspec.Struct, frozen=True):
    """Requests that one start of a gateway has sent, by organisation.

    :param member: name of the gateway
    :param incarnation: number that is higher at each start
    :param complete_through: last window in which nothing more is counted
    :param windows: all requests so far, by window and organisation; of the
        windows that are left out, nothing has changed
    :param final: whether the gateway stops and counts nothing more
    :param busy: requests that run now, by service
    :param time_of_day: Unix time at the gateway, 0 if it is not stated
    """

    member: str
    incarnation: int
    complete_through: int
    windows: dict[int, dict[str, int]]
    final: bool = False
    busy: dict[str, int] = {}
    time_of_day: float = 0.0


class TellUsage(msgspec.Struct, frozen=True, tag='tell_usage'):
    """Tells a keeper the requests of a gateway."""

    usage: StatedUsage


class UsageKept(msgspec.Struct, frozen=True, tag='usage_kept'):
    """The leader has got the requests of a gateway.

    :param fixed_through: last window whose counts cannot change any more
    """

    fixed_through: int


class ReadUsage(msgspec.Struct, frozen=True, tag='read_usage'):
    """Asks a process for all requests that it has counted or was told."""


class UsageAnswer(msgspec.Struct, frozen=True, tag='usage'):
    """The requests that a process has counted or was told."""

    usage: list[StatedUsage]


class PreviewRequest(msgspec.Struct, frozen=True, tag='preview'):
    """Asks where a request would go now, without sending it.

    :param model: model of an item, empty for a call
    :param version_min: oldest version that may run the item
    :param length_hint: output tokens that the trainer expects of the item
    :param key: key of the caller, None for none
    """

    host: str
    path: str
    model: str = ''
    version_min: int = 0
    length_hint: float = 0.0
    prompt_tokens: int = 0
    key: str | None = None


class PreviewCandidate(msgspec.Struct, frozen=True):
    """What a decision knows of an endpoint.

    :param load: requests as a share of its slots
    :param items: items that the process runs there
    :param slowness: momentary slowness as last reported
    :param speed: lasting speed; 1 for the median, or if it does not count
    """

    endpoint: str
    load: float
    items: int
    slots: int
    slowness: float
    speed: float
    in_backoff: bool
    limited: bool


class PreviewChoice(msgspec.Struct, frozen=True):
    """The endpoint of a service that a request would go to.

    :param weight: share of the route's requests that the service gets
    :param endpoint: id of the endpoint, empty for none
    :param decided_by: ``load`` or ``expected completion``
    :param waits: whether an item would wait for a faster engine
    :param fields: fields of the decision's log line
    """

    service: str
    weight: float
    endpoint: str
    decided_by: str
    waits: bool
    fields: dict[str, float]
    candidates: list[PreviewCandidate]


class PreviewAnswer(msgspec.Struct, frozen=True, tag='preview_answer'):
    """Where a request would go now.

    :param reason: why the request would be refused, empty if there are choices
    :param status: HTTP status of the refusal, 0 for none
    :param retry_after_s: time after which the caller may retry, in seconds; 0
        if the refusal is final
    :param organisation: organisation that the request runs for, '' for none;
        None if organisations are not in force
    """

    route: str
    reason: str
    choices: list[PreviewChoice]
    status: int = 0
    retry_after_s: float = 0.0
    organisation: str | None = None


Question = (
    ReadResults
    | ReadBody
    | FindOrganisation
    | SubmissionEnded
    | RelayCall
    | KeepTexts
    | ReadTexts
    | RequestPermit
    | TellLimits
    | ReadLimits
    | TellCrashes
    | ReadCrashes
    | WatchKind
    | TellUsage
    | ReadUsage
    | PreviewRequest
)
Answer = (
    NotLeading
    | UnknownSubmission
    | OrganisationAnswer
    | Denied
    | Acknowledged
    | PageAnswer
    | BodyAnswer
    | RelayAnswer
    | RelayFailed
    | TextsAnswer
    | PermitAnswer
    | LimitsAnswer
    | CrashesAnswer
    | WatchedChanges
    | NotWatching
    | UsageKept
    | UsageAnswer
    | PreviewAnswer
)
