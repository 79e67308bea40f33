"""Admission of requests to endpoints that name a limit.

A limit of requests a second is for all processes together. Each request to an
endpoint with a limit therefore needs a permit of the keeper that divides the
limit, see :mod:`~clementineline.coordination.permits`. The keeper is chosen by
rendezvous hashing over the members. It also tells the limit to all other
processes, see :mod:`~clementineline.coordination.telling`, before each of them
learns it from a response.
"""

import asyncio
import collections

import msgspec

from clementineline.coordination import peers
from clementineline.coordination import permits
from clementineline.coordination import rendezvous
from clementineline.coordination import telling
from clementineline import errors
from clementineline.state import questions

__all__ = [
    'QUESTIONS',
    'RECHECK_S',
    'EndpointLimit',
    'Purpose',
    'RateLimits',
]

# Time between two lines on the requests sent to endpoints with a limit.
LOG_INTERVAL_S = 4.0
ASK_TIMEOUT_S = 0.25
PASS_ON_TIMEOUT_S = 0.1
# A new leader waits for the answers, so silent keepers may not delay it.
READ_LIMITS_TIMEOUT_S = 0.1
# Limit on the keepers that are asked for one permit.
ISSUERS_MAX = 3
# Limits on the keepers and the other processes that a new process asks for the
# known limits. All keepers may have been restarted together.
KEEPERS_ASKED_MAX = 4
OTHERS_ASKED_MAX = 4
# Permits count at the keeper from their issue on, so they may not be used
# much later.
PERMIT_TTL_S = 0.5
# Limits on endpoints that are not found are kept for this time.
EARLY_MAX_AGE_S = 30.0
# An endpoint whose last response is older than this may no longer have its
# limit. It gets a request even if other endpoints have none.
RECHECK_S = 2.0


class Purpose:
    """What a request to an endpoint is for."""

    CALL = 'call'
    STREAM = 'stream'
    ITEM = 'item'
    REWARD = 'reward'
    PROBE = 'probe'
    REPORT = 'report'
    ORDER = 'order'


# Types of the questions that :meth:`RateLimits.answer` answers.
QUESTIONS = (
    questions.RequestPermit,
    questions.TellLimits,
    questions.ReadLimits,
)
_BULK_PURPOSES = (Purpose.ITEM, Purpose.REWARD)


class EndpointLimit:
    """The limit of an endpoint and the permits that this process has for it.

    :ivar known: the :class:`~permits.KnownLimit`
    :ivar unused: loop times at which unused permits expire, in seconds
    :ivar reserved: the same of the permits of items that are about to start
    :ivar asking: whether a permit for an item is being asked for
    :ivar retry_at: loop time before which no permit for an item is expected
    :ivar requests: number of requests since the last line, by purpose
    """

    __slots__ = (
        'asking',
        'known',
        'requests',
        'reserved',
        'retry_at',
        'unused',
    )

    def __init__(self, known):
        self.known = known
        self.unused = collections.deque()
        self.reserved = collections.deque()
        self.asking = False
        self.retry_at = 0.0
        self.requests = collections.Counter()


def _has_valid(expiry_times, now):
    """Drop the expired permits; return whether one is left."""
    while expiry_times and expiry_times[0] < now:
        expiry_times.popleft()
    return bool(expiry_times)


class RateLimits:
    """Admits requests to endpoints within the limits that these name.

    :param name: name of this process
    :param issues: whether this process is a keeper, which issues permits
    :param members: the :class:`~members.MemberRegistry`
    :param directory: the :class:`~directory.Directory`
    :param read_reply: function from headers to
        :class:`~dialect.ReplyFacts`
    :param log: logger
    :ivar on_request: called with the :class:`Purpose` of each request
    :ivar on_permit: called when an item may start at an endpoint with a limit
    """

    __slots__ = (
        '_directory',
        '_early',
        '_issuer',
        '_issues',
        '_log',
        '_logged_at',
        '_members',
        '_name',
        '_peers',
        '_ranked',
        '_ranked_members',
        '_read_reply',
        '_tasks',
        '_teller',
        'on_permit',
        'on_request',
    )

    def __init__(self, name, issues, members, directory, read_reply, log):
        self._directory = directory
        # Limits of endpoints that this process has not found yet, by their
        # id.
        self._early = {}
        self._issuer = permits.PermitIssuer()
        self._issues = issues
        self._log = log
        self._logged_at = 0.0
        self._members = members
        self._name = name
        self._peers = peers.PeerClients(members, telling.BACKOFF_S)
        # Names of keepers by endpoint id, in the order of their rank, and
        # the members that they were computed from.
        self._ranked = {}
        self._ranked_members = None
        self._read_reply = read_reply
        self._tasks = set()
        self._teller = telling.Teller(
            members,
            self._ask_member,
            self._start,
            telling.build_limits_question,
            telling.TELL_DELAY_S,
        )
        self.on_permit = lambda: None
        self.on_request = lambda purpose: None

    # Limits that endpoints name.

    def observe(self, state, response):
        """Read the limit that an endpoint names in a response.

        :param state: the :class:`~directory.EndpointState`
        :param response: the response's head
        :returns: the response's :class:`~dialect.ReplyFacts`
        """
        facts = self._read_reply(tuple(response.headers.raw_items()))
        if response.status_code == 421:
            # The response comes from another endpoint at the same address.
            return facts
        now = asyncio.get_running_loop().time()
        since = state.limit.known.since if state.limit is not None else now
        known = permits.KnownLimit(facts.rate_limit, now, since)
        if self._apply(state, known):
            self._start(self._report(state.id, known))
        return facts

    def _apply(self, state, known):
        """Apply a limit, or its end, unless a newer one is known.

        :returns: whether the limit has changed
        """
        before = state.limit
        rate_before = before.known.rate if before is not None else None
        if before is None:
            if known.rate is None:
                return False
            state.limit = EndpointLimit(known)
        elif known.named_at < before.known.named_at:
            return False
        elif known.rate is None:
            state.limit = None
        else:
            before.known = known
        if known.rate == rate_before:
            return False
        self._log.info(
            'limit changed',
            endpoint=state.id,
            limit=known.rate,
            before=rate_before,
            requests=dict(before.requests) if before is not None else None,
        )
        return True

    def count(self, state, purpose):
        """Count a request.

        :param state: the :class:`~directory.EndpointState`
        :param purpose: one of :class:`Purpose`
        """
        self.on_request(purpose)
        if state.limit is not None:
            state.limit.requests[purpose] += 1

    def list_limited(self):
        """Return the endpoints that name a limit."""
        limited = []
        for state in self._directory.endpoints.values():
            if state.limit is not None:
                limited.append(state)
        return limited

    def log_requests(self):
        """Log the requests sent to endpoints with a limit, now and then."""
        now = asyncio.get_running_loop().time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        for state in self.list_limited():
            limit = state.limit
            if not limit.requests:
                continue
            self._log.info(
                'requests to limited endpoint',
                endpoint=state.id,
                limit=limit.known.rate,
                requests=dict(limit.requests),
            )
            limit.requests.clear()

    # Permits.

    async def admit(self, state, purpose, wait_s):
        """Wait for a permit to send a request.

        :param state: the :class:`~directory.EndpointState`
        :param purpose: one of :class:`Purpose`
        :param wait_s: longest wait for the permit, in seconds
        :raises errors.LimitReached: if there is no permit in time
        """
        limit = state.limit
        if limit is None:
            return
        if purpose == Purpose.PROBE:
            raise errors.LimitReached(
                f'endpoint {state.id} has a limit and gets no probes', 0.0
            )
        now = asyncio.get_running_loop().time()
        if purpose == Purpose.ITEM and _has_valid(limit.reserved, now):
            limit.reserved.popleft()
            return
        bulk = purpose in _BULK_PURPOSES
        permit = await self._ask(state, limit, wait_s, bulk)
        if not permit.granted:
            raise errors.LimitReached(
                f'endpoint {state.id} takes {limit.known.rate} requests a '
                f'second; the next one in {permit.delay_s:.2f} s',
                permit.delay_s,
            )
        if permit.delay_s:
            await asyncio.sleep(permit.delay_s)

    def may_start(self, state):
        """Return whether an item may start at an endpoint now.

        If there is no permit, one is asked for, and :attr:`on_permit` called
        once there is.

        :param state: the :class:`~directory.EndpointState`
        """
        limit = state.limit
        if limit is None:
            return True
        now = asyncio.get_running_loop().time()
        if _has_valid(limit.unused, now):
            return True
        if limit.asking or now < limit.retry_at:
            return False
        if self._is_only_issuer(state.id, now):
            self._keep(limit, self._issue(state, 0.0, True))
            return bool(limit.unused)
        limit.asking = True
        self._start(self._fetch(state, limit))
        return False

    def reserve(self, state):
        """Reserve a permit for an item, if :meth:`may_start` returned true."""
        limit = state.limit
        if limit is not None and limit.unused:
            limit.reserved.append(limit.unused.popleft())

    async def _fetch(self, state, limit):
        try:
            permit = await self._ask(state, limit, 0.0, True)
        finally:
            limit.asking = False
        self._keep(limit, permit)
        if permit.granted:
            self.on_permit()

    def _keep(self, limit, permit):
        now = asyncio.get_running_loop().time()
        if permit.granted:
            limit.unused.append(now + PERMIT_TTL_S)
        else:
            limit.retry_at = now + permit.delay_s

    def _list_issuers(self, endpoint_id):
        """Return the names of keepers, the issuer of an endpoint first."""
        if self._ranked_members is not self._members.addresses:
            self._ranked_members = self._members.addresses
            self._ranked.clear()
        ranked = self._ranked.get(endpoint_id)
        if ranked is None:
            names = set(self._members.keepers)
            if self._issues:
                names.add(self._name)
            ranked = rendezvous.rank(endpoint_id, names)[:ISSUERS_MAX]
            self._ranked[endpoint_id] = ranked
        return ranked

    async def _ask(self, state, limit, wait_s, bulk):
        """Ask the issuer of an endpoint for a permit.

        :param limit: the :class:`EndpointLimit`, which may have ended
        :returns: a :class:`~permits.Permit`
        """
        now = asyncio.get_running_loop().time()
        question = questions.RequestPermit(
            state.id, telling.encode_limit(limit.known, now), wait_s, bulk
        )
        for name in self._list_issuers(state.id):
            if name == self._name:
                answer = await self._answer_request(question)
            else:
                answer = await self._ask_member(name, question)
            if not isinstance(answer, questions.PermitAnswer):
                continue
            now = asyncio.get_running_loop().time()
            self._apply(state, telling.decode_limit(answer.limit, now))
            return permits.Permit(answer.granted, answer.delay_s)
        # Without any keeper, each process uses an equal part of the limit.
        processes = len(self._members.addresses) + 1
        return self._issue(state, wait_s, bulk, processes)

    def _issue(self, state, wait_s, bulk, processes=1):
        if state.limit is None:
            return permits.Permit(True, 0.0)
        now = asyncio.get_running_loop().time()
        self._note(state.id, state.limit.known, now)
        permit, known = self._issuer.issue(
            state.id, state.limit.known, now, wait_s, bulk, processes
        )
        self._apply(state, known)
        return permit

    def _is_only_issuer(self, endpoint_id, now):
        """Return whether this process issues an endpoint's permits alone."""
        if self._list_issuers(endpoint_id)[:1] != [self._name]:
            return False
        return not self._issuer.is_taking_over(endpoint_id, now)

    async def _answer_request(self, question):
        """Issue a permit, or pass the request on to an earlier issuer.

        :param question: a :class:`~questions.RequestPermit`
        :returns: a :class:`~questions.PermitAnswer`
        """
        endpoint_id = question.endpoint_id
        now = asyncio.get_running_loop().time()
        known = telling.decode_limit(question.limit, now)
        self._note(endpoint_id, known, now)
        passed_on = question.passed_on
        if not passed_on and not self._is_only_issuer(endpoint_id, now):
            answer = await self._pass_on(question)
            if isinstance(answer, questions.PermitAnswer):
                return answer
        now = asyncio.get_running_loop().time()
        permit, known = self._issuer.issue(
            endpoint_id, known, now, question.wait_s, question.bulk
        )
        return questions.PermitAnswer(
            permit.granted, permit.delay_s, telling.encode_limit(known, now)
        )

    async def _pass_on(self, question):
        for name in self._list_issuers(question.endpoint_id):
            if name == self._name:
                continue
            passed_on = msgspec.structs.replace(question, passed_on=True)
            return await self._ask_member(name, passed_on, PASS_ON_TIMEOUT_S)
        return None

    async def _ask_member(self, name, question, timeout_s=ASK_TIMEOUT_S):
        """Return the answer of another member, or None if it does not answer.

        A member that did not answer lately is not asked.
        """
        if not self._peers.may_ask(name):
            return None
        try:
            return await self._peers.ask(name, question, timeout_s)
        except errors.ConnectionLost as error:
            self._log.info(
                'member did not answer about limits',
                member=name,
                reason=str(error),
            )
            return None

    # Telling other processes.

    async def gather(self):
        """Ask some keepers and some other processes for known limits.

        All processes know all limits, so a few of them are enough.
        """
        keepers = self._members.keepers
        others = self._members.addresses.keys() - keepers
        names = rendezvous.rank(self._name, keepers)[:KEEPERS_ASKED_MAX]
        names += rendezvous.rank(self._name, others)[:OTHERS_ASKED_MAX]
        answers = await asyncio.gather(
            *(
                self._ask_member(
                    name, questions.ReadLimits(), READ_LIMITS_TIMEOUT_S
                )
                for name in names
            )
        )
        for answer in answers:
            if isinstance(answer, questions.LimitsAnswer):
                self._learn(answer.limits)

    async def _report(self, endpoint_id, known):
        """Tell a limit or its end to the issuer of the endpoint."""
        for name in self._list_issuers(endpoint_id):
            now = asyncio.get_running_loop().time()
            if name == self._name:
                self._note(endpoint_id, known, now)
                return
            if await self._teller.tell(name, {endpoint_id: known}):
                return

    def _note(self, endpoint_id, known, now):
        """Note a limit as the issuer, and tell it to all members if new."""
        if not self._issuer.note(endpoint_id, known, now):
            return
        if self._issues:
            self._teller.tell_all(endpoint_id, known)

    def _learn(self, limits):
        now = asyncio.get_running_loop().time()
        for endpoint_id, stated in limits.items():
            known = telling.decode_limit(stated, now)
            state = self._directory.endpoints.get(endpoint_id)
            if state is not None:
                self._apply(state, known)
            else:
                self._note_early(endpoint_id, known)
            if self._list_issuers(endpoint_id)[:1] == [self._name]:
                self._note(endpoint_id, known, now)

    def _note_early(self, endpoint_id, known):
        before = self._early.get(endpoint_id)
        if before is None or before.named_at < known.named_at:
            self._early[endpoint_id] = known

    def apply_early(self):
        """Apply limits that were learned before their endpoint was found."""
        now = asyncio.get_running_loop().time()
        for endpoint_id, known in list(self._early.items()):
            state = self._directory.endpoints.get(endpoint_id)
            if state is not None:
                self._apply(state, known)
            elif now - known.named_at < EARLY_MAX_AGE_S:
                continue
            del self._early[endpoint_id]

    async def answer(self, question):
        """Answer another process.

        :param question: one of ``QUESTIONS``
        """
        if isinstance(question, questions.RequestPermit):
            return await self._answer_request(question)
        if isinstance(question, questions.TellLimits):
            self._learn(question.limits)
            return questions.Acknowledged()
        now = asyncio.get_running_loop().time()
        limits = {}
        for endpoint_id, known in self._list_known().items():
            limits[endpoint_id] = telling.encode_limit(known, now)
        return questions.LimitsAnswer(limits)

    def _list_known(self):
        """Return a dict from endpoint id to its newest known limit.

        It has the limits that other keepers divide too, since the one that
        asks may have divided them before its restart.
        """
        limits = self._issuer.list_limits()
        for state in self.list_limited():
            known = state.limit.known
            noted = limits.get(state.id)
            if noted is None or noted.named_at < known.named_at:
                limits[state.id] = known
        return limits

    def _start(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._handle_end)

    def _handle_end(self, task):
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self._log.error('limits task failed', exc_info=task.exception())
