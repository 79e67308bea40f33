"""What gateways and keepers share: the fleet as they see it, and peers."""

import asyncio

from clementineline import clocks
from clementineline.coordination import connections
from clementineline.coordination import directory
from clementineline.coordination import ledger
from clementineline.coordination import members
from clementineline.coordination import objectwatcher
from clementineline.coordination import routetable
from clementineline.daemons import metrics
from clementineline.daemons import tasks
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['BaseProcess']

SWEEP_INTERVAL_S = 1.0


class BaseProcess:
    """A process that follows the store and answers the others.

    :param settings: its settings, with ``name``, ``zone``, ``listen`` and
        ``metrics``
    :param store: the client of the platform's store
    :param dialect: the platform's dialect
    :param log: logger
    """

    # Whether the process may own submissions.
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
        self._endpoints = self._follow(
            dialect.kinds.endpoints,
            self._apply_endpoints,
            pause_s=directory.CHANGE_PAUSE_S,
        )
        self._routes = routetable.ActiveRouteTable(dialect, log)
        self._routes_follower = self._follow(
            dialect.kinds.routes, self._apply_routes
        )
        self._pool = connections.ConnectionPool()
        self._ledger = ledger.Ledger(store, settings.value_bytes)
        self._members = members.MemberRegistry(
            settings.name,
            settings.listen,
            self.MAY_OWN_SUBMISSIONS,
            store,
            log,
        )
        store.relay = members.StoreRelay(self._members, log).call
        self.metrics = metrics.Metrics(
            {'process': settings.name}, self._collect
        )
        self._stopping = False

    def _follow(self, kind, on_objects, **options):
        """Build the follower of a kind."""
        return objectwatcher.ObjectWatcher(
            self._store, kind, on_objects, self._clock, self._log, **options
        )

    async def _start_base(self):
        """Follow the store and listen for the other processes."""
        self._tasks.supervise(self._routes_follower.run, 'routes')
        self._tasks.supervise(self._endpoints.run, 'endpoints')
        self._tasks.supervise(self._sweep, 'sweep')
        self._tasks.supervise(self._members.run, 'members')
        self._tasks.start(
            self.metrics.serve(self._settings.metrics, self._log), 'metrics'
        )
        await frames.start_server(
            frames.parse_address(self._settings.listen), self._serve_peer
        )

    def reload(self, settings):
        """Take new settings; addresses change at the next start only."""
        self._settings = settings
        self._log.info('settings reloaded')

    def _collect(self, counted):
        """Set the gauges before they are read."""
        counted.set('store_calls', self._store.calls)
        counted.set('store_reachable', int(self._store.reachable))
        counted.set('endpoints', len(self._directory.endpoints))

    def _apply_endpoints(self, objects, removed, whole):
        was_out = self._endpoints.was_unreachable(directory.RETURN_S)
        self._directory.apply(objects, removed, whole, was_out)

    def _apply_routes(self, objects, removed, whole):
        if self._routes.apply(objects):
            self._note_routes()

    def _note_routes(self):
        """Act on a new route table."""

    async def _sweep(self):
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            self._directory.drop_doubtful()
            self._pool.close_idle(self._directory.endpoints)

    async def _serve_peer(self, stream):
        await asking.serve_questions(
            stream, questions.Question, self._answer_peer
        )

    async def _answer_peer(self, question):
        """Answer another process."""
        if isinstance(question, questions.RelayCall):
            return await members.answer_relay(self._store, question)
        return await self._answer(question)

    async def _answer(self, question):
        """Answer a question about submissions."""
        return questions.NotLeading('it owns nothing')
