"""Counters, histograms and gauges of a process, and their HTTP listener.

Importing aioprometheus takes a tenth of a second, which would delay a
restarted process. It is imported a few seconds after the start. Until then,
updates are queued, and dropped beyond ``PENDING_UPDATES_MAX``.
"""

import asyncio
import importlib

from clementineline.transport import frames
from clementineline.transport import http

__all__ = ['LabelLimiter', 'Metrics']

LOAD_DELAY_S = 3.0
PENDING_UPDATES_MAX = 20_000
# Most organisations that have label values of their own.
ORGANISATIONS_MAX = 100
METRICS_PATH = b'/metrics'
# Scrapers send a few hundred bytes.
LIMITS = http.ServerLimits(header_bytes=8192, body_bytes=1024)
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
    'access_refusals_total': 'Requests refused for their key, by status.',
    'access_reads_total': 'Reads of the route table for unknown keys.',
    'organisations': 'Organisations in force, 0 for none.',
    'request_seconds': 'From the whole request to the answer.',
    'attempts_total': 'Live calls sent to endpoints, by verdict.',
    'attempt_seconds': 'From the send of a live call to its verdict.',
    'live_refusals_total': 'Live calls that were refused, by reason.',
    'organisation_requests_total': 'Live calls by organisation and outcome.',
    'organisation_tokens_total': 'Tokens of items by organisation.',
    'organisation_tokens_waiting': 'Tokens that wait, by organisation.',
    'submissions_total': 'Calls about submissions, by verb and status.',
    'item_runs_total': 'Runs of items, by end.',
    'item_run_seconds': 'From the start of an item run to its end.',
    'reward_calls_total': 'Reward calls of items, by verdict.',
    'results_recorded_total': 'Results that got their positions.',
    'orders_total': 'Orders sent to engines, by outcome.',
    'desired_endpoints': 'Endpoints that the leader wants, while it leads.',
    'duty_calls_total': 'Calls to the API for duties, by duty and outcome.',
    'usage_windows_total': 'Windows of usage, by what became of them.',
    'usage_counted_late': 'Requests that began in a window already fixed.',
    'text_log_bytes': 'Bytes of texts written to disk.',
    'text_log_dropped': 'Parts of texts that a slow disk left out.',
    'text_log_failures': 'Writes of texts that failed, as on a full disk.',
    'leads': 'Whether the process leads.',
    'store_calls': 'Calls made to the platform store.',
    'store_reachable': 'Whether the platform store answers the process.',
    'endpoints': 'Endpoints that are known.',
    'endpoint_requests_total': 'Requests sent to endpoints, by purpose.',
    'endpoints_leaving': 'Endpoints that say that they leave.',
    'requests_with_crashes': 'Requests under which an endpoint has ended.',
    'requests_not_sent_again': 'Requests refused after two such ends.',
    'requests_tried_again': 'Such requests that were sent again as a trial.',
    'endpoints_limited': 'Endpoints that name a limit of requests a second.',
    'held_bytes': 'Bytes of requests, responses and frames that are held.',
    'holds_ended': 'Requests, responses and frames ended to free memory.',
    'descriptors': 'Open descriptors, files included.',
    'client_refusals_total': 'Clients refused or cut off, by reason.',
    'cost_kinds': 'Kinds of requests whose costs are learned.',
    'items_held': 'Items that waited for a faster engine than a free one.',
    'placed_by_completion': 'Whether expected completion decides placement.',
    'endpoint_speed_min': 'Lowest learned lasting speed, 1 for the median.',
    'endpoint_speed_max': 'Highest learned lasting speed, 1 for the median.',
    'log_lines_dropped': 'Log lines left out since their reader was slow.',
}


class LabelLimiter:
    """Bounds the values of a label, as each one stays until the process ends.

    :param limit: number of values; later ones are counted as ``other``
    """

    __slots__ = ('_known', '_limit')

    def __init__(self, limit=ORGANISATIONS_MAX):
        self._known = set()
        self._limit = limit

    def get(self, name):
        """Return the label value for a name, ``none`` for an empty one."""
        if not name:
            return 'none'
        if name not in self._known:
            if len(self._known) >= self._limit:
                return 'other'
            self._known.add(name)
        return name


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

    async def serve(self, address, log, table=None):
        """Listen for scrapers, then load the library after a delay.

        :param address: ``HOST:PORT``; empty for no listener
        :param log: logger
        :param table: the :class:`~admission.ConnectionTable` of the port, or
            None
        """
        if address:
            self._server = http.Server(self._handle, LIMITS, log, table=table)
            await self._server.start(frames.parse_address(address))
        await asyncio.sleep(LOAD_DELAY_S)
        self.load()

    async def _handle(self, incoming):
        if incoming.head.path != METRICS_PATH:
            incoming.respond(404, (), b'expected /metrics\n')
            return
        headers = ((b'Content-Type', b'text/plain; version=0.0.4'),)
        incoming.respond(200, headers, self.render())
