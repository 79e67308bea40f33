"""The gateway: forwards live requests and serves trainers' submissions.

Live requests go directly to an endpoint. Submissions are recorded in the
ledger, see :mod:`~submissionservice`, and the leader runs them.
"""

import asyncio

from clementineline.coordination import authorization
from clementineline.coordination import forwarding
from clementineline.coordination import leaders
from clementineline.coordination import stopping
from clementineline.coordination import streaming
from clementineline.coordination import usage
from clementineline.coordination import usagepush
from clementineline.daemons import base
from clementineline.daemons import incarnations
from clementineline.daemons import metrics as metrics_module
from clementineline.daemons import retryafter
from clementineline.daemons import submissionservice
from clementineline import errors
from clementineline.protocol import verdicts
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
# Readiness probes are a few hundred bytes.
PROBE_LIMITS = http.ServerLimits(header_bytes=8192, body_bytes=1024)


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
        self._authorizer = authorization.Authorizer(
            self._route_watcher,
            self._read_routes,
            settings.access,
            settings.watch.routes_apply_s,
            self._clock,
        )
        self._submissions = submissionservice.SubmissionService(
            self._ledger,
            leaders.LeaderClient(store, log),
            self._authorizer,
            dialect,
            self._budget,
            self.metrics,
            log,
            get_table=lambda: self._routes.table,
            refuse=self._refuse,
            count_refusal=self._count_refusal,
            count_access_refusal=self._count_access_refusal,
            start_task=self._tasks.start,
        )
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
            retryafter.MEMORY_S
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
            await self._submissions.serve(incoming, batch_call)
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
            await self._submissions.submit(incoming, facts, access)
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
        retry_after_s=retryafter.NOT_READY_S,
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
            self._refuse(incoming, facts, 503, refusal, retryafter.STOPPING_S)
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

    async def _answer(self, question):
        if isinstance(question, questions.ReadUsage) and self._usage_pusher:
            return self._usage_pusher.answer()
        return await super()._answer(question)
