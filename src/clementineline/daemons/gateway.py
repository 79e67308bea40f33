"""The gateway: forwards live requests and serves trainers' submissions.

Live requests go directly to an endpoint. Submissions are recorded in the
ledger, and the leader runs them.
"""

import asyncio
import collections
import random
import time

from clementineline.coordination import authorization
from clementineline.coordination import forwarding
from clementineline.coordination import leaders
from clementineline.coordination import opensubmissions
from clementineline.coordination import stopping
from clementineline.coordination import streaming
from clementineline.coordination import usage
from clementineline.coordination import usagepush
from clementineline.daemons import base
from clementineline.daemons import incarnations
from clementineline.daemons import metrics as metrics_module
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
# Retry-After of requests that the memory has no room for: large bodies are
# complete, or count as stalled, within a few seconds.
MEMORY_RETRY_AFTER_S = 1.0
# Readiness probes are a few hundred bytes.
PROBE_LIMITS = http.ServerLimits(header_bytes=8192, body_bytes=1024)
ACCEPT_RETRY_DELAY_S = 0.05
ACCEPT_TIMEOUT_S = 4.0
ENDED_SUBMISSIONS_MAX = 2000


class _Denied(Exception):
    """The reader may not use the submission."""


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
        self._stream_forwarder.drains = self._call_forwarder.drains
        self._organisation_labels = metrics_module.LabelLimiter()
        # None if the platform asks for no reports and no orders.
        self._usage_meter = None
        self._usage_pusher = None
        if settings.duties is not None:
            self._start_metering(settings.duties)
        self._leader_client = leaders.LeaderClient(store, log)
        self._authorizer = authorization.Authorizer(
            self._route_watcher,
            self._read_routes,
            settings.access,
            settings.watch.routes_apply_s,
            self._clock,
        )
        self._keyless_reads = authorization.KeylessReads()
        # Ended submissions, so that a repeated end needs no write: by id, the
        # OrganisationAnswer, None if it was not needed.
        self._ended = collections.OrderedDict()
        # The StopSchedule of a planned stop, None before it.
        self._stop_schedule = None
        self._server = http.Server(
            self._handle,
            http.ServerLimits(),
            log,
            self._budget,
            self._build_table(settings.bounds.caller_connections),
            self._refusals,
        )
        self._server.get_upload_s = self._find_upload_limit
        self._server.refusal_headers = dialect.build_retry_headers(
            MEMORY_RETRY_AFTER_S
        )
        # Organisations may be in force until a table says otherwise.
        self._server.hides_headers = True
        self._readiness_server = http.Server(
            self._handle_readiness,
            PROBE_LIMITS,
            log,
            table=self._build_table(settings.bounds.probe_connections),
            refusals=self._refusals,
        )

    def _start_metering(self, duties):
        self._usage_meter = usage.UsageMeter(duties.window_s)
        if duties.usage:
            self._call_forwarder.on_attempt_began = self._usage_meter.count
            self._stream_forwarder.on_attempt_began = self._usage_meter.count
        self._usage_pusher = usagepush.UsagePusher(
            self._settings.name,
            incarnations.make_incarnation(),
            self._usage_meter,
            self._members,
            self._directory.count_busy if duties.scaling else dict,
            self._log,
        )

    async def start(self):
        """Watch the store and listen for requests and readiness probes."""
        await self._start_base()
        if self._usage_pusher is not None:
            self._tasks.supervise(self._usage_pusher.run, 'usage')
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
        if self._usage_pusher is not None:
            await self._usage_pusher.stop()
        await self._tasks.stop()
        self._log.info(
            'gateway stopped',
            open=self._server.connections,
            took_s=round(loop.time() - started, 2),
        )

    async def _read_routes(self):
        """Read the route table from the store and adopt it if it is newer.

        :raises errors.PlatformError: if it cannot be read
        """
        self.metrics.count('access_reads_total')
        kinds = self._dialect.kinds
        found = await self._store.read(kinds.routes, kinds.routes_name)
        if found is None:
            raise errors.PlatformError('no route table')
        self._apply_routes([found], [], False)

    def _collect_metrics(self, process_metrics):
        super()._collect_metrics(process_metrics)
        if self._usage_meter is not None:
            process_metrics.set('usage_counted_late', self._usage_meter.late)
        table = self._routes.table
        known = table.organisations if table is not None else None
        count = len(known) if known is not None else 0
        process_metrics.set('organisations', count)

    def _handle_new_routes(self):
        table = self._routes.table
        self._authorizer.replace_table(table)
        self._server.hides_headers = table.organisations is not None
        limits = table.limits
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

    def _find_upload_limit(self, head):
        """Return the time in which a body must be complete, in seconds.

        A later request could not be answered before its caller gives up.
        """
        facts = self._dialect.read_call(head)
        table = self._routes.table
        route = None
        if table is not None:
            route = table.match(facts.host, facts.path)
        limits = [route.timeout_s] if route is not None else []
        if facts.timeout_s is not None:
            limits.append(facts.timeout_s)
        return max(limits, default=http.UPLOAD_S)

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
        access = await self._authorizer.authorize_call(facts)
        if access.status:
            self._count_access_refusal(access)
            self._refuse(
                incoming,
                facts,
                access.status,
                access.reason,
                access.retry_after_s,
            )
            return
        incoming.request_id = facts.request_id
        if not facts.request_id:
            self._refuse(incoming, facts, 400, 'no request id')
            return
        if access.route.batch:
            await self._submit(incoming, facts, access)
            return
        await self._forward(incoming, access.route, facts, access.organisation)

    def _count_access_refusal(self, access):
        # A missing route is refused whatever the key is.
        if access.reason != authorization.NO_ROUTE:
            self.metrics.count('access_refusals_total', status=access.status)

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

    async def _forward(self, incoming, route, facts, organisation=None):
        limit_s = route.timeout_s
        if facts.timeout_s is not None:
            limit_s = min(limit_s, facts.timeout_s)
        deadline = incoming.arrived_at + limit_s
        refusal = self._find_stop_refusal(route, deadline)
        if refusal:
            self._count_live_refusal('stopping', organisation)
            self._refuse(incoming, facts, 503, refusal, STOPPING_RETRY_AFTER_S)
            return
        if route.streamed:
            verdict = await self._stream_forwarder.forward(
                route, incoming, facts, deadline, organisation
            )
        else:
            verdict = await self._call_forwarder.forward(
                route,
                incoming.head,
                incoming.body,
                facts.request_id,
                deadline,
                organisation=organisation,
            )
        loop = asyncio.get_running_loop()
        took_s = loop.time() - incoming.arrived_at
        if isinstance(verdict, verdicts.Answered):
            # ``respond`` does nothing if the response was streamed already.
            headers = http.strip_connection_headers(verdict.headers)
            incoming.respond(verdict.status, headers, verdict.body)
            self._count_request(route, 'answered', took_s)
            self._count_organisation(organisation, 'answered')
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
            self._count_organisation(organisation, 'aborted')
            return
        if isinstance(verdict, verdicts.NotRun):
            reason = 'no_room' if verdict.no_room else 'not_run'
            self._count_live_refusal(reason, organisation)
            self._refuse(
                incoming, facts, 503, verdict.reason, verdict.retry_after_s
            )
            return
        self._count_organisation(organisation, 'failed')
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

    def _count_organisation(self, organisation, outcome):
        if organisation is None:
            return
        self.metrics.count(
            'organisation_requests_total',
            organisation=self._organisation_labels.get(organisation),
            outcome=outcome,
        )

    def _count_live_refusal(self, reason, organisation):
        """Count a refusal, which must be one of a few reasons."""
        self.metrics.count('live_refusals_total', reason=reason)
        self._count_organisation(organisation, reason)

    # Submissions.

    async def _submit(self, incoming, facts, access):
        """Record a submission in the ledger and repeat ambiguous writes.

        :param access: its :class:`~authorization.Access`
        """
        decoded = self._budget.open(lambda: None)
        size = self._dialect.estimate_decoded_bytes(incoming.body)
        if not decoded.add(size):
            self._count_refusal('memory')
            self._refuse(
                incoming, facts, 503, 'memory is short', MEMORY_RETRY_AFTER_S
            )
            return
        # From here on the submission may be in the store.
        decoded.end = None
        try:
            await self._record_submission(incoming, facts, access)
        finally:
            decoded.release()

    async def _record_submission(self, incoming, facts, access):
        route = access.route
        service = forwarding.choose_service(route.targets, random.random())
        try:
            submission = self._dialect.decode_submission(
                facts,
                route,
                service,
                incoming.body,
                time.time(),
                access.routes_version,
                access.organisation,
            )
        except errors.RequestError as error:
            self._refuse(incoming, facts, error.status, str(error))
            return
        incoming.drop_body()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + ACCEPT_TIMEOUT_S
        ambiguous = False
        while True:
            try:
                taken = await self._accept(submission)
                if taken is None:
                    break
                status = await self._judge_taken_id(
                    taken, submission, facts.key, deadline
                )
                if status == 202:
                    break
                self._refuse(incoming, facts, status, 'id is taken')
                return
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
        # An earlier submission of the id may have been ended and removed.
        self._ended.pop(submission.id, None)
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

    async def _accept(self, submission):
        """Record a submission.

        :returns: None if it is recorded; the
            :class:`~questions.OrganisationAnswer` of the recorded one if
            another organisation seems to have used its id
        :raises errors.AmbiguousWrite: if it may be recorded
        :raises errors.PlatformError: if it is not recorded
        """
        if await self._ledger.accept(submission):
            return None
        if submission.organisation is None:
            return None
        try:
            found = await self._find_organisation(submission.id)
        except errors.PlatformError as error:
            raise errors.AmbiguousWrite(f'id is taken: {error}') from error
        if found is None:
            raise errors.AmbiguousWrite('id is taken, its record not found')
        if authorization.may_repeat(
            found.organisation, submission.organisation
        ):
            return None
        return found

    async def _judge_taken_id(self, taken, submission, key, deadline):
        """Decide on a submission whose id another organisation seems to use.

        A newer manifest may give the key to that organisation, which then
        repeats a submission that was accepted.

        :param taken: what :meth:`_accept` returned
        :param deadline: loop time of the latest decision, in seconds
        :returns: HTTP status: 202 for a repeat, 400 for a refusal, 504 if it
            cannot be decided in time
        """
        loop = asyncio.get_running_loop()
        while True:
            access = await self._authorizer.authorize_reader(
                key, submission.organisation
            )
            if access.status in (401, 404):
                return 400
            if not access.status:
                repeats = authorization.may_repeat(
                    taken.organisation, access.organisation
                )
                return 202 if repeats else 400
            if loop.time() + access.retry_after_s > deadline:
                return 504
            await asyncio.sleep(access.retry_after_s)

    async def _find_organisation(self, submission_id, reader=None):
        """Find the organisation of a submission.

        The leader knows it, so that the store is seldom asked.

        :param reader: as for :meth:`_read_record`
        :returns: a :class:`~questions.OrganisationAnswer`; None if the
            submission is unknown
        :raises errors.PlatformError: if the ledger cannot be read
        """
        question = questions.FindOrganisation(submission_id)
        answer = await self._ask_owner(question)
        if answer is not None:
            return answer
        record = await self._read_record(submission_id, reader)
        if record is None:
            return None
        return questions.OrganisationAnswer(record.submission.organisation)

    async def _read_record(self, submission_id, reader):
        """Read a submission's object from the ledger.

        :param reader: organisation of the caller; '' without a valid key
        :returns: as :meth:`~ledger.Ledger.read_record`
        :raises errors.PlatformError: if it cannot be read, or too many
            callers without a valid key cause reads
        """
        if reader == '':
            now = asyncio.get_running_loop().time()
            if not self._keyless_reads.take(now):
                raise errors.PlatformUnavailable(
                    'too many reads for calls without a valid key'
                )
        return await self._ledger.read_record(submission_id)

    async def _handle_batch(self, incoming, call):
        if self._routes.table is None:
            # Organisations may be in force.
            headers = self._dialect.build_retry_headers(
                NOT_READY_RETRY_AFTER_S
            )
            incoming.respond(503, headers, b'no configuration yet\n')
            return
        reader = self._authorizer.name_reader(call.key)
        try:
            status, headers, body = await self._serve_batch(call, reader)
        except _Denied:
            status, headers, body = await self._serve_denied(call, reader)
        self.metrics.count(
            'submissions_total', verb=call.verb.value, status=status
        )
        if status in (401, 404):
            self._log.info(
                'submission not found' if status == 404 else 'no valid key',
                submission=call.submission_id,
                verb=call.verb.value,
                item=call.item_id,
            )
        incoming.respond(status, headers, body)

    async def _serve_denied(self, call, denied):
        """Serve a call on a submission that its reader may not use.

        Another process may know a newer manifest, which allows it.

        :param denied: as :meth:`~authorization.Authorizer.name_reader`
            returned it
        :returns: ``(status, headers, body)``
        """
        access = await self._authorizer.authorize_reader(call.key, denied)
        if not access.status:
            try:
                return await self._serve_batch(call, access.organisation)
            except _Denied:
                # The next call is decided with the table that is known now.
                access = authorization.Access(503, 'key changed moments ago')
        self._count_access_refusal(access)
        if access.status == 503:
            headers = self._dialect.build_retry_headers(access.retry_after_s)
            return 503, headers, f'{access.reason}\n'.encode()
        if access.status == 404:
            # The same response as for a submission that does not exist.
            return 404, (), b''
        return access.status, (), f'{access.reason}\n'.encode()

    async def _serve_batch(self, call, reader):
        """Serve a call on a submission.

        :param reader: as :meth:`~authorization.Authorizer.name_reader`
            returns it
        :returns: ``(status, headers, body)``
        :raises _Denied: if the reader may not use the submission
        """
        handle = {
            dialects.BatchVerb.READ_RESULTS: self._read_results,
            dialects.BatchVerb.READ_ITEM: self._read_item,
            dialects.BatchVerb.END: self._end_submission,
        }[call.verb]
        try:
            return await handle(call, reader)
        except errors.ClementinelineError as error:
            self._log.info(
                'submission call failed',
                submission=call.submission_id,
                verb=call.verb.value,
                reason=str(error),
            )
            if isinstance(error, errors.AmbiguousWrite):
                # The end may be recorded, so the status must not say that
                # the call was refused.
                return 504, (), b''
            headers = self._dialect.build_retry_headers(STORE_RETRY_AFTER_S)
            return 503, headers, b''

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

    async def _read_results(self, call, reader):
        question = questions.ReadResults(
            call.submission_id, call.after, call.wait_s, reader
        )
        answer = await self._ask_owner(question, call.wait_s)
        if isinstance(answer, questions.Denied):
            raise _Denied
        if answer is not None:
            page = answer.page
        else:
            page = await self._read_recorded(call, reader)
            if page is None:
                return _answer_missing(reader)
        headers = ((b'Content-Type', b'application/json'),)
        return 200, headers, self._dialect.encode_page(page)

    async def _read_submission(self, submission_id, reader):
        """Read a submission from the ledger.

        :returns: the :class:`~submissions.Submission`; None if it is unknown
        :raises _Denied: if the reader may not use it
        """
        record = await self._read_record(submission_id, reader)
        if record is None:
            return None
        if not authorization.may_use(record.submission.organisation, reader):
            raise _Denied
        return await self._ledger.complete(record)

    async def _read_recorded(self, call, reader=None):
        """Read a page of results from the ledger.

        :returns: the page; None if the submission is unknown
        :raises _Denied: if the reader may not use it
        """
        submission = await self._read_submission(call.submission_id, reader)
        if submission is None:
            return None
        results = []
        for chunk in await self._ledger.read_chunks(call.submission_id):
            results.extend(chunk.results)
        return opensubmissions.build_page(submission, results, call.after)

    async def _read_item(self, call, reader):
        """Read the body of an item that has no result yet."""
        question = questions.ReadBody(call.submission_id, call.item_id, reader)
        answer = await self._ask_owner(question)
        if isinstance(answer, questions.Denied):
            raise _Denied
        if answer is not None:
            body = answer.body
        else:
            submission = await self._read_submission(
                call.submission_id, reader
            )
            if submission is None:
                return _answer_missing(reader)
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

    async def _repeat_end(self, submission_id):
        """Record an end that may be recorded already.

        :returns: whether the submission exists
        :raises errors.AmbiguousWrite: if the store does not answer
        """
        try:
            return await self._ledger.end(submission_id)
        except errors.PlatformError as error:
            raise errors.AmbiguousWrite(str(error)) from error

    async def _end_submission(self, call, reader):
        known = self._ended.get(call.submission_id)
        ended = call.submission_id in self._ended
        if reader is not None and (
            known is None
            or not authorization.may_use(known.organisation, reader)
        ):
            found = await self._find_organisation(call.submission_id, reader)
            if found is None:
                return _answer_missing(reader)
            if not authorization.may_use(found.organisation, reader):
                raise _Denied
            if known is not None and found != known:
                # Another organisation has used the id again since.
                ended = False
            known = found
        if not ended:
            try:
                found = await self._ledger.end(call.submission_id)
            except errors.AmbiguousWrite:
                # The write is idempotent, so it can be repeated.
                found = await self._repeat_end(call.submission_id)
            if not found:
                return 404, (), b''
            self._ended[call.submission_id] = known
            self._tasks.start(self._notify_owner(call.submission_id), 'end')
            if len(self._ended) > ENDED_SUBMISSIONS_MAX:
                self._ended.popitem(last=False)
        return 200, (), b''

    async def _answer(self, question):
        if isinstance(question, questions.ReadUsage) and self._usage_pusher:
            return self._usage_pusher.answer()
        return await super()._answer(question)


def _answer_missing(reader):
    """Answer a call on a submission that does not exist.

    Without a valid key, a caller does not learn which submissions exist.

    :param reader: as :meth:`~authorization.Authorizer.name_reader` returns it
    :returns: ``(status, headers, body)``
    :raises _Denied: if the reader has no valid key
    """
    if reader == '':
        raise _Denied
    return 404, (), b''
