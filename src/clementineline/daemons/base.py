"""The common base of gateways and keepers."""

import asyncio
import dataclasses
import math
import os

from clementineline import clocks
from clementineline.coordination import authorization
from clementineline.coordination import completion
from clementineline.coordination import connections
from clementineline.coordination import crashes
from clementineline.coordination import directory
from clementineline.coordination import ledger
from clementineline.coordination import members
from clementineline.coordination import objectwatcher
from clementineline.coordination import preview
from clementineline.coordination import ratelimits
from clementineline.coordination import routetable
from clementineline.coordination import watchrelay
from clementineline.daemons import metrics
from clementineline.daemons import tasks
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import admission
from clementineline.transport import buffers
from clementineline.transport import frames

__all__ = ['BaseProcess']

CLEANUP_INTERVAL_S = 1.0


class BaseProcess:
    """Watches the store and answers questions of other processes.

    :param settings: settings of the process, with ``name``, ``zone``,
        ``listen``, ``metrics``, ``bounds`` and ``value_bytes``
    :param store: the client of the platform's store
    :param dialect: the platform's dialect
    :param log: logger
    """

    # Whether processes of the class may own submissions.
    MAY_OWN_SUBMISSIONS = False

    def __init__(self, settings, store, dialect, log):
        self._settings = settings
        self._store = store
        self._dialect = dialect
        self._log = log
        self._clock = clocks.BootClock()
        self._tasks = tasks.TaskGroup(log)
        self._directory = directory.Directory(
            dialect.decode_endpoint, self._clock, log
        )
        self._members = members.MemberRegistry(
            settings.name,
            settings.listen,
            self.MAY_OWN_SUBMISSIONS,
            store,
            log,
            zone=settings.zone,
        )
        self._watch_relay = watchrelay.WatchRelay(
            settings.name,
            settings.zone,
            self.MAY_OWN_SUBMISSIONS,
            self._members,
            log,
        )
        self._endpoint_watcher = self._build_shared_watcher(
            dialect.kinds.endpoints,
            self._apply_endpoints,
            settings.watch.endpoint_leave_s,
        )
        self._routes = routetable.ActiveRouteTable(dialect, log)
        self._route_watcher = self._build_shared_watcher(
            dialect.kinds.routes,
            self._apply_routes,
            settings.watch.routes_apply_s,
            # Route tables do not change in bursts.
            pause_s=0.0,
        )
        self._shared_watchers = {
            dialect.kinds.endpoints: self._endpoint_watcher,
            dialect.kinds.routes: self._route_watcher,
        }
        self._ledger = ledger.Ledger(store, settings.value_bytes)
        self._limits = ratelimits.RateLimits(
            settings.name,
            self.MAY_OWN_SUBMISSIONS,
            self._members,
            self._directory,
            dialect.read_reply,
            log,
        )
        self._budget = buffers.BufferBudget(settings.bounds.held_bytes)
        self._refusals = admission.RefusalRecord(log)
        self._peer_table = self._build_table(settings.bounds.peer_connections)
        self._probe_table = self._build_table(
            settings.bounds.probe_connections
        )
        self._pool = connections.ConnectionPool(
            self._limits,
            self._budget,
            dialect.read_reply,
        )
        self._crash_record = crashes.CrashRecord(
            settings.name,
            self._members,
            lambda coroutine: self._tasks.start(coroutine, 'crashes'),
            log,
        )
        self._crash_record.on_ended = self._handle_ended_instances
        self._learned = completion.CompletionModel(
            self._directory.list_usable,
            settings.zone,
            log,
            settings.placement == completion.AUTO,
        )
        self._pool.on_leaving = self._directory.mark_leaving
        self._pool.announced = settings.keep_alive == 'announced'
        self._pool.may_keep = self._may_keep_idle
        store.relay = members.StoreRelay(self._members, log).call
        self.metrics = metrics.Metrics(
            {'process': settings.name}, self._collect_metrics
        )
        self._limits.on_request = self._count_endpoint_request
        self._refusals.on_refusal = self._count_refusal
        self._stopping = False

    def _build_table(self, limit):
        """Build the :class:`~admission.ConnectionTable` of a port."""
        return admission.ConnectionTable(limit, self._refusals)

    def _build_watcher(self, kind, on_objects, **options):
        """Build an :class:`~objectwatcher.ObjectWatcher` of a kind.

        :param kind: kind to watch
        :param on_objects: called with each list and change
        :param options: further parameters of the watcher
        """
        return objectwatcher.ObjectWatcher(
            self._store, kind, on_objects, self._clock, self._log, **options
        )

    def _build_shared_watcher(self, kind, on_objects, apply_s, **options):
        """Build a watcher of a kind that all processes need.

        :param apply_s: time within which a change must be in force, in
            seconds
        """
        disturbed_s = self._settings.watch.disturbed_s
        intervals = objectwatcher.derive_intervals(apply_s, disturbed_s)
        if self.MAY_OWN_SUBMISSIONS:
            intervals = objectwatcher.derive_source_intervals(
                apply_s, disturbed_s
            )
            options['history'] = watchrelay.ChangeHistory()
        relay_intervals = watchrelay.derive_relay_intervals(apply_s)
        return self._build_watcher(
            kind,
            on_objects,
            relay=self._watch_relay,
            relay_intervals=relay_intervals,
            **{**dataclasses.asdict(intervals), **options},
        )

    async def _start_base(self):
        """Watch the store and listen for other processes."""
        self._tasks.supervise(self._route_watcher.run, 'routes')
        self._tasks.supervise(self._endpoint_watcher.run, 'endpoints')
        self._tasks.supervise(self._clean_up, 'cleanup')
        self._tasks.supervise(self._members.run, 'members')
        self._tasks.start(self._gather_limits(), 'limits')
        self._tasks.start(
            self.metrics.serve(
                self._settings.metrics, self._log, self._probe_table
            ),
            'metrics',
        )
        await frames.start_server(
            frames.parse_address(self._settings.listen),
            self._serve_peer,
            self._budget,
            self._peer_table,
        )

    def reload(self, settings):
        """Apply new settings.

        Settings that are read only at the start, such as addresses, take
        effect at the next start.
        """
        self._settings = settings
        self._learned.enabled = settings.placement == completion.AUTO
        self._log.info('settings reloaded')

    def _collect_metrics(self, process_metrics):
        """Set the gauges; called before the metrics are rendered."""
        process_metrics.set('store_calls', self._store.calls)
        process_metrics.set('store_reachable', int(self._store.reachable))
        process_metrics.set('endpoints', len(self._directory.endpoints))
        process_metrics.set('requests_with_crashes', len(self._crash_record))
        process_metrics.set(
            'requests_not_sent_again', self._crash_record.refused
        )
        process_metrics.set('requests_tried_again', self._crash_record.trials)
        process_metrics.set('held_bytes', self._budget.used_bytes)
        process_metrics.set('holds_ended', self._budget.ended)
        process_metrics.set('descriptors', len(os.listdir('/proc/self/fd')))
        process_metrics.set(
            'endpoints_leaving', self._directory.count_leaving()
        )
        limited = self._limits.list_limited()
        process_metrics.set('endpoints_limited', len(limited))
        process_metrics.set('cost_kinds', len(self._learned.costs))
        process_metrics.set('items_held', self._learned.held)
        for service, view in self._learned.list_views():
            known = view.speeds.values()
            process_metrics.set(
                'placed_by_completion',
                int(view.in_effect and self._learned.enabled),
                service=service,
            )
            process_metrics.set(
                'endpoint_speed_min', min(known, default=1.0), service=service
            )
            process_metrics.set(
                'endpoint_speed_max', max(known, default=1.0), service=service
            )

    def _handle_ended_instances(self, instances):
        """Let endpoints that others found to have ended get requests last."""
        now = asyncio.get_running_loop().time()
        for state in self._directory.endpoints.values():
            if crashes.name_instance(state) not in instances:
                continue
            if now >= state.backoff_until:
                state.record_failure(now)

    def _count_endpoint_request(self, purpose):
        self.metrics.count('endpoint_requests_total', purpose=purpose)

    def _count_refusal(self, reason):
        self.metrics.count('client_refusals_total', reason=reason)

    def _apply_endpoints(self, objects, removed, whole):
        recently_unreachable = self._endpoint_watcher.was_unreachable(
            directory.LAPSED_ENTRY_GRACE_S
        )
        self._directory.apply(objects, removed, whole, recently_unreachable)
        self._limits.apply_early()

    def _apply_routes(self, objects, removed, whole):
        if self._routes.apply(objects):
            self._handle_new_routes()

    def _handle_new_routes(self):
        """Handle a new route table; does nothing by default."""

    def _may_keep_idle(self, endpoint_id):
        """Return whether a connection may be idle for an announced time.

        If each process has one, they take at most half of those that the
        endpoint accepts.
        """
        state = self._directory.endpoints.get(endpoint_id)
        table = self._routes.table
        if state is None or table is None:
            return False
        service = table.services.get(state.record.service)
        if service is None or not service.connections_max:
            return service is not None
        processes = len(self._members.addresses) + 1
        return processes <= service.connections_max / 2

    async def _clean_up(self):
        """Remove expired endpoints and close idle connections, repeatedly."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            self._directory.remove_expired()
            self._pool.close_idle(self._directory.endpoints)
            self._limits.log_requests()

    async def _gather_limits(self):
        """Learn at the start what others know of endpoints and requests."""
        await self._members.listed.wait()
        await self._limits.gather()
        await self._crash_record.gather()

    async def _serve_peer(self, stream):
        await asking.serve_questions(
            stream, questions.Question, self._answer_peer
        )

    async def _answer_peer(self, question):
        """Answer a question from another process."""
        if isinstance(question, questions.RelayCall):
            return await members.answer_relay(self._store, question)
        if isinstance(question, ratelimits.QUESTIONS):
            return await self._answer_about_limits(question)
        if isinstance(question, crashes.QUESTIONS):
            return await self._crash_record.answer(question)
        if isinstance(question, questions.WatchKind):
            return await self._answer_watch(question)
        if isinstance(question, questions.PreviewRequest):
            return preview.preview_request(
                question,
                self._routes.table,
                self._learned,
                self._list_candidates,
                self._settings.zone,
                asyncio.get_running_loop().time(),
                authorization.Standing(self._route_watcher.current),
                self._pool.has_idle,
            )
        return await self._answer(question)

    def _list_candidates(self, service, model):
        """Return the endpoints that may get a request.

        :param model: model of an item, empty for a call
        """
        return self._directory.list_usable(service)

    async def _answer_about_limits(self, question):
        return await self._limits.answer(question)

    async def _answer_watch(self, question):
        watcher = self._shared_watchers.get(question.kind)
        if watcher is None or watcher.history is None:
            return questions.NotWatching(math.inf)
        return await watchrelay.answer_watch(
            watcher, question.since, question.wait_s
        )

    async def _answer(self, question):
        """Answer a question about submissions or texts.

        Processes that may own submissions override this method.
        """
        return questions.NotLeading('it owns nothing')
