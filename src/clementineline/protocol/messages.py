"""Typed messages between the processes.

All are encoded as msgpack arrays that start with the message's tag.
Durations are in seconds and never refer to the clock of another machine.
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
    """A process of the system, as the others know it.

    :param name: the process's name, unique in the fleet
    :param role: ``entry`` or ``sidecar``
    :param incarnation: grows with each start of the process
    :param revision: grows with each change within an incarnation
    :param availability_zone: where it runs
    :param address: ``HOST:PORT`` for sessions
    :param http_address: ``HOST:PORT`` for HTTP
    :param kind: of a sidecar: ``engine`` or ``service``
    :param serves: of a sidecar: the model or service it serves
    :param leaving: it takes no new work
    :param gone: it will never come back in this incarnation
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
    """A generation on a model engine.

    :param model: name of the model
    :param path: ``completions`` or ``chat/completions``
    :param body: the JSON body for the engine
    :param resume_text: text that an earlier attempt already produced
    :param min_version: oldest weight version allowed to run it
    """

    model: str
    path: str
    body: bytes
    resume_text: str = ''
    min_version: int = 0


class Call(msgspec.Struct, tag='c', array_like=True, frozen=True):
    """A call to a plain service.

    :param service: name of the service
    :param method: HTTP method
    :param path: path and query below the service's root
    :param headers: header pairs to pass on
    :param body: body, in bytes
    :param idempotent: whether the call may be repeated
    """

    service: str
    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    idempotent: bool


class Dispatch(msgspec.Struct, tag='dispatch', array_like=True, frozen=True):
    """One attempt of a request, from an entry to a sidecar.

    :param id: id of the attempt, unique in the fleet
    :param share: ``live`` or the name of the trainer that it works for
    :param timeout_s: time left until the caller's deadline; 0 for none
    :param keep: keep the outcome for a later :class:`Attach`
    :param preempts: share whose youngest attempt gives way when the
        endpoint is full; empty for none
    :param work: what to do
    """

    id: str
    share: str
    timeout_s: float
    keep: bool
    preempts: str
    work: Generate | Call


class Cancel(msgspec.Struct, tag='cancel', array_like=True, frozen=True):
    """End an attempt; the sidecar answers with its :class:`Done`."""

    id: str
    reason: str


class Attach(msgspec.Struct, tag='attach', array_like=True, frozen=True):
    """Ask for the outcome of an attempt, now or when it ends.

    An attempt that the sidecar has never seen is refused for good.
    """

    id: str


class Chunk(msgspec.Struct, tag='chunk', array_like=True, frozen=True):
    """A piece of a generation.

    :param text: the text
    :param tokens: number of tokens in it
    :param version: weight version that produced it; -1 if the sidecar
        cannot vouch for one
    """

    id: str
    text: str
    tokens: int
    version: int


class Done(msgspec.Struct, tag='done', array_like=True, frozen=True):
    """The end of an attempt.

    :param outcome: name of the verdict
    :param reason: why it did not run, or what was lost
    """

    id: str
    outcome: str
    reason: str = ''
    status: int = 200
    headers: list[tuple[str, str]] = []
    body: bytes = b''
    finish_reason: str = ''


class KeyRecord(msgspec.Struct, array_like=True, frozen=True):
    """What a home knows about an idempotency key.

    :param key: the key, with the service's name before it
    :param generation: number of the attempt that holds the key
    :param fingerprint: digest of the request's method, path and body
    :param request_id: the attempt that holds the key
    :param endpoint: sidecar that the attempt was sent to
    :param incarnation: the start of that sidecar
    :param answer: the first answer, once it is known
    """

    key: str
    generation: int
    fingerprint: str
    request_id: str
    endpoint: str
    incarnation: int
    answer: Done | None = None


class KeyClaim(msgspec.Struct, tag='claim', array_like=True, frozen=True):
    """Claim a key at a home, or only look it up.

    :param call_id: id that the answer repeats
    :param roster: version of the roster of homes that the entry goes by
    :param record: the claim, or None to look the key up
    :param generation: generation that the claim follows; 0 for none
    """

    call_id: str
    roster: int
    key: str
    generation: int
    record: KeyRecord | None = None


class KeySettle(msgspec.Struct, tag='settle', array_like=True, frozen=True):
    """Store the first answer of a claimed key at a home."""

    key: str
    request_id: str
    answer: Done


class KeyAnswer(msgspec.Struct, tag='key', array_like=True, frozen=True):
    """A home's answer to a :class:`KeyClaim`.

    :param outcome: ``granted``, ``held``, ``absent`` or ``refused``
    :param record: the record that holds the key
    :param reason: why the claim was refused
    """

    call_id: str
    outcome: str
    record: KeyRecord | None = None
    reason: str = ''


class Order(msgspec.Struct, tag='order', array_like=True, frozen=True):
    """A fenced order from the leader to a sidecar, perhaps by relay.

    :param fence: version of the lease object when the leader took it
    :param order_id: id that the answer repeats
    :param targets: names of the sidecars that it is meant for
    :param action: ``stage`` or ``activate``
    :param model: name of the model
    :param version: weight version
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
    """A sidecar's answer to an :class:`Order`.

    :param outcome: ``obeyed``, ``refused`` or ``failed``
    """

    order_id: str
    endpoint: str
    outcome: str
    reason: str = ''


class Report(msgspec.Struct, array_like=True, frozen=True):
    """The state of an endpoint as its sidecar sees it.

    :param capacity: slots; 0 while the endpoint is down or suspect
    :param running: slots in use for each share
    :param reserve: slots that only live work may take
    :param active_version: verified weight version; -1 if unverified
    :param staged_version: staged weight version; -1 for none
    :param leaving: takes no new work
    :param fence: highest fencing number obeyed
    :param state: ``ready``, ``down``, ``swapping`` or ``suspect``
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
    """The newest value of one configuration key.

    :param key: such as ``trainer/NAME``
    :param version: configuration version that set it
    :param value: the value; None if the key was removed
    """

    key: str
    version: int
    value: msgspec.Raw = msgspec.Raw(b'\xc0')


class ConfigurationDelta(
    msgspec.Struct, tag='configuration', array_like=True, frozen=True
):
    """Changes that lead from one configuration version to another."""

    since: int
    version: int
    changes: list[Change]


class MembersDelta(
    msgspec.Struct, tag='members', array_like=True, frozen=True
):
    """Members that the receiver may not know yet."""

    members: list[Member]


class Explain(msgspec.Struct, tag='explain', array_like=True, frozen=True):
    """Ask for the decisions about a request."""

    call_id: str
    id: str


class Explained(msgspec.Struct, tag='explained', array_like=True, frozen=True):
    """Decisions about a request, as JSON lines."""

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
    """First frame of a connection, from the side that opened it.

    :param session_id: session to open or to resume
    :param member: the sender
    :param expected_incarnation: incarnation of the peer that the session
        was opened with; 0 for a new session
    :param received: highest sequence number received in this session
    :param configuration: configuration version in force
    """

    session_id: str
    member: Member
    expected_incarnation: int
    received: int
    configuration: int


class Welcome(msgspec.Struct, tag='welcome', array_like=True, frozen=True):
    """Answer to a :class:`Hello`.

    :param resumed: whether the session's state is still held
    """

    session_id: str
    member: Member
    resumed: bool
    received: int
    configuration: int


class Data(msgspec.Struct, tag='d', array_like=True, frozen=True):
    """A sequenced message.

    :param sequence: counts from 1 in each direction of a session
    :param received: highest sequence number received from the peer
    :param configuration: configuration version in force at the sender
    """

    sequence: int
    received: int
    configuration: int
    body: Message


class Heartbeat(msgspec.Struct, tag='h', array_like=True, frozen=True):
    """Sign of life, acknowledgement and, from a sidecar, its report."""

    received: int
    configuration: int
    report: Report | None = None


class Goodbye(msgspec.Struct, tag='bye', array_like=True, frozen=True):
    """The sender ends the session on purpose, or refuses a frame."""

    reason: str


Frame = Hello | Welcome | Data | Heartbeat | Goodbye
