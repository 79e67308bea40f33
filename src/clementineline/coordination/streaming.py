"""Forwarding of live streams: each event is relayed once, as it arrives.

The caller gets a single response. If an endpoint fails on a resumable route,
another endpoint resumes the stream after the last relayed event. On other
routes, or if no attempt is left, the response is cut off without its regular
end, so that the caller can tell that it is incomplete.
"""

import asyncio
import random

from clementineline.coordination import completion
from clementineline.coordination import crashes
from clementineline.coordination import draining
from clementineline.coordination import endpointchoice
from clementineline.coordination import forwarding
from clementineline.coordination import ratelimits
from clementineline.coordination import responses
from clementineline.coordination import usage
from clementineline import errors
from clementineline.protocol import verdicts
from clementineline.transport import channels
from clementineline.transport import events
from clementineline.transport import http

__all__ = ['StreamForwarder']

# Callers abandon a stream after a gap of 2 s between events, so a resumable
# stream must move to another endpoint well before that.
DATA_GAP_TIMEOUT_S = 1.0
# A caller that takes nothing for this long makes its endpoint wait. What the
# endpoint does then says nothing about it: it may cut off a response that is
# not read for some seconds.
SLOW_CALLER_S = 0.5


class _Stream:
    """State of a stream to a caller.

    :param last_event: number of the last event that the caller has
    :param organisation: name of the organisation that the stream runs for, ''
        for none; None if organisations are not in force
    :ivar head_sent: whether the head of the response was sent to the caller
    :ivar placed_by: the :class:`~completion.Choice` of the last endpoint;
        None if it was chosen by load
    :ivar tried: ids of the endpoints that the request was sent to
    :ivar refused: ids of the endpoints that it was not sent to, because of
        their limits
    :ivar waited_for_caller: whether the current endpoint had to wait for the
        caller
    """

    __slots__ = (
        'head_sent',
        'last_event',
        'organisation',
        'placed_by',
        'refused',
        'tried',
        'waited_for_caller',
    )

    def __init__(self, last_event, organisation=None):
        self.head_sent = False
        self.last_event = last_event
        self.organisation = organisation
        self.placed_by = None
        self.tried = []
        self.refused = []
        self.waited_for_caller = False

    async def drain(self, incoming):
        """Wait until the caller has taken most of what was sent."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        try:
            await incoming.drain()
        finally:
            if loop.time() - started > SLOW_CALLER_S:
                self.waited_for_caller = True


def _find_fault(stream, number, raw, consecutive):
    """Return why an event may not follow the last one, or ''."""
    last = stream.last_event
    if number is None:
        if last or b'data' not in {
            line.partition(b':')[0] for line in raw.splitlines()
        }:
            return f'no event after {last}: {raw[:80]!r}'
        return ''
    if number <= last or (consecutive and number != last + 1):
        return f'event {number} after {last}'
    return ''


class StreamForwarder:
    """Forwards live streams from endpoints to callers.

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
        began, with the stream's organisation and the Unix time of the first
        event, in seconds; None for no calls
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
        self._dialect = dialect
        self._directory = directory
        self._log = log
        self._pool = pool
        self._zone = zone
        self.on_attempt_began = None
        self.drains = draining.DrainEstimator()

    async def forward(
        self, route, incoming, facts, deadline, organisation=None
    ):
        """Relay a stream until it ends or no further attempt is possible.

        :param incoming: the caller's :class:`~http.IncomingRequest`
        :param facts: the call's :class:`~dialect.CallFacts`
        :param deadline: loop time at which the caller gives up, in seconds
        :param organisation: name of the organisation that the stream runs
            for, '' for none; None if organisations are not in force
        :returns: a verdict; :class:`~verdicts.Answered` with an empty body if
            the complete stream was sent to the caller
        """
        service = endpointchoice.choose_service(route.targets, random.random())
        stream = _Stream(facts.last_event, organisation)
        trial = crashes.Trial()
        last = None
        while len(stream.tried) < route.attempts_max:
            refusal = self._crash_record.find_refusal(
                incoming.head, incoming.body, incoming.request_id, trial
            )
            if refusal:
                last = forwarding.choose_verdict(
                    last, verdicts.MayHaveRun(refusal)
                )
                break
            refusals = len(stream.refused)
            state, stream.placed_by = endpointchoice.place_call(
                self._learned,
                service,
                route.name,
                self._directory.list_usable(service),
                [*stream.tried, *stream.refused],
                self._zone,
                asyncio.get_running_loop().time(),
                unlimited=refusals >= forwarding.LIMIT_REFUSALS_MAX,
                has_idle=self._pool.has_idle,
            )
            if state is None:
                break
            stream.tried.append(state.id)
            started = asyncio.get_running_loop().time()
            verdict = await self._attempt(
                route, state, stream, incoming, deadline
            )
            trial.note_verdict(verdict)
            if isinstance(verdict, verdicts.Answered):
                took_s = asyncio.get_running_loop().time() - started
                self.drains.note_answer(service, took_s)
                return verdict
            last = forwarding.choose_verdict(last, verdict)
            if (
                isinstance(verdict, verdicts.MayHaveRun)
                and not route.resumable
            ):
                break
            if asyncio.get_running_loop().time() >= deadline:
                break
        if stream.head_sent:
            incoming.abort()
        verdict = last or verdicts.NotRun(
            'no endpoint is known', responses.RETRY_AFTER_S
        )
        if organisation is None:
            return verdict
        return forwarding.delay_return(
            verdict, self.drains, self._directory, service, deadline
        )

    async def _attempt(self, route, state, stream, incoming, deadline):
        loop = asyncio.get_running_loop()
        started = loop.time()
        first = stream.last_event
        placed_by = stream.placed_by
        state.in_flight += 1
        stream.waited_for_caller = False
        call = object()
        state.open_calls[call] = started
        verdict = None
        sent = True
        notice = usage.BeginningNotice(
            self.on_attempt_began, stream.organisation
        )
        try:
            async with asyncio.timeout_at(deadline):
                verdict = await self._exchange(
                    route, state, stream, incoming, deadline, notice
                )
        except errors.LimitReached as error:
            sent = False
            stream.tried.remove(state.id)
            stream.refused.append(state.id)
            verdict = verdicts.NotRun(str(error), error.retry_after_s)
        except TimeoutError:
            verdict = verdicts.MayHaveRun('time limit')
        finally:
            state.in_flight -= 1
            notice.end(verdict)
            del state.open_calls[call]
            self._log.info(
                'stream attempt',
                request=incoming.request_id,
                route=route.name,
                endpoint=state.id,
                attempt=len(stream.tried),
                resumed_after=first,
                last_event=stream.last_event,
                took_ms=round((loop.time() - started) * 1000),
                verdict=verdicts.name_verdict(verdict)
                if verdict
                else 'cancelled',
                reason=getattr(verdict, 'reason', None),
                **(placed_by.list_fields() if placed_by else {}),
            )
        if isinstance(verdict, verdicts.Answered):
            if (
                self._learned is not None
                and verdict.status < 300
                and not first
            ):
                self._learned.learn_stream(
                    state, route.name, loop.time() - started
                )
            state.record_success()
            self._crash_record.clear(
                incoming.head, incoming.body, incoming.request_id
            )
        elif sent and not stream.waited_for_caller:
            state.record_failure(loop.time())
        return verdict

    async def _exchange(
        self, route, state, stream, incoming, deadline, notice
    ):
        loop = asyncio.get_running_loop()
        try:
            client = await self._pool.acquire(
                state,
                ratelimits.Purpose.STREAM,
                route.aim_s * forwarding.PERMIT_WAIT_SHARE,
                repeatable=route.resumable,
            )
        except errors.ConnectionLost as error:
            return verdicts.NotRun(str(error), responses.RETRY_AFTER_S)
        complete = False
        try:
            head = self._dialect.build_call(
                incoming.head,
                state.record,
                deadline - loop.time(),
                stream.last_event,
                stream.organisation,
            )
            sent_at = loop.time()
            client.send_request(head, incoming.body)
            notice.note_sent()
            gap_s = DATA_GAP_TIMEOUT_S if route.resumable else None
            async with asyncio.timeout(gap_s):
                reply = await client.receive_head()
            headers = tuple(reply.headers.raw_items())
            facts = self._dialect.read_reply(headers)
            if not facts.is_about(incoming.request_id):
                return verdicts.MayHaveRun(
                    f'response to another request {facts.request_id!r}'
                )
            is_stream = reply.status_code == 200 and facts.signed
            if not is_stream or facts.request_id != incoming.request_id:
                body = await client.receive_body(forwarding.RESPONSE_MAX_BYTES)
                complete = True
                verdict = responses.judge_response(
                    reply.status_code,
                    headers,
                    body,
                    facts,
                    incoming.request_id,
                    route.resumable,
                )
                if responses.shows_survival(
                    verdict, facts, incoming.request_id
                ):
                    self._crash_record.clear(
                        incoming.head, incoming.body, incoming.request_id
                    )
                if isinstance(verdict, verdicts.Answered) and (
                    stream.head_sent or verdict.status < 300
                ):
                    return verdicts.MayHaveRun(
                        f'no stream: status {verdict.status}'
                    )
                return verdict
            state.update_load(facts, loop.time())
            if not stream.head_sent:
                stream.head_sent = True
                incoming.start_response(
                    200, http.strip_connection_headers(headers)
                )
            # What the endpoint has sent while the caller does not read.
            hold = self._pool.budget.open()
            hold.resize(channels.READ_HIGH_WATER_BYTES)
            try:
                verdict = await self._relay(
                    stream,
                    incoming,
                    client,
                    gap_s,
                    route.resumable,
                    notice,
                    completion.PaceObserver(
                        self._learned, state, route.name, ''
                    ),
                )
            finally:
                hold.release()
            complete = isinstance(verdict, verdicts.Answered)
            return verdict
        except (errors.ProtocolError, TimeoutError) as error:
            if loop.time() >= deadline:
                raise TimeoutError from error
            cut = isinstance(error, errors.ProtocolError)
            if cut and not stream.waited_for_caller:
                if await self._pool.has_ended(state):
                    self._crash_record.note(
                        incoming.head,
                        incoming.body,
                        incoming.request_id,
                        state,
                        sent_at,
                    )
            return verdicts.MayHaveRun(repr(error))
        finally:
            if complete:
                self._pool.release(state, client)
            else:
                client.close()

    async def _relay(
        self, stream, incoming, client, gap_s, consecutive, notice, pace
    ):
        """Relay complete events; hold back an event until it is complete.

        Bytes that are no event end the attempt: they may be another response
        on a connection whose end is the only end of the body.

        :param gap_s: longest gap between events in seconds, or None; bytes
            that complete no event do not count, nor does the time in which
            the caller takes nothing
        :param consecutive: whether each event has the number after that of
            the event before it
        :param notice: the :class:`~usage.BeginningNotice` of the attempt
        :param pace: the :class:`~completion.PaceObserver`
        :returns: a verdict
        """
        relayed = 0
        loop = asyncio.get_running_loop()
        splitter = events.EventSplitter()
        event_at = loop.time()
        while True:
            deadline = None if gap_s is None else event_at + gap_s
            async with asyncio.timeout_at(deadline):
                data = await client.receive_data()
            if data is None:
                break
            events_before = relayed
            for number, raw in splitter.feed(data):
                if not raw.strip():
                    continue
                if not events.is_comment(raw):
                    reason = _find_fault(stream, number, raw, consecutive)
                    if reason:
                        return verdicts.MayHaveRun(reason)
                    relayed += 1
                    notice.note_first_event()
                if number is not None:
                    stream.last_event = number
                    event_at = loop.time()
                incoming.send(raw)
            pace.add(relayed - events_before, loop.time())
            waited_from = loop.time()
            await stream.drain(incoming)
            event_at += loop.time() - waited_from
        if splitter.has_partial:
            return verdicts.MayHaveRun('stream ended within an event')
        if not relayed and client.ends_with_connection:
            return verdicts.MayHaveRun('connection ended before an event')
        incoming.finish()
        return verdicts.Answered(200, (), b'')
