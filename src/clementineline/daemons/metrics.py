"""Counters, histograms and gauges of a process, and their HTTP listener.

Importing aioprometheus takes a tenth of a second, which would delay a
restarted process. It is imported a few seconds after the start. Until then,
updates are queued, and dropped beyond ``PENDING_UPDATES_MAX``.
"""

import asyncio
import importlib

from clementineline.transport import frames
from clementineline.transport import http

__all__ = ['Metrics']

LOAD_DELAY_S = 3.0
PENDING_UPDATES_MAX = 20_000
METRICS_PATH = b'/metrics'
LATENCY_BUCKETS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.19,
    0.4,
    0.8,
    1.5,
    3.0,
    5.0,
    7.5,
    12.0,
    float('inf'),
)
DESCRIPTIONS = {
    'requests_total': 'Requests of callers, by what became of them.',
    'request_seconds': 'From the whole request to the answer.',
    'attempts_total': 'Live calls sent to endpoints, by verdict.',
    'attempt_seconds': 'From the send of a live call to its verdict.',
    'submissions_total': 'Calls about submissions, by verb and status.',
    'item_runs_total': 'Runs of items, by end.',
    'item_run_seconds': 'From the start of an item run to its end.',
    'reward_calls_total': 'Reward calls of items, by verdict.',
    'results_recorded_total': 'Results that got their positions.',
    'orders_total': 'Orders sent to engines, by outcome.',
    'text_log_bytes': 'Bytes of texts written to disk.',
    'text_log_dropped': 'Parts of texts that a slow disk left out.',
    'text_log_failures': 'Writes of texts that failed, as on a full disk.',
    'leads': 'Whether the process leads.',
    'store_calls': 'Calls made to the platform store.',
    'store_reachable': 'Whether the platform store answers the process.',
    'endpoints': 'Endpoints that are known.',
    'endpoint_requests_total': 'Requests sent to endpoints, by purpose.',
    'endpoints_limited': 'Endpoints that name a limit of requests a second.',
    'endpoints_leaving': 'Endpoints that said that they leave.',
    'requests_with_crashes': 'Requests under which an endpoint has ended.',
    'requests_not_sent_again': 'Requests not sent after they ended endpoints.',
    'response_bytes': 'Bytes of the responses that are being received.',
    'responses_ended': 'Responses that were ended for lack of memory.',
    'cost_kinds': 'Kinds of requests whose costs are learned.',
    'items_held': 'Items that waited for a faster engine than a free one.',
    'placed_by_completion': 'Whether expected completion decides placement.',
    'endpoint_speed_min': 'Lowest learned lasting speed, 1 for the median.',
    'endpoint_speed_max': 'Highest learned lasting speed, 1 for the median.',
    'log_lines_dropped': 'Log lines left out since their reader was slow.',
}


class Metrics:
    """Counters, histograms and gauges of a process.

    Names are given without the ``clementineline_`` prefix and must be keys
    of ``DESCRIPTIONS``.

    :param labels: labels on each metric
    :param collect: called with this object before each rendering, to set
        gauges
    """

    __slots__ = (
        '_collect',
        '_collectors',
        '_labels',
        '_library',
        '_pending',
        '_registry',
        '_server',
    )

    def __init__(self, labels, collect=lambda metrics: None):
        self._collect = collect
        self._collectors = {}
        self._labels = labels
        self._library = None
        self._pending = []
        self._registry = None
        self._server = None

    def count(self, name, amount=1, **labels):
        """Add to a counter."""
        self._apply('Counter', name, 'add', labels, amount)

    def observe(self, name, seconds, **labels):
        """Add a duration, in seconds, to a histogram."""
        self._apply('Histogram', name, 'observe', labels, seconds)

    def set(self, name, value, **labels):
        """Set a gauge."""
        self._apply('Gauge', name, 'set', labels, value)

    def _apply(self, kind, name, method, labels, value):
        if name not in DESCRIPTIONS:
            # Also while updates are queued, so that tests notice.
            raise KeyError(
                f'metric {name!r} has no entry in metrics.DESCRIPTIONS'
            )
        if self._library is None:
            if len(self._pending) < PENDING_UPDATES_MAX:
                self._pending.append((kind, name, method, labels, value))
            return
        collector = self._collectors.get(name)
        if collector is None:
            options = {}
            if kind == 'Histogram':
                options['buckets'] = LATENCY_BUCKETS_S
            collector = getattr(self._library, kind)(
                f'clementineline_{name}',
                DESCRIPTIONS[name],
                const_labels=self._labels,
                registry=self._registry,
                **options,
            )
            self._collectors[name] = collector
        getattr(collector, method)(labels, value)

    def load(self):
        """Import the library, unless done, and apply the queued updates."""
        if self._library is not None:
            return
        library = importlib.import_module('aioprometheus')
        self._registry = library.Registry()
        self._library = library
        for kind, name, method, labels, value in self._pending:
            self._apply(kind, name, method, labels, value)
        self._pending.clear()

    def render(self):
        """Return all metrics in the Prometheus text format, as bytes."""
        self.load()
        self._collect(self)
        renderer = importlib.import_module('aioprometheus.renderer')
        content, _ = renderer.render(self._registry, ['text/plain'])
        return content

    async def serve(self, address, log):
        """Listen for scrapers, then load the library after a delay.

        :param address: ``HOST:PORT``; empty for no listener
        :param log: logger
        """
        if address:
            self._server = http.Server(self._handle, http.ServerLimits(), log)
            await self._server.start(frames.parse_address(address))
        await asyncio.sleep(LOAD_DELAY_S)
        self.load()

    async def _handle(self, incoming):
        if incoming.head.path != METRICS_PATH:
            incoming.respond(404, (), b'expected /metrics\n')
            return
        headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
        incoming.respond(200, headers, self.render())
