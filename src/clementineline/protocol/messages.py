"""Typed messages between the processes.

Frames and message bodies are encoded as msgpack arrays that start with a tag.
Times are durations in seconds, because the clocks of two VMs may differ.
"""

import msgspec

__all__ = [
    'Attach',
    'Call',
    'Cancel',
    'Change',
    'Chunk',
    'ConfigurationDelta',
    'Data',
    'Dispatch',
    'Done',
    'Explain',
    'Explained',
    'Frame',
    'Generate',
    'Goodbye',
    'Heartbeat',
    'Hello',
    'KeyAnswer',
    'KeyClaim',
    'KeyRecord',
    'KeySettle',
    'Member',
    'MembersDelta',
    'Order',
    'OrderAnswer',
    'Report',
    'Welcome',
]


class Member(msgspec.Struct, frozen=True, array_like=True):
    """Record of a process of the fleet.

    :param name: the process's name, unique in the fleet
    :param role: ``entry`` or ``sidecar``
    :param incarnation: increases with each start of the process
    :param revision: increases with each change within an incarnation
    :param availability_zone: availability zone that the process runs in
    :param address: ``HOST:PORT`` for sessions
    :param http_address: ``HOST:PORT`` for HTTP
    :param kind: ``engine`` or ``service`` for a sidecar, else empty
    :param serves: model or service of a sidecar's endpoint, else empty
    :param leaving: whether the process refuses new work
    :param gone: whether this incarnation has ended for good
    """

    name: str
    role: str
    incarnation: int
    revision: int
    availability_zone: str
    address: str
    http_address: str = ''
    kind: str = ''
    serves: str = ''
    leaving: bool = False
    gone: bool = False


class Generate(msgspec.Struct, tag='g', array_like=True, frozen=True):
    """Text generation on a model engine.

    :param model: name of the model
    :param path: ``completions`` or ``chat/completions``
    :param body: JSON body for the engine
    :param resume_text: text that earlier attempts generated; the engine
        continues after it
    :param min_version: lowest weights version that may run the request
    """

    model: str
    path: str
    body: bytes
    resume_text: str = ''
    min_version: int = 0


class Call(msgspec.Struct, tag='c', array_like=True, frozen=True):
    """HTTP call to a plain service.

    :param service: name of the service
    :param method: HTTP method
    :param path: path and query, relative to the service's root
    :param headers: headers to forward, as name-value pairs
    :param body: request body
    :param idempotent: whether the call may be repeated
    """

    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotent: bool


class Dispatch(msgspec.Struct, tag='dispatch', array_like=True, frozen=True):
    """Request of an entry to a sidecar to run one attempt.

    :param id: id of the attempt, unique in the fleet
    :param share: ``live`` or the name of the trainer that owns the request
    :param timeout_s: time until the caller's deadline, in seconds; 0 for
        none
    :param keep: whether to keep the outcome for a later :class:`Attach`
    :param preempts: share whose newest attempt is preempted if the endpoint
        is full; empty for none
    :param work: the request to run
    """

    id: str
    share: str
    timeout_s: float
    keep: bool
    preempts: str
    work: Generate | Call


class Cancel(msgspec.Struct, tag='cancel', array_like=True, frozen=True):
    """Request to cancel an attempt.

    The sidecar sends the attempt's :class:`Done` when it has ended. A call
    that is not idempotent is not cancelled and runs to its end.

    :param id: id of the attempt
    :param reason: reason for the cancellation
    """

    id: str
    reason: str


class Attach(msgspec.Struct, tag='attach', array_like=True, frozen=True):
    """Request for the :class:`Done` of an attempt, now or when it ends.

    If the sidecar does not know the attempt, it refuses it for good: it will
    not run a :class:`Dispatch` of the attempt that arrives later.

    :param id: id of the attempt
    """

    id: str


class Chunk(msgspec.Struct, tag='chunk', array_like=True, frozen=True):
    """Part of the output of a generation.

    :param id: id of the attempt
    :param text: the text
    :param tokens: number of tokens in the text
    :param version: weights version that generated the text; -1 if the
        sidecar could not verify it
    """

    id: str
    text: str
    tokens: int
    version: int


class Done(msgspec.Struct, tag='done', array_like=True, frozen=True):
    """Outcome of an attempt.

    :param id: id of the attempt
    :param outcome: name of the verdict
    :param reason: why the attempt did not run, or why it may have run
    :param status: HTTP status of a service call; 200 for a generation
    :param headers: response headers of a service call, as name-value pairs
    :param body: response body of a service call
    :param finish_reason: finish reason of a generation, as the engine
        reports it
    """

    id: str
    outcome: str
    reason: str = ''
    status: int = 200
    headers: list[tuple[str, str]] = []
    body: bytes = b''
    finish_reason: str = ''


class KeyRecord(msgspec.Struct, array_like=True, frozen=True):
    """Record of an idempotency key at its home.

    :param key: the key, prefixed with the service's name
    :param generation: number of the claim that holds the key, from 1
    :param fingerprint: digest of the request's method, path and body
    :param request_id: id of the attempt that holds the key
    :param endpoint: name of the sidecar that the attempt is sent to
    :param incarnation: incarnation of that sidecar
    :param answer: outcome of the attempt, once it is known
    """

    key: str
    generation: int
    fingerprint: str
    request_id: str
    endpoint: str
    incarnation: int
    answer: Done | None = None


class KeyClaim(msgspec.Struct, tag='claim', array_like=True, frozen=True):
    """Request to claim a key at a home, or only to look it up.

    :param call_id: id of this request, repeated in the answer
    :param roster: version of the roster that the entry uses; a home with
        another version refuses the claim
    :param key: the key, prefixed with the service's name
    :param generation: generation of the record that the claim replaces; 0
        for none
    :param record: record to store, or None to look up the key
    """

    call_id: str
    roster: int
    key: str
    generation: int
    record: KeyRecord | None = None


class KeySettle(msgspec.Struct, tag='settle', array_like=True, frozen=True):
    """Request to store the outcome of the attempt that holds a key.

    A home keeps the first outcome that it gets for the attempt.

    :param key: the key, prefixed with the service's name
    :param request_id: id of the attempt
    :param answer: outcome of the attempt
    """

    key: str
    request_id: str
    answer: Done


class KeyAnswer(msgspec.Struct, tag='key', array_like=True, frozen=True):
    """Answer of a home to a :class:`KeyClaim`.

    :param call_id: id of the claim
    :param outcome: ``granted``, ``held``, ``absent`` or ``refused``
    :param record: the record that holds the key, if any
    :param reason: why the claim was refused
    """

    call_id: str
    outcome: str
    record: KeyRecord | None = None
    reason: str = ''


class Order(msgspec.Struct, tag='order', array_like=True, frozen=True):
    """Fenced order of the leader to sidecars, sent directly or relayed.

    :param fence: fencing token: version of the lease object at the leader's
        acquisition of the lease
    :param order_id: id of the order, repeated in the answer
    :param targets: names of the sidecars that the order is for
    :param action: ``stage`` or ``activate``
    :param model: name of the model
    :param version: weights version to stage or activate
    """

    fence: int
    order_id: str
    targets: list[str]
    action: str
    model: str
    version: int


class OrderAnswer(
    msgspec.Struct, tag='order-answer', array_like=True, frozen=True
):
    """Answer of a sidecar to an :class:`Order`.

    :param order_id: id of the order
    :param endpoint: name of the sidecar
    :param outcome: ``obeyed``, ``refused`` or ``failed``
    :param reason: why the order was refused or failed
    """

    order_id: str
    endpoint: str
    outcome: str
    reason: str = ''


class Report(msgspec.Struct, array_like=True, frozen=True):
    """State of an endpoint as its sidecar observes it.

    :param capacity: number of slots; 0 while the endpoint is down
    :param running: number of slots in use by share
    :param reserve: number of slots that only live requests may use
    :param active_version: active weights version; -1 if unverified
    :param staged_version: staged weights version; -1 for none
    :param leaving: whether the sidecar refuses new work
    :param fence: highest fencing token accepted so far
    :param state: ``ready``, ``down`` or ``suspect``
    """

    capacity: int
    running: dict[str, int]
    reserve: int
    active_version: int
    staged_version: int
    leaving: bool
    fence: int
    state: str


class Change(msgspec.Struct, array_like=True, frozen=True):
    """Latest value of one configuration key.

    :param key: the key, such as ``trainer/NAME``
    :param version: configuration version that set or removed the value
    :param value: the value as msgpack; nil if the key was removed
    """

    key: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b'\xc0')


class ConfigurationDelta(
    msgspec.Struct, tag='configuration', array_like=True, frozen=True
):
    """Changes of the configuration between two versions.

    :param since: version that the changes apply to; 0 if they are the whole
        configuration
    :param version: version after the changes
    :param changes: the latest change of each changed key
    """

    since: int
    version: int
    changes: list[Change]


class MembersDelta(
    msgspec.Struct, tag='members', array_like=True, frozen=True
):
    """Records of members that the receiver may lack."""

    members: list[Member]


class Explain(msgspec.Struct, tag='explain', array_like=True, frozen=True):
    """Request for the decisions about an id.

    :param call_id: id of this request, repeated in the answer
    :param id: id of a request, sample, step or plan
    """

    call_id: str
    id: str


class Explained(msgspec.Struct, tag='explained', array_like=True, frozen=True):
    """Answer to an :class:`Explain`.

    :param call_id: id of the :class:`Explain`
    :param lines: the decisions, one JSON object each
    """

    call_id: str
    lines: list[str]


Message = (
    Dispatch
    | Cancel
    | Attach
    | Chunk
    | Done
    | KeyClaim
    | KeySettle
    | KeyAnswer
    | Order
    | OrderAnswer
    | ConfigurationDelta
    | MembersDelta
    | Explain
    | Explained
)


class Hello(msgspec.Struct, tag='hello', array_like=True, frozen=True):
    """First frame of a connection, from the dialling side.

    :param session_id: id of the session to open or resume
    :param member: record of the sender
    :param expected_incarnation: incarnation of the peer when the session was
        opened; 0 for a new session, -1 to introduce the sender without a
        session
    :param received: highest sequence number received in this session
    :param configuration: configuration version in force at the sender
    """

    session_id: str
    member: Member
    expected_incarnation: int
    received: int
    configuration: int


class Welcome(msgspec.Struct, tag='welcome', array_like=True, frozen=True):
    """Reply to a :class:`Hello`.

    :param session_id: id of the session that the connection serves
    :param member: record of the sender
    :param resumed: whether the session is resumed; otherwise it is new
    :param received: highest sequence number received in this session
    :param configuration: configuration version in force at the sender
    """

    session_id: str
    member: Member
    resumed: bool
    received: int
    configuration: int


class Data(msgspec.Struct, tag='d', array_like=True, frozen=True):
    """Numbered message of a session.

    :param sequence: number of the message in its direction, from 1
    :param received: highest sequence number received from the peer
    :param configuration: configuration version in force at the sender
    :param body: the message
    """

    sequence: int
    received: int
    configuration: int
    body: Message


class Heartbeat(msgspec.Struct, tag='h', array_like=True, frozen=True):
    """Periodic acknowledgement that shows that the sender is alive.

    :param received: highest sequence number received from the peer
    :param configuration: configuration version in force at the sender
    :param report: report of a sidecar, if it changed on this connection
    """

    received: int
    configuration: int
    report: Report | None = None


class Goodbye(msgspec.Struct, tag='bye', array_like=True, frozen=True):
    """Last frame before the sender closes the connection.

    :param reason: why the sender stops, or refuses a frame or a connection
    """

    reason: str


Frame = Hello | Welcome | Data | Heartbeat | Goodbye
