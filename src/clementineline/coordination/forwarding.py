"""Forwarding of live calls: attempts, retries, hedges, verdicts."""

import asyncio
import dataclasses
import random

from clementineline.coordination import completion
from clementineline.coordination import crashes
from clementineline.coordination import draining
from clementineline.coordination import endpointchoice
from clementineline.coordination import ratelimits
from clementineline.coordination import responses
from clementineline.coordination import usage
from clementineline import errors
from clementineline.protocol import verdicts

__all__ = [
    'CallForwarder',
    'choose_verdict',
    'delay_return',
]

RESPONSE_MAX_BYTES = 32 * 1024 * 1024
# Share of the route's target latency after which an idempotent call without a
# response is hedged. Calls take a sixth of the target latency on average, so
# few calls to healthy endpoints are hedged.
HEDGE_DELAY_SHARE = 0.55
# Longest wait for a permit, as a share of the route's target latency.
PERMIT_WAIT_SHARE = 0.25
# Refusals because of limits after which a call goes only to endpoints without
# a limit. Asking for permits for all endpoints of a large service would take
# longer than a caller waits.
LIMIT_REFUSALS_MAX = 4

# If no verdict of a call is final, the caller gets the one of highest rank.
_RANKS = {
    verdicts.NotRun: 0,
    verdicts.MayHaveRun: 1,
    verdicts.Answered: 2,
}


def choose_verdict(last, verdict):
    """Choose the verdict that a caller gets if no later one is final.

    Of two refusals, it is the one after which the caller may retry sooner.

    :param last: the verdict that was chosen so far, or None
    :param verdict: the verdict of the attempt after it
    """
    if last is None:
        return verdict
    refusals = isinstance(last, verdicts.NotRun) and isinstance(
        verdict, verdicts.NotRun
    )
    if refusals and last.retry_after_s < verdict.retry_after_s:
        return last
    if _RANKS[type(verdict)] >= _RANKS[type(last)]:
        return verdict
    return last


def delay_return(verdict, drains, directory, service, deadline):
    """Replace the delay of a refusal for lack of capacity.

    :param verdict: the verdict that the caller gets
    :param drains: the :class:`~draining.DrainEstimator`
    :param directory: the :class:`~directory.Directory`
    :param service: name of the service
    :param deadline: loop time at which the caller gives up, in seconds
    :returns: a verdict
    """
    if not isinstance(verdict, verdicts.NotRun) or not verdict.no_room:
        return verdict
    now = asyncio.get_running_loop().time()
    delay_s = drains.choose_delay(
        service, directory.list_usable(service), now, deadline - now
    )
    return dataclasses.replace(verdict, retry_after_s=delay_s)


@dataclasses.dataclass(slots=True)
class _Attempts:
    """A call, its service and the endpoints that it was sent to.

    :param retry_failures: whether a response of 500 or more leads to an
        attempt at another endpoint, if the route allows it
    :param purpose: one of :class:`~ratelimits.Purpose`
    :param tried: ids of the endpoints that the call was sent to
    :param refused: ids of the endpoints that it was not sent to, because of
        their limits
    :param organisation: name of the organisation that the call runs for, ''
        for none; None if organisations are not in force
    :param trial: the call's :class:`~crashes.Trial`
    """

    route: object
    head: object
    body: bytes
    request_id: str
    deadline: float
    service: str
    retry_failures: bool
    purpose: str
    tried: list = dataclasses.field(default_factory=list)
    refused: list = dataclasses.field(default_factory=list)
    organisation: str | None = None
    trial: crashes.Trial = dataclasses.field(default_factory=crashes.Trial)


class CallForwarder:
    """Forwards live calls to endpoints.

    :param directory: the :class:`~directory.Directory`
    :param pool: the :class:`~connections.ConnectionPool`
    :param dialect: the platform's :class:`~dialect.Dialect`
    :param zone: availability zone of this process
    :param crash_record: the :class:`~crashes.CrashRecord`
    :param log: logger
    :param learned: the :class:`~completion.CompletionModel`; None to choose
        endpoints by load
    :ivar drains: the :class:`~draining.DrainEstimator` of the services
    :ivar on_attempt_began: called once for each attempt that an endpoint
        began, with the call's organisation and the Unix time at which it was
        sent, in seconds; None for no calls
    """

    __slots__ = (
        '_crash_record',
        '_dialect',
        '_directory',
        '_learned',
        '_log',
        '_pool',
        '_zone',
        'drains',
        'on_attempt_began',
    )

    def __init__(
        self,
        directory,
        pool,
        dialect,
        zone,
        crash_record,
        log,
        learned=None,
    ):
        self._learned = learned
        self._crash_record = crash_record
        self._directory = directory
        self._pool = pool
        self._dialect = dialect
        self._zone = zone
        self._log = log
        self.on_attempt_began = None
        self.drains = draining.DrainEstimator()

    async def forward(
        self,
        route,
        head,
        body,
        request_id,
        deadline,
        retry_failures=True,
        purpose=ratelimits.Purpose.CALL,
        organisation=None,
    ):
        """Send a call to endpoints until a verdict is final.

        :param request_id: id that the endpoints' responses must carry
        :param deadline: loop time at which the caller gives up, in seconds
        :param retry_failures: whether a response of 500 or more leads to an
            attempt at another endpoint, if the route allows it
        :param purpose: one of :class:`~ratelimits.Purpose`
        :param organisation: name of the organisation that the call runs for,
            '' for none; None if organisations are not in force
        :returns: a verdict
        """
        service = endpointchoice.choose_service(route.targets, random.random())
        attempts = _Attempts(
            route,
            head,
            body,
            request_id,
            deadline,
            service,
            retry_failures,
            purpose,
            organisation=organisation,
        )
        pending = set()
        try:
            verdict = await self._run_attempts(attempts, pending)
        finally:
            for task in pending:
                task.cancel()
        if organisation is None:
            return verdict
        return delay_return(
            verdict, self.drains, self._directory, service, deadline
        )

    async def _run_attempts(self, attempts, pending):
        loop = asyncio.get_running_loop()
        last = None
        hedge_at = None
        while True:
            now = loop.time()
            if now >= attempts.deadline:
                return verdicts.MayHaveRun('time limit')
            if not pending or (hedge_at is not None and now >= hedge_at):
                refusal = self._crash_record.find_refusal(
                    attempts.head,
                    attempts.body,
                    attempts.request_id,
                    attempts.trial,
                )
                if refusal and not pending:
                    return choose_verdict(last, verdicts.MayHaveRun(refusal))
                task = None
                if not refusal:
                    task = self._start_attempt(attempts, now, bool(pending))
                if task is not None:
                    pending.add(task)
                hedge_at = None
                if task is not None and attempts.route.idempotent:
                    hedge_at = now + attempts.route.aim_s * HEDGE_DELAY_SHARE
            if not pending:
                return last or verdicts.NotRun(
                    'no endpoint is known', responses.RETRY_AFTER_S
                )
            wake_at = attempts.deadline
            if hedge_at is not None:
                wake_at = min(wake_at, hedge_at)
            done, _ = await asyncio.wait(
                pending,
                timeout=max(0.0, wake_at - now),
                return_when=asyncio.FIRST_COMPLETED,
            )
            for task in done:
                pending.discard(task)
                verdict = task.result()
                attempts.trial.note_verdict(verdict)
                if self._is_final(attempts, verdict):
                    return verdict
                last = choose_verdict(last, verdict)

    def _is_final(self, attempts, verdict):
        """Return whether the call ends with this verdict."""
        if isinstance(verdict, verdicts.Answered):
            if verdict.status < 500 or not attempts.route.idempotent:
                return True
            if not attempts.retry_failures:
                return True
            return len(attempts.tried) >= attempts.route.attempts_max
        if isinstance(verdict, verdicts.MayHaveRun):
            return not attempts.route.idempotent
        return False

    def _start_attempt(self, attempts, now, hedge):
        if len(attempts.tried) >= attempts.route.attempts_max:
            return None
        # Endpoints may have left since the last attempt.
        state, placed_by = endpointchoice.place_call(
            self._learned,
            attempts.service,
            attempts.route.name,
            self._directory.list_usable(attempts.service),
            [*attempts.tried, *attempts.refused],
            self._zone,
            now,
            unlimited=hedge or len(attempts.refused) >= LIMIT_REFUSALS_MAX,
            has_idle=self._pool.has_idle,
        )
        if state is None:
            return None
        attempts.tried.append(state.id)
        return asyncio.create_task(self._attempt(attempts, state, placed_by))

    async def _attempt(self, attempts, state, placed_by):
        """Send the call to one endpoint.

        :param placed_by: the :class:`~completion.Choice` of the endpoint, or
            None
        :returns: a verdict
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        state.in_flight += 1
        call = object()
        state.open_calls[call] = started
        verdict = None
        sent = True
        notice = usage.BeginningNotice(
            self.on_attempt_began, attempts.organisation
        )
        try:
            verdict = await self._exchange(attempts, state, notice)
        except errors.LimitReached as error:
            sent = False
            attempts.tried.remove(state.id)
            attempts.refused.append(state.id)
            verdict = verdicts.NotRun(str(error), error.retry_after_s)
        finally:
            state.in_flight -= 1
            notice.end(verdict)
            del state.open_calls[call]
            if verdict is None and self._learned is not None:
                self._learned.observe_call(
                    state,
                    attempts.route.name,
                    loop.time() - started,
                    loop.time(),
                    cancelled=True,
                )
            self._log.info(
                'attempt',
                request=attempts.request_id,
                route=attempts.route.name,
                endpoint=state.id,
                attempt=len(attempts.tried),
                load=round(state.estimate_load(started), 2),
                load_age_s=round(started - state.load_at, 2),
                took_ms=round((loop.time() - started) * 1000),
                verdict=verdicts.name_verdict(verdict)
                if verdict
                else 'cancelled',
                status=getattr(verdict, 'status', None),
                reason=getattr(verdict, 'reason', None),
                **(placed_by.list_fields() if placed_by else {}),
            )
        if isinstance(verdict, verdicts.Answered):
            state.record_success()
            self.drains.note_answer(attempts.service, loop.time() - started)
        elif sent:
            state.record_failure(loop.time())
        return verdict

    async def _exchange(self, attempts, state, notice):
        verdict = await self._exchange_once(attempts, state, notice, False)
        if verdict is not None:
            return verdict
        try:
            verdict = await self._exchange_once(attempts, state, notice, True)
        except errors.LimitReached as error:
            verdict = verdicts.NotRun(str(error), error.retry_after_s)
        if isinstance(verdict, verdicts.NotRun):
            # The endpoint may have begun the call on the first connection.
            return verdicts.MayHaveRun(f'connection lost: {verdict.reason}')
        return verdict

    async def _exchange_once(self, attempts, state, notice, fresh):
        """Send the call on one connection.

        :param fresh: whether a new connection is opened in any case
        :returns: a verdict; None if the endpoint had dropped the connection,
            which says nothing about the endpoint
        """
        loop = asyncio.get_running_loop()
        wait_s = attempts.route.aim_s * PERMIT_WAIT_SHARE
        try:
            client = await self._pool.acquire(
                state,
                attempts.purpose,
                wait_s,
                repeatable=attempts.route.idempotent,
                fresh=fresh,
            )
        except errors.ConnectionLost as error:
            return verdicts.NotRun(str(error), responses.RETRY_AFTER_S)
        complete = False
        try:
            remaining_s = attempts.deadline - loop.time()
            if remaining_s <= 0:
                return verdicts.NotRun('time limit before it was sent')
            head = self._dialect.build_call(
                attempts.head,
                state.record,
                remaining_s,
                organisation=attempts.organisation,
            )
            sent_at = loop.time()
            client.send_request(head, attempts.body)
            notice.note_sent(usage.UNANSWERED_COUNT_S)
            reply = await client.receive_head()
            body = await client.receive_body(RESPONSE_MAX_BYTES)
            complete = True
        except errors.ProtocolError as error:
            if client.was_dropped:
                return None
            if await self._pool.has_ended(state):
                self._crash_record.note(
                    attempts.head,
                    attempts.body,
                    attempts.request_id,
                    state,
                    sent_at,
                )
            return verdicts.MayHaveRun(str(error))
        finally:
            if not complete:
                client.close()
        took_s = loop.time() - sent_at
        return self._classify_response(
            attempts, state, client, reply, body, took_s
        )

    def _classify_response(self, attempts, state, client, reply, body, took_s):
        """Return the verdict of a complete response.

        :param took_s: time from the request to the response, in seconds
        """
        headers = tuple(reply.headers.raw_items())
        facts = self._dialect.read_reply(headers)
        if facts.request_id == attempts.request_id:
            state.update_load(facts, asyncio.get_running_loop().time())
            self._pool.release(state, client)
        else:
            client.close()
        verdict = responses.judge_response(
            reply.status_code,
            headers,
            body,
            facts,
            attempts.request_id,
            attempts.route.idempotent,
        )
        if responses.shows_survival(verdict, facts, attempts.request_id):
            self._crash_record.clear(
                attempts.head, attempts.body, attempts.request_id
            )
        if not isinstance(verdict, verdicts.Answered):
            return verdict
        if self._learned is not None and verdict.status < 300:
            if not completion.may_have_waited(facts, state.record.slots):
                self._learned.observe_call(
                    state,
                    attempts.route.name,
                    took_s,
                    asyncio.get_running_loop().time(),
                )
        return verdict
