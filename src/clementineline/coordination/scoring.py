"""Reward calls: the scores that some items need before they are listed.

The items of a step end within a second or two of each other, so a hundred
reward calls may be due at once at a service that also answers live calls.
Reward calls therefore use only a share of each endpoint's slots and wait here
for a free one.
"""

import asyncio
import collections

import msgspec

from clementineline.coordination import authorization
from clementineline.coordination import directory
from clementineline.coordination import ratelimits
from clementineline import errors
from clementineline.protocol import verdicts

__all__ = ['RewardScorer', 'count_reward_slots']

# Share of an endpoint's slots that reward calls may fill; the others are left
# to live calls.
REWARD_SLOTS_SHARE = 0.5
# An attempt and one hedge. The scorer itself repeats calls that failed.
ATTEMPTS_PER_CALL = 2
RETRY_DELAY_S = 0.1
RETRY_DELAY_MAX_S = 1.0
# A call that waits for a slot, an endpoint or its route looks again after this
# time, or at the end of another call.
WAIT_CHECK_S = 0.2


def count_reward_slots(states, now):
    """Return how many reward calls a service's endpoints may run at once.

    An endpoint that is full of other requests, or that names a limit of
    requests a second, still counts for one, so that live calls delay the
    rewards of a step but never stop them.

    :param states: :class:`~directory.EndpointState` of the endpoints
    :param now: loop time, in seconds
    """
    count = 0
    for state in states:
        if now < state.backoff_until:
            continue
        if state.limit is not None:
            count += 1
            continue
        others = 0
        if now - state.load_at < directory.LOAD_TTL_S:
            others = state.other_requests
        share = int(state.record.slots * REWARD_SLOTS_SHARE)
        count += max(1, share - others)
    return count


def _get_retry_delay(verdict):
    if not isinstance(verdict, verdicts.NotRun):
        return RETRY_DELAY_S
    return min(max(RETRY_DELAY_S, verdict.retry_after_s), RETRY_DELAY_MAX_S)


class RewardScorer:
    """Makes reward calls until they are answered.

    :param forwarder: the :class:`~forwarding.CallForwarder`
    :param directory: the :class:`~directory.Directory`
    :param dialect: the platform's dialect
    :param get_routes: function that returns the route table in force
    :param log: logger
    :ivar on_verdict: called with the name of the verdict of each call
    """

    __slots__ = (
        '_active',
        '_call_ended',
        '_dialect',
        '_directory',
        '_forwarder',
        '_get_routes',
        '_log',
        '_turns',
        'on_verdict',
    )

    def __init__(self, forwarder, directory, dialect, get_routes, log):
        self._dialect = dialect
        self._directory = directory
        self._forwarder = forwarder
        self._get_routes = get_routes
        self._log = log
        # Number of calls in progress by the name of their route.
        self._active = collections.Counter()
        self._call_ended = asyncio.Event()
        # Held by the call that is the next of its route to get a slot. Calls
        # of a service that is down must not hold those of others.
        self._turns = collections.defaultdict(asyncio.Lock)
        self.on_verdict = lambda outcome: None

    async def score(self, submission, item):
        """Make an item's reward call until an endpoint answers it.

        :param submission: the item's :class:`~submissions.Submission`
        :param item: the :class:`~submissions.Item`, whose text is complete
        :returns: the score
        :raises errors.NoScore: if the call failed at the endpoint as often as
            the routes allow
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        failures = 0
        while True:
            route = self._find_route(item.reward_call)
            if route is None:
                await asyncio.sleep(WAIT_CHECK_S)
                continue
            await self._wait_for_room(route)
            organisation = authorization.choose_organisation(
                submission, self._get_routes()
            )
            verdict = await self._call(route, item.reward_call, organisation)
            self.on_verdict(verdicts.name_verdict(verdict))
            score = self._read_score(verdict)
            failed = (
                isinstance(verdict, verdicts.Answered)
                and verdict.status == 500
            )
            failures += failed
            self._log.info(
                'reward call',
                request=item.reward_call.id,
                item=item.id,
                submission=submission.id,
                route=route.name,
                verdict=verdicts.name_verdict(verdict),
                status=getattr(verdict, 'status', None),
                reason=getattr(verdict, 'reason', None),
                failures=failures,
                scored=score is not None,
                took_ms=round((loop.time() - started) * 1000),
            )
            if score is not None:
                return score
            if failures >= self._count_attempts(submission, route):
                raise errors.NoScore(
                    f'reward call {item.reward_call.id} of item {item.id} '
                    f'failed {failures} times'
                )
            if not failed:
                await asyncio.sleep(_get_retry_delay(verdict))

    def _find_route(self, reward_call):
        table = self._get_routes()
        if table is None:
            return None
        path = reward_call.path.partition('?')[0]
        return table.match(reward_call.host, path)

    def _count_attempts(self, submission, route):
        """Return how many responses of 500 show that a call always fails.

        The number is the larger one of the item's route and of the call's.
        """
        table = self._get_routes()
        item_route = table.find(submission.route) if table else None
        item_attempts = item_route.attempts_max if item_route else 0
        return max(item_attempts, route.attempts_max)

    async def _wait_for_room(self, route):
        """Wait until a reward call may be sent, in the order of arrival."""
        async with self._turns[route.name]:
            while self._active[route.name] >= self._count_slots(route):
                self._call_ended.clear()
                try:
                    async with asyncio.timeout(WAIT_CHECK_S):
                        await self._call_ended.wait()
                except TimeoutError:
                    continue
            self._active[route.name] += 1

    def _count_slots(self, route):
        now = asyncio.get_running_loop().time()
        count = 0
        for target in route.targets:
            usable = self._directory.list_usable(target.service)
            count += count_reward_slots(usable, now)
        return count

    async def _call(self, route, reward_call, organisation):
        # A reward call may be repeated, whatever its route says of others.
        route = msgspec.structs.replace(
            route, idempotent=True, attempts_max=ATTEMPTS_PER_CALL
        )
        deadline = asyncio.get_running_loop().time() + route.timeout_s
        try:
            return await self._forwarder.forward(
                route,
                self._dialect.build_reward_call(reward_call),
                reward_call.body,
                reward_call.id,
                deadline,
                retry_failures=False,
                purpose=ratelimits.Purpose.REWARD,
                organisation=organisation,
            )
        finally:
            self._active[route.name] -= 1
            self._call_ended.set()

    def _read_score(self, verdict):
        """Return the signature of a successful response, or None."""
        if not isinstance(verdict, verdicts.Answered):
            return None
        if not 200 <= verdict.status < 300:
            return None
        return self._dialect.read_reply(verdict.headers).signature or None
