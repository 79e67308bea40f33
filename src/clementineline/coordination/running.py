"""Running requests at endpoints: attempts, retries, resumption."""

import asyncio
import contextlib
import uuid

from clementineline.coordination import budgets
from clementineline.coordination import hedging
from clementineline.coordination import requests
from clementineline.coordination import waiting
from clementineline.protocol import messages
from clementineline.protocol import verdicts

__all__ = ['ATTEMPTS_MAX', 'RequestRunner']

# Refusals that cost nothing at the endpoint; they do not count as retries.
REQUEUED_REASONS = ('full', 'preempted', 'leaving', 'weights too old')
RETRIED_STATUSES = (502, 503, 504)
# A chunk that takes this many times its usual interval may mean a slowed
# endpoint.
STALL_FACTOR = 4.0
STALL_MIN_S = 0.05
QUEUE_SHARE = 0.5
QUEUE_MIN_S = 0.05
ATTEMPTS_MAX = 8
SLOW_RESUME_FACTOR = 3.0


class RequestRunner:
    """Runs requests through the router, one attempt after another.

    :param router: a :class:`~routing.Router`
    :param policy: a :class:`~settings.PolicySettings`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param predictor: function from model to its LengthPredictor
    :param wait_max_s: longest wait of a live request without deadline
    """

    __slots__ = (
        '_clock',
        '_decisions',
        '_hedger',
        '_policy',
        '_predictor',
        '_router',
        '_wait_max_s',
        'attempts',
        'retries',
    )

    def __init__(
        self, router, policy, clock, decisions, predictor, wait_max_s
    ):
        self._router = router
        self._policy = policy
        self._clock = clock
        self._decisions = decisions
        self._predictor = predictor
        self._wait_max_s = wait_max_s
        self.attempts = 0
        self.retries = budgets.AttemptBudget(policy.retry_budget_share)
        self._hedger = hedging.Hedger(
            router, policy, clock, decisions, self._note_attempt
        )

    @property
    def hedges(self):
        """Budget of second attempts."""
        return self._hedger.budget

    def _note_attempt(self):
        self.attempts += 1

    def refuse_early(self, pool, deadline):
        """Refuse a live request that cannot be served in time.

        :param pool: the request's pool
        :param deadline: monotonic time, in seconds, or None
        :returns: a :class:`verdicts.NotRun`, or None to admit it
        """
        if not self._policy.late_binding:
            return None
        wait_s = pool.estimate_wait(self._clock.now())
        if not wait_s:
            return None
        # Work that waits as long as it takes only grows the queue.
        limit_s = max(QUEUE_SHARE * pool.mean_service_s, QUEUE_MIN_S)
        if deadline is not None:
            left_s = deadline - self._clock.now() - pool.mean_service_s
            limit_s = min(max(left_s, 0.0), self._wait_max_s)
        if wait_s <= limit_s:
            return None
        return verdicts.NotRun(
            f'expected wait {wait_s:.2f} s, accepted {limit_s:.2f} s',
            max(requests.RETRY_AFTER_S, wait_s - limit_s),
        )

    async def generate(self, request):
        """Run a generation.

        :param request: a :class:`~requests.GenerateRequest`
        :returns: async iterator of Chunks; its last item is a verdict
        """
        pool = self._router.get_pool('engine', request.work.model)
        self.retries.earn()
        text = request.work.resume_text
        produced = 0
        avoid = ()
        attempt_number = 0
        failures = 0
        while failures < ATTEMPTS_MAX:
            attempt_number += 1
            placement = await self.wait_for_slot(
                pool, request, attempt_number, avoid, produced
            )
            if isinstance(placement, verdicts.NotRun):
                yield self._settle_interrupted(placement, produced)
                return
            attempt = self._send(
                placement, request, attempt_number, text, pool
            )
            verdict = None
            follow = self._follow(pool, attempt, request)
            async with contextlib.aclosing(follow):
                async for event in follow:
                    if isinstance(event, messages.Chunk):
                        text += event.text
                        produced += event.tokens
                        self._note_progress(pool, request, produced)
                        yield event
                        continue
                    verdict = event
            if isinstance(verdict, verdicts.Answered):
                self._learn(pool, request, produced, attempt)
                yield verdict
                return
            if not self._may_retry(verdict, request.idempotent, request):
                yield self._settle_interrupted(verdict, produced)
                return
            failures += verdict.reason not in REQUEUED_REASONS
            avoid = (attempt.endpoint.name,)
        yield self._settle_interrupted(verdict, produced)

    def _note_progress(self, pool, request, produced):
        """Bring the siblings of a long sample forward."""
        if request.share == waiting.LIVE or not self._policy.predict_length:
            return
        predictor = self._predictor(request.work.model)
        expected = predictor.predict(
            request.prompt_key, request.share, request.limit
        )
        if produced <= 1.5 * expected or produced >= request.limit:
            return
        predictor.raise_estimate(request.prompt_key, produced)
        pool.queue.reorder(
            request.prompt_key, (request.rank, 1, -2.0 * produced)
        )

    def _settle_interrupted(self, verdict, produced):
        if produced and isinstance(verdict, verdicts.NotRun):
            return verdicts.MayHaveRun(
                f'interrupted after {produced} tokens: {verdict.reason}'
            )
        return verdict

    def _may_retry(self, verdict, idempotent, request):
        """Decide whether another attempt may follow a failed one."""
        if isinstance(verdict, verdicts.MayHaveRun) and not idempotent:
            return False
        if isinstance(verdict, verdicts.NotRun):
            if verdict.reason.startswith('cancelled'):
                return False
            if verdict.reason in REQUEUED_REASONS:
                return True
        if request.deadline is not None:
            if self._clock.now() >= request.deadline:
                return False
        allowed = self.retries.spend()
        self._decisions.record(
            'retry', request.id, allowed=allowed, reason=verdict.reason
        )
        return allowed

    async def wait_for_slot(self, pool, request, number, avoid=(), produced=0):
        """Wait until an endpoint has a free slot, and reserve it.

        :returns: a Placement, or a NotRun verdict when time ran out
        """
        now = self._clock.now()
        item = waiting.WaitingRequest(
            f'{request.id}.{number}',
            request.share,
            getattr(request, 'weight', 1.0),
            self._order(pool, request, produced, now),
            getattr(request, 'prefix_key', ''),
            1,
            asyncio.get_running_loop().create_future(),
            allowed=getattr(request, 'allowed', ()),
            avoid=avoid,
            min_version=getattr(request.work, 'min_version', 0),
            prompt_key=self._get_sample_prompt(request),
        )
        timeout_s = None
        if request.deadline is not None:
            timeout_s = max(0.0, request.deadline - now)
        elif request.share == waiting.LIVE:
            timeout_s = self._wait_max_s
        self._router.add(pool, item)
        try:
            async with asyncio.timeout(timeout_s):
                return await item.future
        except TimeoutError:
            self._router.withdraw(pool, item)
            return verdicts.NotRun('no slot became free in time')
        except asyncio.CancelledError:
            self._router.withdraw(pool, item)
            raise

    def _get_sample_prompt(self, request):
        if request.share == waiting.LIVE:
            return ''
        return getattr(request, 'prompt_key', '')

    def _order(self, pool, request, produced, now):
        """Return the position in the queue: smaller goes first."""
        if not isinstance(request, requests.GenerateRequest):
            return (0, 0, now)
        predictor = self._predictor(request.work.model)
        expected = predictor.predict(
            request.prompt_key, request.share, request.limit
        )
        left = max(expected - produced, 1.0)
        if not self._policy.predict_length:
            return (request.rank, 0, now)
        if request.share != waiting.LIVE:
            if request.is_first_sample and not predictor.has_estimate(
                request.prompt_key
            ):
                return (request.rank, 0, 0.0)
            # Long samples first, so that none is left alone at the end.
            return (request.rank, 1, -left)
        # Shortest first; a request ages by moving up with its arrival.
        return (0, 0, now + left * 0.01)

    def _send(self, placement, request, number, text, pool):
        work = request.work
        if isinstance(work, messages.Generate) and text:
            work = messages.Generate(
                work.model, work.path, work.body, text, work.min_version
            )
        timeout_s = 0.0
        if request.deadline is not None:
            timeout_s = max(0.001, request.deadline - self._clock.now())
        self.attempts += 1
        return placement.endpoint.dispatch(
            messages.Dispatch(
                f'{request.id}.{number}.{uuid.uuid4().hex[:8]}',
                request.share,
                timeout_s,
                False,
                placement.preempts,
                work,
            )
        )

    async def _follow(self, pool, attempt, request):
        """Yield an attempt's Chunks, then its verdict."""
        moving = False
        patience_s = self._find_patience(pool, request)
        try:
            while True:
                event = None
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(patience_s):
                        event = await attempt.events.get()
                if isinstance(event, messages.Done):
                    verdict = requests.build_verdict(event)
                    self._router.schedule(pool)
                    if moving and not isinstance(verdict, verdicts.Answered):
                        verdict = verdicts.NotRun('preempted')
                    yield verdict
                    return
                if event is not None:
                    yield event
                if patience_s is None or moving:
                    continue
                if self._moves_off(pool, attempt, request):
                    moving = True
                    attempt.endpoint.cancel(attempt, 'slow endpoint')
        except (asyncio.CancelledError, GeneratorExit):
            attempt.endpoint.cancel(attempt, 'the caller went away')
            raise

    def _find_patience(self, pool, request):
        """Return how long to wait for a chunk before looking why.

        :returns: seconds, or None if the request must stay where it is
        """
        if not self._policy.resume_stragglers or not request.idempotent:
            return None
        return max(STALL_MIN_S, STALL_FACTOR * pool.find_chunk_interval())

    def _moves_off(self, pool, attempt, request):
        """Decide whether to resume an attempt on a faster endpoint."""
        now = self._clock.now()
        factor = pool.get_slow_factor(attempt.endpoint, now)
        if factor < SLOW_RESUME_FACTOR:
            return False
        for endpoint in pool.endpoints.values():
            if endpoint is attempt.endpoint or not endpoint.usable:
                continue
            if endpoint.count_free(live=request.share == waiting.LIVE) < 1:
                continue
            if pool.get_slow_factor(endpoint, now) >= SLOW_RESUME_FACTOR:
                continue
            self._decisions.record(
                'move',
                request.id,
                away_from=attempt.endpoint.name,
                reason=f'{factor:.1f} times slower than its pool',
            )
            return True
        return False

    def _learn(self, pool, request, produced, attempt):
        predictor = self._predictor(request.work.model)
        predictor.learn(request.prompt_key, request.share, produced)
        if request.share == waiting.LIVE:
            now = self._clock.now()
            pool.note_duration(now - attempt.started_at, now)

    async def call(self, request):
        """Run a plain service call.

        :param request: a :class:`~requests.CallRequest`
        :returns: the verdict
        """
        pool = self._router.get_pool('service', request.work.service)
        self.retries.earn()
        self._hedger.budget.earn()
        verdict = None
        avoid = ()
        number = 0
        failures = 0
        while failures < ATTEMPTS_MAX:
            number += 1
            placement = await self.wait_for_slot(pool, request, number, avoid)
            if isinstance(placement, verdicts.NotRun):
                return verdict or placement
            attempt = self._send(placement, request, number, '', pool)
            verdict, attempt = await self._hedger.wait_for_verdict(
                pool, attempt, request
            )
            if isinstance(verdict, verdicts.Answered):
                now = self._clock.now()
                pool.note_duration(now - attempt.started_at, now)
                if verdict.status not in RETRIED_STATUSES:
                    return verdict
                if not request.work.idempotent or not self.retries.spend():
                    return verdict
            elif not self._may_retry(
                verdict, request.work.idempotent, request
            ):
                return verdict
            else:
                failures -= verdict.reason in REQUEUED_REASONS
            failures += 1
            avoid = (attempt.endpoint.name,)
        return verdict
