"""The interface between the service and the dialect of a platform.

The processes call a :class:`Dialect` to decode the requests and objects that
the platform defines, and to encode their own. Apart from the dialect, the
service uses only the types of this package.
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
    'DutyOutcome',
    'DutyToken',
    'EngineOrder',
    'OrderOutcome',
    'ReplyFacts',
    'StoreKinds',
]


class BatchVerb(enum.Enum):
    """Operations on a submission that was accepted earlier."""

    READ_RESULTS = 'read_results'
    READ_ITEM = 'read_item'
    END = 'end'


class OrderOutcome(enum.Enum):
    """How an engine responded to a load order.

    ``FENCED`` means that the order's fencing token is outdated,
    ``ANOTHER_ENDPOINT`` that the address now belongs to another endpoint.
    """

    ACCEPTED = 'accepted'
    ALREADY_LOADED = 'holds'
    BUSY = 'busy'
    FENCED = 'fenced'
    ANOTHER_ENDPOINT = 'another_endpoint'
    REFUSED = 'refused'


class DutyOutcome(enum.Enum):
    """How the platform's API responded to a report or an order.

    ``FENCED`` means that the fencing token is outdated.
    """

    ACCEPTED = 'accepted'
    LIMITED = 'limited'
    FENCED = 'fenced'
    REFUSED = 'refused'
    UNANSWERED = 'unanswered'


@dataclasses.dataclass(frozen=True, slots=True)
class DutyToken:
    """Who sends a report or an order.

    :param holder: lease holder that sends it
    :param fence: fencing token of the lease
    """

    holder: str
    fence: int


@dataclasses.dataclass(frozen=True, slots=True)
class CallFacts:
    """Metadata of a caller's request.

    :param request_id: request id that the caller sent, empty if none
    :param host: host name, without port
    :param timeout_s: how long the caller waits, in seconds; None if not
        given
    :param last_event: number of the last event that the caller received on
        an earlier stream, 0 for none
    :param key: key that the caller sent; None if it sent none, '' if what it
        sent cannot be a key
    """

    request_id: str
    host: str
    path: str
    timeout_s: float | None
    last_event: int = 0
    key: str | None = dataclasses.field(default=None, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class ReplyFacts:
    """Metadata of an endpoint's response.

    :param request_id: id of the answered request, empty if not given
    :param not_run: whether the endpoint states that it did not run the
        request
    :param signature: the endpoint's signature, None if there is none
    :param running: number of requests that run at the endpoint, None if not
        reported
    :param waiting: number of requests that wait at the endpoint, None if not
        reported
    :param slowness: reported duration of work relative to normal, 1.0 for
        normal speed
    :param version: weights version of the model, None if not reported
    :param rate_limit: requests a second that the endpoint takes from all
        processes together, None for no limit
    :param leaving: whether the endpoint says that it leaves
    """

    request_id: str
    not_run: bool
    signature: str | None
    running: int | None
    waiting: int | None
    slowness: float
    version: int | None
    rate_limit: float | None = None
    leaving: bool = False

    def is_about(self, request_id):
        """Return whether the response may be that to a request.

        A response that arrives late stands where the next one is expected, and
        proves nothing of the request that waits. A response without an id is
        that of an endpoint which has not read the request.

        :param request_id: id of the request, empty if it was sent without one
        """
        return not self.request_id or self.request_id == request_id

    @property
    def signed(self):
        """Whether the response carries the endpoint's signature."""
        return self.signature is not None


@dataclasses.dataclass(frozen=True, slots=True)
class BatchCall:
    """A call on a submission that was accepted earlier.

    :param after: position of the first result to read
    :param item_id: item to read, empty for other operations
    :param wait_s: how long to wait for a result before answering, in seconds
    :param key: as in :class:`CallFacts`
    """

    verb: BatchVerb
    submission_id: str
    after: int = 0
    item_id: str = ''
    wait_s: float = 0.0
    key: str | None = dataclasses.field(default=None, repr=False)


@dataclasses.dataclass(frozen=True, slots=True)
class EngineOrder:
    """An order to load a weights version of a model.

    :param holder: lease holder that sends the order
    :param fence: fencing token of the lease
    :param orders_accepted: number of orders that the engine had accepted
        before; it refuses the order if the number has changed
    :param keep_running: whether running generations continue with the new
        version
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
    """Kinds of the objects that other systems create in the platform's store.

    :param routes: kind of the route table
    :param routes_name: name of the object that holds the route table
    :param endpoints: kind of the endpoints' records
    :param versions: kind of the versions that trainers name
    :param retirements: kind of the operator's requests to empty a VM
    """

    routes: str
    routes_name: str
    endpoints: str
    versions: str
    retirements: str


class Dialect(typing.Protocol):
    """Translates between a platform's formats and the service's types."""

    kinds: StoreKinds
    # Name of the event field that gives the weights version from that event
    # on.
    version_field: bytes
    # Path at which the load balancer asks whether a process is ready.
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
        self,
        facts,
        route,
        service,
        body,
        now,
        routes_version,
        organisation=None,
    ) -> submissions.Submission: ...

    def estimate_decoded_bytes(self, body: bytes) -> int: ...

    def encode_page(self, page: submissions.ResultPage) -> bytes: ...

    def build_call(
        self, head, endpoint, timeout_s, resume_after=0, organisation=None
    ) -> http.Head: ...

    def build_item_call(
        self, submission, item, endpoint, resume_after, organisation=None
    ) -> http.Head: ...

    def build_reward_call(self, reward_call) -> http.Head: ...

    def build_health_call(self, service, endpoint) -> http.Head: ...

    def build_report_call(self, endpoint) -> http.Head: ...

    def decode_report(self, body: bytes) -> directory.EngineReport: ...

    def build_order_call(self, order, endpoint) -> tuple: ...

    def read_order_status(self, status: int) -> OrderOutcome: ...

    def build_usage_call(self, token, window, counts) -> tuple: ...

    def build_capacity_call(self, token, service, zone, desired) -> tuple: ...

    def read_duty_status(self, status: int) -> DutyOutcome: ...

    def build_retry_headers(self, retry_after_s: float) -> tuple: ...

    def encode_retirement(self, completed: bool) -> dict: ...
