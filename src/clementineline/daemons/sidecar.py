"""The sidecar of an endpoint, which runs the attempts that entries dispatch.

The sidecar is the only process that talks to its endpoint.
"""

import asyncio

from starlette import applications

from clementineline import clocks
from clementineline.coordination import admission
from clementineline.coordination import decisions
from clementineline.coordination import lease
from clementineline.coordination import swaps
from clementineline.coordination import watching
from clementineline.coordination import work
from clementineline.daemons import health
from clementineline.daemons import incarnations
from clementineline.daemons import tasks
from clementineline import errors
from clementineline.protocol import links
from clementineline.protocol import messages
from clementineline.protocol import session as sessions
from clementineline.state import configuration
from clementineline.state import platform
from clementineline.state import records
from clementineline.transport import engine
from clementineline.transport import frames
from clementineline.transport import web

__all__ = ['Sidecar']

SERVICE_PROBE_INTERVAL_S = 1.0
# Time in which the entries notice that a stopping sidecar refuses new work.
LEAVING_NOTICE_S = 1.0


class Sidecar(sessions.SessionEvents):
    """Runs attempts at one endpoint and reports its state to the entries.

    :param settings: :class:`~settings.SidecarSettings`
    :param log: logger
    """

    def __init__(self, settings, log):
        self.settings = settings
        self.log = log
        self.clock = clocks.Clock()
        self.incarnation = incarnations.make_incarnation()
        self.revision = 1
        self.configuration = configuration.Configuration()
        self.configuration.listeners.append(self._handle_configuration)
        self.decisions = decisions.DecisionLog(
            log, settings.decisions_kept, self.get_configuration_version
        )
        links_settings = settings.links
        self.timing = links.LinkTiming(
            links_settings.heartbeat_s,
            links_settings.silence_s,
            links_settings.retain_s,
            resume=links_settings.resume,
        )
        self.listener = links.SessionListener(
            self.build_member, self, self.timing, log
        )
        self.outcomes = records.OutcomeRecords(
            self.clock, settings.record_retain_s, settings.record_max_bytes
        )
        self.keys = records.KeyRecords(
            self.clock, settings.record_retain_s, settings.record_max_bytes
        )
        self.metrics = health.Metrics({'process': settings.name})
        self.tasks = tasks.TaskGroup(log)
        self.service_up = True
        self.draining = False
        self.admission = self._build_admission()

    def _build_admission(self):
        settings = self.settings
        if settings.engine is not None:
            return admission.Admission(
                settings.engine.slots, settings.engine.live_reserve_slots
            )
        return admission.Admission(settings.service.slots, 0)

    @property
    def kind(self):
        """``engine`` or ``service``."""
        return 'engine' if self.settings.engine is not None else 'service'

    @property
    def serves(self):
        """The model or service that the endpoint serves."""
        if self.settings.engine is not None:
            return self.settings.engine.model
        return self.settings.service.service

    @property
    def leaving(self):
        """Whether new work is refused."""
        return self.admission.leaving

    def build_member(self):
        """Return the :class:`messages.Member` of this process."""
        settings = self.settings
        return messages.Member(
            settings.name,
            'sidecar',
            self.incarnation,
            self.revision,
            settings.availability_zone,
            settings.listen,
            settings.http,
            self.kind,
            self.serves,
            self.leaving,
        )

    # Session events.

    def get_configuration_version(self):
        """Return the configuration version in force."""
        return self.configuration.version

    def build_report(self):
        """Return the :class:`messages.Report` for a heartbeat."""
        if self.kind == 'service':
            state = 'ready' if self.service_up else 'down'
            capacity = self.admission.capacity if self.service_up else 0
            return messages.Report(
                capacity,
                self.admission.count_running(),
                0,
                swaps.UNVERIFIED,
                swaps.UNVERIFIED,
                self.leaving,
                0,
                state,
            )
        weights = self.weights
        capacity = self.admission.capacity
        if weights.state == 'down':
            capacity = 0
        active = weights.active
        if weights.state == 'suspect':
            active = swaps.UNVERIFIED
        return messages.Report(
            capacity,
            self.admission.count_running(),
            self.admission.reserve,
            active,
            weights.staged,
            self.leaving,
            weights.fence,
            weights.state,
        )

    def on_message(self, session, body):
        """Handle a message of an entry."""
        if isinstance(body, messages.Dispatch):
            self.attempt_runner.dispatch(session, body)
        elif isinstance(body, messages.Cancel):
            self.attempt_runner.cancel(body.id, body.reason)
        elif isinstance(body, messages.Attach):
            self.attempt_runner.attach(session, body.id)
        elif isinstance(body, messages.KeyClaim):
            session.send(self._answer_claim(body))
        elif isinstance(body, messages.KeySettle):
            self.keys.settle(body)
        elif isinstance(body, messages.Order):
            self.tasks.start(self._execute_order(session, body), 'order')
        elif isinstance(body, messages.ConfigurationDelta):
            self.configuration.adopt(body)
        elif isinstance(body, messages.Explain):
            lines = self.decisions.explain(body.id)
            session.send(messages.Explained(body.call_id, lines))

    def on_peer_configuration(self, session, version):
        """Send an entry the configuration changes that it lacks."""
        if version < self.configuration.version:
            session.send(self.configuration.build_delta(version))

    def on_lost(self, session):
        """Cancel the attempts of an entry whose session is lost.

        Attempts whose outcome is kept continue, because other entries may
        ask for the outcome.
        """
        self.attempt_runner.handle_session_loss(session)

    def _answer_claim(self, claim):
        """Grant or refuse a claim of an idempotency key.

        A claim is refused if it was made under another roster version. A
        claim with a new record is also refused if this sidecar is leaving or
        is not a home in the roster.
        """
        roster = self.configuration.get('roster')
        version = roster.version if roster else 0
        if claim.roster != version:
            return messages.KeyAnswer(
                claim.call_id,
                'refused',
                None,
                f'roster {version} is in force here, not {claim.roster}',
            )
        if claim.record is not None:
            if self.leaving:
                return messages.KeyAnswer(
                    claim.call_id, 'refused', None, 'leaving'
                )
            own_home = (self.settings.name, self.incarnation)
            if own_home not in {
                (home.name, home.incarnation) for home in roster.homes
            }:
                return messages.KeyAnswer(
                    claim.call_id, 'refused', None, 'no home in this roster'
                )
        return self.keys.claim(claim)

    async def _execute_order(self, session, order):
        if self.kind != 'engine':
            answer = messages.OrderAnswer(
                order.order_id, self.settings.name, 'refused', 'no engine'
            )
        else:
            answer = await self.weights.execute(order)
        session.send(answer)
        self._send_reports()

    def _handle_configuration(self, changed):
        self.log.info(
            'configuration adopted',
            configuration=self.configuration.version,
            changed=sorted(changed),
        )
        endpoint = self.configuration.get(f'endpoint/{self.settings.name}')
        drained = endpoint is not None and endpoint.drain
        leaving = drained or self.draining
        if leaving != self.leaving:
            self._set_leaving(leaving, 'the configuration says so')
        self._send_reports()

    def _set_leaving(self, leaving, reason):
        self.admission.leaving = leaving
        self.revision += 1
        self.decisions.record(
            'leave' if leaving else 'return',
            self.settings.name,
            reason=reason,
            running=len(self.attempt_runner),
        )
        self._send_reports()
        delta = messages.MembersDelta([self.build_member()])
        for session in list(self.listener.sessions.values()):
            session.send(delta)

    def _send_reports(self):
        for session in list(self.listener.sessions.values()):
            session.send_heartbeat()

    # Start and stop.

    async def start(self):
        """Listen and start the background tasks."""
        settings = self.settings
        self.http = web.open_client()
        self.http_once = web.open_client(force_close=True)
        self.platform = platform.PlatformClient(settings.platform, self.http)
        self.weights = None
        engine_client = None
        if settings.engine is not None:
            engine_client = engine.EngineClient(settings.engine.url, self.http)
            self.weights = swaps.WeightUpdater(
                settings.name,
                settings.engine.model,
                engine_client,
                settings.engine.checks_fencing,
                self._read_fence,
                self._send_reports,
                self.log,
            )
        self.attempt_runner = work.AttemptRunner(
            self.admission,
            self.outcomes,
            self.decisions,
            self.http,
            self.http_once,
            settings.service.url if settings.service else '',
            engine_client,
            self.weights,
            settings.call_timeout_s,
            self._send_reports,
        )
        if self.weights is not None:
            await self.weights.verify()
            self.tasks.supervise(self.weights.run, 'weights')
        else:
            self.tasks.supervise(self._probe_service, 'probe')
        await self.listener.start(frames.parse_address(settings.listen))
        self.web = web.WebServer(
            applications.Starlette(
                routes=health.build_health_routes(
                    self._collect_metrics, self._find_unready_reason
                )
            ),
            frames.parse_address(settings.http),
        )
        await self.web.start()
        self.tasks.supervise(self._announce, 'announce')
        self.tasks.supervise(self._register, 'register')
        self.log.info('sidecar started', incarnation=self.incarnation)

    async def _read_fence(self):
        current = await self.platform.read(lease.LEASE_KIND, lease.LEASE_NAME)
        if current is None:
            return 0
        return current.value['fence'] or current.version

    async def _probe_service(self):
        """Check repeatedly whether the plain service accepts connections."""
        host_port = self.settings.service.url.partition('://')[2]
        address = frames.parse_address(host_port.partition('/')[0])
        while True:
            up = True
            try:
                stream = await frames.open_stream(address, 1.0)
                await stream.close()
            except errors.ConnectionLost:
                up = False
            if up != self.service_up:
                self.service_up = up
                self.log.warning('service state changed', up=up)
                self._send_reports()
            await asyncio.sleep(links.jitter(SERVICE_PROBE_INTERVAL_S))

    async def _announce(self):
        await links.announce(
            self.settings.seeds, self.build_member, self._is_connected
        )

    def _is_connected(self):
        for session in self.listener.sessions.values():
            if session.connected:
                return True
        return False

    async def _register(self):
        await watching.register_member(
            self.platform, self.build_member, self.log
        )

    async def stop(self):
        """Refuse new work, finish the running attempts and stop."""
        self.draining = True
        self._set_leaving(True, 'planned stop')
        await asyncio.sleep(LEAVING_NOTICE_S)
        try:
            async with asyncio.timeout(self.settings.drain_s):
                await self.attempt_runner.idle.wait()
                # Wait until the entries have acknowledged the outcomes.
                while any(
                    session.pending and session.connected
                    for session in self.listener.sessions.values()
                ):
                    await asyncio.sleep(0.05)
        except TimeoutError:
            self.log.warning(
                'drain timed out', running=len(self.attempt_runner)
            )
        await self.tasks.stop()
        await self.listener.stop()
        await self.web.stop()
        await self.http.close()
        await self.http_once.close()
        self.log.info('sidecar stopped')

    def _find_unready_reason(self):
        if self.leaving:
            return 'leaving'
        if self.build_report().capacity == 0:
            return 'the endpoint is down'
        return ''

    def _collect_metrics(self):
        report = self.build_report()
        metrics = self.metrics
        metrics.set('slots', 'Slots of the endpoint', report.capacity)
        for share, count in report.running.items():
            metrics.set('running', 'Slots in use', count, share=share)
        metrics.set(
            'configuration_version',
            'Configuration version in force',
            self.configuration.version,
        )
        metrics.set(
            'active_version', 'Verified weight version', report.active_version
        )
        metrics.set('fence', 'Highest fencing number obeyed', report.fence)
        metrics.set('leaving', 'Takes no new work', int(self.leaving))
        metrics.set(
            'platform_calls', 'Calls to the platform', self.platform.calls
        )
        metrics.set('key_records', 'Idempotency keys held', len(self.keys))
        metrics.set(
            'outcome_records', 'Outcomes of attempts held', len(self.outcomes)
        )
        metrics.set('tokens', 'Tokens relayed', self.attempt_runner.tokens)
        for decision, count in self.decisions.counts.items():
            metrics.set('decisions', 'Decisions', count, decision=decision)
        return metrics
