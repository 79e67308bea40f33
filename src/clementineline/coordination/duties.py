"""Calls to the platform's API that only the lease holder may make.

Nothing can be read back from the API, so a call without an answer is made
again, and the calls of two holders must not overlap. Meant for one report in
some seconds and orders for some tens of services and zones.
"""

import asyncio
import math

from clementineline import errors
from clementineline.state import dialect as dialects
from clementineline.transport import frames
from clementineline.transport import http
from clementineline.transport import outgoing

__all__ = ['CallSpacer', 'DutySender']

# Share of the calls that the API accepts from all processes together. Two
# holders in a row may each use it within one second.
RATE_SHARE = 0.45
CALL_TIMEOUT_S = 1.0
# A call without an answer may still reach the API for this long, after which
# calls with a higher token may be made.
UNANSWERED_CALL_S = 3.0
RESPONSE_MAX_BYTES = 64 * 1024
LEASE_CHECK_INTERVAL_S = 0.05


class CallSpacer:
    """Spaces calls evenly, in the order in which they ask.

    :param rate: calls a second
    """

    __slots__ = ('_interval_s', '_next_at')

    def __init__(self, rate):
        self._interval_s = 1.0 / rate
        self._next_at = -math.inf

    def reserve(self, now):
        """Reserve the next call.

        :param now: loop time, in seconds
        :returns: time to wait before the call, in seconds
        """
        at = max(now, self._next_at)
        self._next_at = at + self._interval_s
        return at - now


class DutySender:
    """Makes the calls of one term of the lease.

    :param holder: name of this VM, as lease holder
    :param term: the :class:`~lease.Term` in which the calls are made
    :param quiet_s: time before the first call, in seconds, so that calls of
        the previous holder cannot interfere
    :param settings: the :class:`~settings.DutySettings`
    :param spacer: the :class:`CallSpacer` of the process
    :param dialect: the platform's dialect
    :param log: logger
    :ivar last_call_at: loop time of the last call, None if there was none
    :ivar on_outcome: called with the name of the duty and the
        :class:`~dialect.DutyOutcome` of each call
    """

    __slots__ = (
        '_address',
        '_dialect',
        '_holder',
        '_last_fence',
        '_log',
        '_open_calls',
        '_quiet_until',
        '_spacer',
        '_term',
        '_unanswered_at',
        'last_call_at',
        'on_outcome',
    )

    def __init__(self, holder, term, quiet_s, settings, spacer, dialect, log):
        self._address = frames.parse_address(settings.address)
        self._dialect = dialect
        self._holder = holder
        self._last_fence = 0
        self._log = log
        # Reports and orders are sent by different tasks, so calls overlap.
        self._open_calls = 0
        # A call of the process that ran here before may still arrive, and its
        # token is lower.
        self._quiet_until = asyncio.get_running_loop().time() + max(
            quiet_s, CALL_TIMEOUT_S
        )
        self._spacer = spacer
        self._term = term
        # Loop time of the last call that ended without an answer.
        self._unanswered_at = -math.inf
        self.last_call_at = None
        self.on_outcome = lambda duty, outcome: None

    @property
    def call_age_s(self):
        """Time since the last call, in seconds."""
        if self.last_call_at is None:
            return math.inf
        return asyncio.get_running_loop().time() - self.last_call_at

    def may_call(self):
        """Return whether a call may be made now."""
        if not self._term.holds():
            return False
        now = asyncio.get_running_loop().time()
        if now < self._quiet_until:
            return False
        if self._term.fence == self._last_fence:
            return True
        if self._open_calls:
            return False
        return now >= self._unanswered_at + UNANSWERED_CALL_S

    async def call(self, duty, build, *arguments):
        """Make a call once it may be made.

        :param duty: name of the duty, for logs and metrics
        :param build: function from a :class:`~dialect.DutyToken` and the
            arguments to the head and body of the call
        :returns: the :class:`~dialect.DutyOutcome`
        """
        loop = asyncio.get_running_loop()
        status = None
        reason = ''
        client = None
        started = loop.time()
        try:
            client = await self._connect_when_allowed()
            token = dialects.DutyToken(self._holder, self._term.fence)
            head, body = build(token, *arguments)
            host = (b'Host', str(self._address).encode())
            head = http.Head(head.method, head.target, (host, *head.headers))
            started = self.last_call_at = loop.time()
            self._last_fence = token.fence
            status = await self._exchange(client, head, body)
            outcome = self._dialect.read_duty_status(status)
        except (errors.ProtocolError, TimeoutError) as error:
            reason = repr(error)
            outcome = dialects.DutyOutcome.UNANSWERED
        finally:
            if client is not None:
                client.close()
        self.on_outcome(duty, outcome)
        self._log.info(
            'duty call',
            duty=duty,
            arguments=arguments,
            fence=self._last_fence,
            outcome=outcome.value,
            status=status,
            reason=reason,
            took_ms=round((loop.time() - started) * 1000),
        )
        return outcome

    async def _exchange(self, client, head, body):
        """Make a call on an open connection and return the HTTP status."""
        sent_at = asyncio.get_running_loop().time()
        answered = False
        self._open_calls += 1
        try:
            client.send_request(head, body)
            async with asyncio.timeout(CALL_TIMEOUT_S):
                reply = await client.receive_head()
                await client.receive_body(RESPONSE_MAX_BYTES)
            answered = True
            return reply.status_code
        finally:
            self._open_calls -= 1
            if not answered:
                self._unanswered_at = max(self._unanswered_at, sent_at)

    async def _connect_when_allowed(self):
        """Return a connection on which a call may be made at once."""
        loop = asyncio.get_running_loop()
        while True:
            while not self.may_call():
                await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            await asyncio.sleep(self._spacer.reserve(loop.time()))
            client = await outgoing.connect(self._address, CALL_TIMEOUT_S)
            # The lease may have lapsed during the waits.
            if self.may_call():
                return client
            client.close()
