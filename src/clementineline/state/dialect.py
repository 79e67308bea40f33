"""What the product needs from an adapter to a platform.

The product's processes call a :class:`Dialect` wherever bytes of the platform
come in or go out; everything that they decide rests on the types here and in
``state``.
"""

import dataclasses
import enum
import typing

from clementineline.state import directory
from clementineline.state import routes
from clementineline.state import submissions
from clementineline.transport import http

__all__ = [
    'BatchCall',
    'BatchVerb',
    'CallFacts',
    'Dialect',
    'EngineOrder',
    'OrderOutcome',
    'ReplyFacts',
    'StoreKinds',
]


class BatchVerb(enum.Enum):
    """What a call does to a submission."""

    READ_RESULTS = 'read_results'
    READ_ITEM = 'read_item'
    END = 'end'


class OrderOutcome(enum.Enum):
    """How an engine took an order."""

    ACCEPTED = 'accepted'
    ALREADY_LOADED = 'holds'
    BUSY = 'busy'
    FENCED = 'fenced'
    ANOTHER_ENDPOINT = 'another_endpoint'
    REFUSED = 'refused'


@dataclasses.dataclass(frozen=True, slots=True)
class CallFacts:
    """What a caller's request says of itself.

    :param request_id: empty if it has none
    :param timeout_s: how long the caller waits, None if it does not say
    :param last_event: number of the last event that the caller has of an
        earlier stream, 0 for none
    """

    request_id: str
    host: str
    path: str
    timeout_s: float | None
    last_event: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyFacts:
    """What an endpoint's response says beside its body.

    :param request_id: request that it answers, empty if it does not say
    :param not_run: whether the endpoint vouches that it ran nothing
    :param signed: whether it bears the endpoint's signature
    :param running: requests running there, None if it does not say
    :param waiting: requests waiting there, None if it does not say
    :param slowness: time that work takes there now, 1.0 as usual
    :param version: version of the model's weights, None if it does not say
    """

    request_id: str
    not_run: bool
    signed: bool
    running: int | None
    waiting: int | None
    slowness: float
    version: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCall:
    """A call about a submission that was accepted earlier.

    :param after: first position to read
    :param wait_s: how long the answer may be held back for a result
    """

    verb: BatchVerb
    submission_id: str
    after: int = 0
    item_id: str = ''
    wait_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load a version of a model.

    :param orders_accepted: count that the engine must still report
    :param keep_running: whether runs go on under the new version
    """

    endpoint_id: str
    model: str
    version: int
    holder: str
    fence: int
    orders_accepted: int
    keep_running: bool


@dataclasses.dataclass(frozen=True, slots=True)
class StoreKinds:
    """Kinds in the platform's store that others write."""

    routes: str
    routes_name: str
    endpoints: str
    versions: str
    retirements: str


class Dialect(typing.Protocol):
    """Translates between a platform and the product's types."""

    kinds: StoreKinds
    version_field: bytes
    ready_path: bytes

    def decode_routes(self, value: dict) -> routes.RouteTable: ...

    def decode_endpoint(
        self, name: str, value: dict
    ) -> directory.EndpointRecord | None: ...

    def decode_named_version(self, value: dict) -> tuple | None: ...

    def read_call(self, head: http.Head) -> CallFacts: ...

    def read_reply(self, headers: tuple) -> ReplyFacts: ...

    def read_batch_call(self, head: http.Head) -> BatchCall | None: ...

    def decode_submission(
        self, facts, route, service, body, now
    ) -> submissions.Submission: ...

    def encode_page(self, page: submissions.ResultPage) -> bytes: ...

    def build_call(
        self, head, endpoint, timeout_s, resume_after=0
    ) -> http.Head: ...

    def build_item_call(
        self, submission, item, endpoint, resume_after
    ) -> http.Head: ...

    def build_health_call(self, service, endpoint) -> http.Head: ...

    def build_report_call(self, endpoint) -> http.Head: ...

    def decode_report(self, body: bytes) -> directory.EngineReport: ...

    def build_order_call(self, order, endpoint) -> tuple: ...

    def read_order_status(self, status: int) -> OrderOutcome: ...

    def build_retry_headers(self, retry_after_s: float) -> tuple: ...

    def encode_retirement(self, completed: bool) -> dict: ...
