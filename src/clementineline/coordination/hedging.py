"""Hedging: second attempts of slow idempotent calls, within a budget."""

import asyncio
import contextlib
import uuid

from clementineline.coordination import budgets
from clementineline.coordination import requests
from clementineline.coordination import waiting
from clementineline.protocol import messages

__all__ = ['Hedger']

# Delay before a hedge, as a multiple of the median pace of the pool.
HEDGE_DELAY_FACTOR = 3.0
HEDGE_DELAY_MIN_S = 0.02


class Hedger:
    """Waits for attempts of calls, and hedges the slow ones.

    :param router: a :class:`~routing.Router`
    :param policy: a :class:`~settings.PolicySettings`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param on_hedge: function called for each hedge that is sent
    """

    __slots__ = (
        '_clock',
        '_decisions',
        '_on_hedge',
        '_policy',
        '_router',
        'budget',
    )

    def __init__(self, router, policy, clock, decisions, on_hedge):
        self._router = router
        self._policy = policy
        self._clock = clock
        self._decisions = decisions
        self._on_hedge = on_hedge
        self.budget = budgets.AttemptBudget(policy.hedge_budget_share)

    async def wait_for_verdict(self, pool, attempt, request):
        """Wait for an attempt of a call, and hedge the attempt if it is slow.

        :param pool: the call's :class:`~routing.Pool`
        :param attempt: the :class:`~endpoints.Attempt` that was sent
        :param request: a :class:`~requests.CallRequest`
        :returns: ``(verdict, attempt)`` of the attempt whose outcome counts
        """
        hedge = None
        delay_s = self._find_hedge_delay(pool, request)
        try:
            done = None
            if delay_s is not None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(delay_s):
                        done = await attempt.events.get()
                if done is None:
                    hedge = self._send_hedge(pool, attempt, request)
            if hedge is not None:
                attempt, done = await self._wait_for_first(attempt, hedge)
            if done is None:
                done = await attempt.events.get()
        except asyncio.CancelledError:
            attempt.endpoint.cancel(attempt, 'the caller went away')
            if hedge is not None:
                hedge.endpoint.cancel(hedge, 'the caller went away')
            raise
        self._router.schedule(pool)
        return requests.build_verdict(done), attempt

    def _find_hedge_delay(self, pool, request):
        """Return the time before a hedge in seconds, or None for no hedge."""
        if not self._policy.hedge or not request.hedge:
            return None
        if not request.work.idempotent or not pool.mean_service_s:
            return None
        paces = []
        for endpoint in pool.endpoints.values():
            if endpoint.pace.pace_s:
                paces.append(endpoint.pace.pace_s)
        if len(paces) < 2:
            return None
        paces.sort()
        median = paces[(len(paces) - 1) // 2]
        return max(HEDGE_DELAY_MIN_S, HEDGE_DELAY_FACTOR * median)

    def _send_hedge(self, pool, attempt, request):
        """Send a hedge to another endpoint with a free slot.

        :returns: an :class:`~endpoints.Attempt`, or None if no other endpoint
            has a free slot or the budget is used up
        """
        now = self._clock.now()
        hedge_request = waiting.WaitingRequest(
            f'{request.id}.hedge',
            request.share,
            1.0,
            (0, now),
            '',
            1,
            None,
            avoid=(attempt.endpoint.name,),
        )
        endpoint, scores, _ = pool.choose_endpoint(hedge_request, now)
        if endpoint is None or endpoint is attempt.endpoint:
            return None
        if not self.budget.spend():
            return None
        endpoint.reserve(request.share)
        self._decisions.record(
            'hedge',
            request.id,
            choice=endpoint.name,
            late_at=attempt.endpoint.name,
            scores=scores,
        )
        self._on_hedge()
        return endpoint.dispatch(
            messages.Dispatch(
                f'{request.id}.hedge.{uuid.uuid4().hex[:8]}',
                request.share,
                0.0,
                False,
                '',
                request.work,
            )
        )

    async def _wait_for_first(self, first, second):
        """Wait until one of two attempts is answered, and cancel the other.

        :returns: ``(attempt, done)`` of the answered attempt, or of the
            attempt that ended last if neither was answered
        """
        tasks = {
            asyncio.create_task(first.events.get()): first,
            asyncio.create_task(second.events.get()): second,
        }
        pending = set(tasks)
        winner = done = None
        try:
            while pending:
                finished, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in finished:
                    winner, done = tasks[task], task.result()
                    if done.outcome == 'answered':
                        return winner, done
            return winner, done
        finally:
            for task in pending:
                task.cancel()
                loser = tasks[task]
                loser.endpoint.cancel(loser, 'another attempt answered')
