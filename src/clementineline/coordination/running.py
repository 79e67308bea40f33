"""Running requests on endpoints, with retries and resumption."""

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

# Refusals that cost the endpoint no work. They count neither as failures nor
# against the retry budget.
REQUEUED_REASONS = ('full', 'preempted', 'leaving', 'weights too old')
RETRIED_STATUSES = (502, 503, 504)
# A chunk that is later than this multiple of the usual interval may come from
# a slowed endpoint, so the endpoint's pace is checked.
STALL_FACTOR = 4.0
STALL_TIMEOUT_MIN_S = 0.05
# Accepted queue wait of a live request without deadline, as a share of the
# usual duration of such requests.
QUEUE_WAIT_FACTOR = 0.5
QUEUE_WAIT_MIN_S = 0.05
# Failed attempts after which a request fails.
ATTEMPTS_MAX = 8
# A stalled request is moved away from an endpoint that is slower than its pool
# by this factor, to an endpoint that is not.
RESUME_SLOWNESS_FACTOR = 3.0


class RequestRunner:
    """Runs requests through the router, one attempt after another.

    :param router: a :class:`~routing.Router`
    :param policy: a :class:`~settings.PolicySettings`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param get_predictor: function from model to its
        :class:`~prediction.LengthPredictor`
    :param wait_max_s: longest queue wait of a live request without deadline,
        and longest expected wait with which a live request with a deadline
        is admitted, in seconds
    :ivar attempts: number of attempts sent
    :ivar retries: the :class:`~budgets.AttemptBudget` of retries
    """

    __slots__ = (
        '_clock',
        '_decisions',
        '_get_predictor',
        '_hedger',
        '_policy',
        '_router',
        '_wait_max_s',
        'attempts',
        'retries',
    )

    def __init__(
        self, router, policy, clock, decisions, get_predictor, wait_max_s
    ):
        self._router = router
        self._policy = policy
        self._clock = clock
        self._decisions = decisions
        self._get_predictor = get_predictor
        self._wait_max_s = wait_max_s
        self.attempts = 0
        self.retries = budgets.AttemptBudget(policy.retry_budget_share)
        self._hedger = hedging.Hedger(
            router, policy, clock, decisions, self._count_attempt
        )

    @property
    def hedges(self):
        """The :class:`~budgets.AttemptBudget` of hedges."""
        return self._hedger.budget

    def _count_attempt(self):
        self.attempts += 1

    def refuse_early(self, pool, deadline):
        """Refuse a live request whose expected queue wait is too long.

        :param pool: the request's pool
        :param deadline: monotonic time, in seconds, or None
        :returns: a :class:`verdicts.NotRun`, or None to admit it
        """
        if not self._policy.late_binding:
            return None
        wait_s = pool.estimate_wait(self._clock.now())
        if not wait_s:
            return None
        # Without a limit, requests without deadline would grow the queue.
        limit_s = max(
            QUEUE_WAIT_FACTOR * pool.mean_service_s, QUEUE_WAIT_MIN_S
        )
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
        """Run a generation, retrying and resuming it as needed.

        :param request: a :class:`~requests.GenerateRequest`
        :returns: async iterator of :class:`messages.Chunk`; its last item is
            a verdict
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
                yield self._convert_if_interrupted(placement, produced)
                return
            attempt = self._dispatch_attempt(
                placement, request, attempt_number, text, pool
            )
            verdict = None
            stream = self._stream_attempt(pool, attempt, request)
            async with contextlib.aclosing(stream):
                async for event in stream:
                    if isinstance(event, messages.Chunk):
                        text += event.text
                        produced += event.tokens
                        self._update_expected_length(pool, request, produced)
                        yield event
                        continue
                    verdict = event
            if isinstance(verdict, verdicts.Answered):
                self._record_completion(pool, request, produced, attempt)
                yield verdict
                return
            if not self._may_retry(verdict, request.idempotent, request):
                yield self._convert_if_interrupted(verdict, produced)
                return
            failures += verdict.reason not in REQUEUED_REASONS
            avoid = (attempt.endpoint.name,)
        yield self._convert_if_interrupted(verdict, produced)

    def _update_expected_length(self, pool, request, produced):
        """Move the siblings of an unexpectedly long sample up the queue."""
        if request.share == waiting.LIVE or not self._policy.predict_length:
            return
        predictor = self._get_predictor(request.work.model)
        expected = predictor.predict(
            request.prompt_key, request.share, request.limit
        )
        if produced <= 1.5 * expected or produced >= request.limit:
            return
        predictor.raise_estimate(request.prompt_key, produced)
        pool.queue.reorder(
            request.prompt_key, (request.rank, 1, -2.0 * produced)
        )

    def _convert_if_interrupted(self, verdict, produced):
        """Turn NotRun into MayHaveRun if tokens were produced before."""
        if produced and isinstance(verdict, verdicts.NotRun):
            return verdicts.MayHaveRun(
                f'interrupted after {produced} tokens: {verdict.reason}'
            )
        return verdict

    def _may_retry(self, verdict, idempotent, request):
        """Return whether another attempt may follow a failed one.

        The retry is charged to the budget, except after a refusal that is one
        of ``REQUEUED_REASONS``.
        """
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

        :param number: number of the attempt, counted from 1
        :param avoid: names of endpoints to avoid
        :param produced: tokens produced by earlier attempts
        :returns: a :class:`routing.Placement`, or a
            :class:`verdicts.NotRun` if none became free in time
        """
        now = self._clock.now()
        queued = waiting.WaitingRequest(
            f'{request.id}.{number}',
            request.share,
            getattr(request, 'weight', 1.0),
            self._get_queue_order(pool, request, produced, now),
            getattr(request, 'prefix_key', ''),
            1,
            asyncio.get_running_loop().create_future(),
            allowed=getattr(request, 'allowed', ()),
            avoid=avoid,
            min_version=getattr(request.work, 'min_version', 0),
            prompt_key=self._get_sample_prompt_key(request),
        )
        timeout_s = None
        if request.deadline is not None:
            timeout_s = max(0.0, request.deadline - now)
        elif request.share == waiting.LIVE:
            timeout_s = self._wait_max_s
        self._router.add(pool, queued)
        try:
            async with asyncio.timeout(timeout_s):
                return await queued.future
        except TimeoutError:
            self._router.withdraw(pool, queued)
            return verdicts.NotRun('no slot became free in time')
        except asyncio.CancelledError:
            self._router.withdraw(pool, queued)
            raise

    def _get_sample_prompt_key(self, request):
        if request.share == waiting.LIVE:
            return ''
        return getattr(request, 'prompt_key', '')

    def _get_queue_order(self, pool, request, produced, now):
        """Return the queue sort key of a request; smaller goes first."""
        if not isinstance(request, requests.GenerateRequest):
            return (0, 0, now)
        predictor = self._get_predictor(request.work.model)
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
            # Longest first, so that no long sample runs alone at the end.
            return (request.rank, 1, -left)
        # Shortest first; the arrival time keeps long requests from starving.
        return (0, 0, now + left * 0.01)

    def _dispatch_attempt(self, placement, request, number, text, pool):
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

    async def _stream_attempt(self, pool, attempt, request):
        """Yield an attempt's chunks, then its verdict."""
        moving = False
        stall_timeout_s = self._get_stall_timeout(pool, request)
        try:
            while True:
                event = None
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(stall_timeout_s):
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
                if stall_timeout_s is None or moving:
                    continue
                if self._should_move(pool, attempt, request):
                    moving = True
                    attempt.endpoint.cancel(attempt, 'slow endpoint')
        except (asyncio.CancelledError, GeneratorExit):
            attempt.endpoint.cancel(attempt, 'the caller went away')
            raise

    def _get_stall_timeout(self, pool, request):
        """Return how long to wait for a chunk before checking the endpoint.

        :returns: seconds, or None if the request must not be moved
        """
        if not self._policy.resume_stragglers or not request.idempotent:
            return None
        return max(
            STALL_TIMEOUT_MIN_S, STALL_FACTOR * pool.find_chunk_interval()
        )

    def _should_move(self, pool, attempt, request):
        """Return whether to resume an attempt on a faster endpoint."""
        now = self._clock.now()
        factor = pool.get_slow_factor(attempt.endpoint, now)
        if factor < RESUME_SLOWNESS_FACTOR:
            return False
        for endpoint in pool.endpoints.values():
            if endpoint is attempt.endpoint or not endpoint.usable:
                continue
            if endpoint.count_free(live=request.share == waiting.LIVE) < 1:
                continue
            if pool.get_slow_factor(endpoint, now) >= RESUME_SLOWNESS_FACTOR:
                continue
            self._decisions.record(
                'move',
                request.id,
                away_from=attempt.endpoint.name,
                reason=f'{factor:.1f} times slower than its pool',
            )
            return True
        return False

    def _record_completion(self, pool, request, produced, attempt):
        predictor = self._get_predictor(request.work.model)
        predictor.learn(request.prompt_key, request.share, produced)
        if request.share == waiting.LIVE:
            now = self._clock.now()
            pool.record_duration(now - attempt.started_at, now)

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
            attempt = self._dispatch_attempt(
                placement, request, number, '', pool
            )
            verdict, attempt = await self._hedger.wait_for_verdict(
                pool, attempt, request
            )
            if isinstance(verdict, verdicts.Answered):
                now = self._clock.now()
                pool.record_duration(now - attempt.started_at, now)
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
