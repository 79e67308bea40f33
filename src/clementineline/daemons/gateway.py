"""The gateway: forwards live requests and serves trainers' submissions.

Live requests go directly to an endpoint. Submissions are recorded in the
ledger, and the leader runs them.
"""

import asyncio
import collections
import random
import time

from clementineline.coordination import forwarding
from clementineline.coordination import leaders
from clementineline.coordination import opensubmissions
from clementineline.coordination import stopping
from clementineline.coordination import streaming
from clementineline.daemons import base
from clementineline import errors
from clementineline.protocol import verdicts
from clementineline.state import dialect as dialects
from clementineline.state import questions
from clementineline.transport import frames
from clementineline.transport import http

__all__ = ['Gateway']

# Time until the load balancer sends no more requests to a stopping gateway: it
# needs two failed probes, which are a second apart.
ROTATION_EXIT_S = 3.2
# Part of the time between the stop signal and the kill that is left after the
# drain.
STOP_MARGIN_S = 0.8
# Time after which the requests of most callers go to other gateways.
LATE_REQUEST_S = 2.8
# Retry-After of requests that a stopping gateway refuses: the retry reaches
# another gateway.
STOPPING_RETRY_AFTER_S = 0.05
# Retry-After of requests that are refused while the configuration is missing
# or outdated.
NOT_READY_RETRY_AFTER_S = 0.2
# Retry-After of requests that failed at the store. The retry reaches another
# gateway, or the store after a short outage.
STORE_RETRY_AFTER_S = 0.3
ACCEPT_RETRY_DELAY_S = 0.05
ACCEPT_TIMEOUT_S = 4.0
ENDED_SUBMISSIONS_MAX = 2000


class Gateway(base.BaseProcess):
    """Serves callers and trainers over HTTP.

    :param settings: a :class:`~settings.GatewaySettings`
    :param store: the client of the platform's store
    :param dialect: the platform's dialect
    :param log: logger
    """

    def __init__(self, settings, store, dialect, log):
        super().__init__(settings, store, dialect, log)
        self._call_forwarder = forwarding.CallForwarder(
            self._directory,
            self._pool,
            dialect,
            settings.zone,
            self._crash_record,
            log,
            self._learned,
        )
        self._stream_forwarder = streaming.StreamForwarder(
            self._directory,
            self._pool,
            dialect,
            settings.zone,
            self._crash_record,
            log,
            self._learned,
        )
        self._leader_client = leaders.LeaderClient(store, log)
        # Ids of ended submissions, so that a repeated end needs no write.
        self._ended = collections.OrderedDict()
        # The StopSchedule of a planned stop, None before it.
        self._stop_schedule = None
        self._server = http.Server(self._handle, http.ServerLimits(), log)
        self._readiness_server = http.Server(
            self._handle_readiness, http.ServerLimits(), log
        )

    async def start(self):
        """Watch the store and listen for requests and readiness probes."""
        await self._start_base()
        await self._server.start(frames.parse_address(self._settings.http))
        await self._readiness_server.start(
            frames.parse_address(self._settings.ready)
        )
        self._log.info('gateway started', zone=self._settings.zone)

    async def stop(self):
        """Leave the load balancer's rotation, then finish open requests.

        Readiness probes fail from now on, while requests are still accepted
        until the balancer has noticed.
        """
        loop = asyncio.get_running_loop()
        started = loop.time()
        self._stopping = True
        self._stop_schedule = stopping.StopSchedule(
            started + LATE_REQUEST_S,
            started + self._settings.grace_s - STOP_MARGIN_S,
        )
        self._server.draining = True
        self._log.info('gateway stopping', open=self._server.connections)
        await asyncio.sleep(ROTATION_EXIT_S)
        self._server.stop()
        left_s = self._stop_schedule.ends_at - loop.time()
        await self._server.drain(max(0.0, left_s))
        self._readiness_server.stop()
        await self._tasks.stop()
        self._log.info(
            'gateway stopped',
            open=self._server.connections,
            took_s=round(loop.time() - started, 2),
        )

    def _handle_new_routes(self):
        limits = self._routes.table.limits
        self._server.limits = http.ServerLimits(
            limits.header_bytes,
            limits.body_bytes,
            limits.header_s,
            limits.idle_s,
        )

    @property
    def is_ready(self):
        """Whether the load balancer should send requests to this gateway."""
        if self._stopping or self._routes.table is None:
            return False
        return self._endpoint_watcher.version is not None

    async def _handle_readiness(self, incoming):
        status = 200 if self.is_ready else 503
        if incoming.head.path != self._dialect.ready_path:
            status = 404
        incoming.respond(status, (), b'')

    async def _handle(self, incoming):
        head = incoming.head
        facts = self._dialect.read_call(head)
        batch_call = self._dialect.read_batch_call(head)
        if batch_call is not None:
            await self._handle_batch(incoming, batch_call)
            return
        table = self._routes.table
        if table is None or self._endpoint_watcher.version is None:
            self._refuse(incoming, facts, 503, 'no configuration yet')
            return
        route = table.match(facts.host, facts.path)
        if route is None:
            status = 404 if self._route_watcher.current else 503
            self._refuse(incoming, facts, status, 'no route')
            return
        incoming.request_id = facts.request_id
        if not facts.request_id:
            self._refuse(incoming, facts, 400, 'no request id')
            return
        if route.batch:
            await self._submit(incoming, route, facts, table.version)
            return
        await self._forward(incoming, route, facts)

    def _refuse(
        self,
        incoming,
        facts,
        status,
        reason,
        retry_after_s=NOT_READY_RETRY_AFTER_S,
    ):
        headers = ()
        if status in (429, 503):
            headers = self._dialect.build_retry_headers(retry_after_s)
        table = self._routes.table
        self._log.info(
            'refused',
            request=facts.request_id,
            path=facts.path,
            host=facts.host,
            status=status,
            reason=reason,
            routes_version=table.version if table else None,
        )
        incoming.respond(status, headers, f'{reason}\n'.encode())

    # Live requests.

    async def _forward(self, incoming, route, facts):
        limit_s = route.timeout_s
        if facts.timeout_s is not None:
            limit_s = min(limit_s, facts.timeout_s)
        deadline = incoming.arrived_at + limit_s
        refusal = self._find_stop_refusal(route, deadline)
        if refusal:
            self._refuse(incoming, facts, 503, refusal, STOPPING_RETRY_AFTER_S)
            return
        if route.streamed:
            verdict = await self._stream_forwarder.forward(
                route, incoming, facts, deadline
            )
        else:
            verdict = await self._call_forwarder.forward(
                route,
                incoming.head,
                incoming.body,
                facts.request_id,
                deadline,
            )
        loop = asyncio.get_running_loop()
        took_s = loop.time() - incoming.arrived_at
        if isinstance(verdict, verdicts.Answered):
            # ``respond`` does nothing if the response was streamed already.
            headers = http.strip_connection_headers(verdict.headers)
            incoming.respond(verdict.status, headers, verdict.body)
            self._count_request(route, 'answered', took_s)
            self._log.info(
                'answered',
                request=facts.request_id,
                route=route.name,
                status=verdict.status,
                took_ms=round(took_s * 1000),
            )
            return
        self._count_request(route, verdicts.name_verdict(verdict), took_s)
        if incoming.aborted:
            self._log.info(
                'broken off',
                request=facts.request_id,
                route=route.name,
                reason=verdict.reason,
                took_ms=round(took_s * 1000),
            )
            return
        if isinstance(verdict, verdicts.NotRun):
            self._refuse(
                incoming, facts, 503, verdict.reason, verdict.retry_after_s
            )
            return
        status = 504 if took_s >= limit_s else 502
        self._refuse(incoming, facts, status, verdict.reason)

    def _find_stop_refusal(self, route, deadline):
        if self._stop_schedule is None:
            return ''
        repeatable = route.resumable if route.streamed else route.idempotent
        now = asyncio.get_running_loop().time()
        return self._stop_schedule.find_refusal(now, deadline, repeatable)

    def _count_request(self, route, outcome, took_s):
        self.metrics.count('requests_total', route=route.name, outcome=outcome)
        self.metrics.observe('request_seconds', took_s, route=route.name)

    # Submissions.

    async def _submit(self, incoming, route, facts, routes_version):
        """Record a submission in the ledger and repeat ambiguous writes.

        :param routes_version: version of the table that holds the route
        """
        service = forwarding.choose_service(route.targets, random.random())
        try:
            submission = self._dialect.decode_submission(
                facts,
                route,
                service,
                incoming.body,
                time.time(),
                routes_version,
            )
        except errors.RequestError as error:
            self._refuse(incoming, facts, error.status, str(error))
            return
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ACCEPT_TIMEOUT_S
        ambiguous = False
        while True:
            try:
                await self._ledger.accept(submission)
                break
            except errors.AmbiguousWrite as error:
                ambiguous = True
                reason = str(error)
            except errors.PlatformError as error:
                reason = str(error)
                if not ambiguous:
                    self._refuse(
                        incoming, facts, 503, reason, STORE_RETRY_AFTER_S
                    )
                    return
            if loop.time() > deadline:
                # The write may still take effect, so the status must not
                # say that the submission was refused.
                self._refuse(incoming, facts, 504, reason)
                return
            await asyncio.sleep(ACCEPT_RETRY_DELAY_S)
        self.metrics.count('submissions_total', verb='submit', status=202)
        self._log.info(
            'submission accepted',
            request=facts.request_id,
            route=route.name,
            step=submission.step,
            items=len(submission.items),
            took_ms=round((loop.time() - incoming.arrived_at) * 1000),
        )
        incoming.respond(202, (), b'')

    async def _handle_batch(self, incoming, call):
        handle = {
            dialects.BatchVerb.READ_RESULTS: self._read_results,
            dialects.BatchVerb.READ_ITEM: self._read_item,
            dialects.BatchVerb.END: self._end_submission,
        }[call.verb]
        try:
            status, headers, body = await handle(call)
        except errors.ClementinelineError as error:
            self._log.info(
                'submission call failed',
                submission=call.submission_id,
                verb=call.verb.value,
                reason=str(error),
            )
            headers = self._dialect.build_retry_headers(STORE_RETRY_AFTER_S)
            incoming.respond(503, headers, b'')
            self.metrics.count(
                'submissions_total', verb=call.verb.value, status=503
            )
            return
        self.metrics.count(
            'submissions_total', verb=call.verb.value, status=status
        )
        if status == 404:
            self._log.info(
                'submission not found',
                submission=call.submission_id,
                verb=call.verb.value,
                item=call.item_id,
            )
        incoming.respond(status, headers, body)

    async def _ask_owner(self, question, wait_s=0.0):
        """Send a question to the owner of the submissions.

        :param wait_s: longest time that the owner may wait before it answers,
            in seconds
        :returns: the answer; None if the ledger must be read instead
        """
        try:
            answer = await self._leader_client.ask(question, wait_s)
        except errors.ClementinelineError as error:
            self._log.info('owner did not answer', reason=str(error))
            return None
        return (
            None if isinstance(answer, questions.UnknownSubmission) else answer
        )

    async def _read_results(self, call):
        question = questions.ReadResults(
            call.submission_id, call.after, call.wait_s
        )
        answer = await self._ask_owner(question, call.wait_s)
        if answer is not None:
            page = answer.page
        else:
            page = await self._read_recorded(call)
            if page is None:
                return 404, (), b''
        headers = ((b'Content-Type', b'application/json'),)
        return 200, headers, self._dialect.encode_page(page)

    async def _read_recorded(self, call):
        """Read a page of results from the ledger.

        :returns: the page; None if the submission is unknown
        """
        submission = await self._ledger.read(call.submission_id)
        if submission is None:
            return None
        results = []
        for chunk in await self._ledger.read_chunks(call.submission_id):
            results.extend(chunk.results)
        return opensubmissions.build_page(submission, results, call.after)

    async def _read_item(self, call):
        """Read the body of an item that has no result yet."""
        question = questions.ReadBody(call.submission_id, call.item_id)
        answer = await self._ask_owner(question)
        if answer is not None:
            body = answer.body
        else:
            submission = await self._ledger.read(call.submission_id)
            if submission is None:
                return 404, (), b''
            listed_ids = set()
            for chunk in await self._ledger.read_chunks(call.submission_id):
                listed_ids.update(result.item_id for result in chunk.results)
            body = opensubmissions.find_body(
                submission, listed_ids, call.item_id
            )
        if body is None:
            return 404, (), b''
        return 200, ((b'Content-Type', b'application/octet-stream'),), body

    async def _notify_owner(self, submission_id):
        """Notify the owner of a submission's end.

        A lost notification only delays the owner, whose watch of the store
        reports the end as well.
        """
        await self._ask_owner(questions.SubmissionEnded(submission_id))

    async def _end_submission(self, call):
        if call.submission_id not in self._ended:
            try:
                found = await self._ledger.end(call.submission_id)
            except errors.AmbiguousWrite:
                # The write is idempotent, so it can be repeated.
                found = await self._ledger.end(call.submission_id)
            if not found:
                return 404, (), b''
            self._ended[call.submission_id] = True
            self._tasks.start(self._notify_owner(call.submission_id), 'end')
            if len(self._ended) > ENDED_SUBMISSIONS_MAX:
                self._ended.popitem(last=False)
        return 200, (), b''
