"""The HTTP endpoints that each daemon has: metrics and health."""

import aioprometheus
from aioprometheus import renderer
from starlette import responses
from starlette import routing

__all__ = ['Metrics', 'build_health_routes']


class Metrics:
    """Metrics of a process, by name; set when they are read.

    :param labels: labels on each metric
    """

    __slots__ = ('_gauges', '_labels', '_registry')

    def __init__(self, labels):
        self._labels = labels
        self._gauges = {}
        self._registry = aioprometheus.Registry()

    def set(self, name, documentation, value, **labels):
        """Set a metric.

        :param name: name without the ``clementineline_`` prefix
        :param value: a number
        """
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = aioprometheus.Gauge(
                f'clementineline_{name}',
                documentation,
                const_labels=self._labels,
                registry=self._registry,
            )
            self._gauges[name] = gauge
        gauge.set(labels, value)

    def render(self, accept):
        """Render all metrics.

        :returns: ``(content, headers)``
        """
        return renderer.render(self._registry, accept)


def build_health_routes(collect, is_ready):
    """Build the routes of metrics and health.

    :param collect: function that returns the up-to-date :class:`Metrics`
    :param is_ready: function that returns ``''`` or why it is not ready
    """

    async def serve_metrics(request):
        accept = request.headers.getlist('accept')
        content, headers = collect().render(accept)
        return responses.Response(content, headers=headers)

    async def serve_health(request):
        return responses.PlainTextResponse('ok\n')

    async def serve_readiness(request):
        reason = is_ready()
        if reason:
            return responses.PlainTextResponse(reason + '\n', 503)
        return responses.PlainTextResponse('ready\n')

    return [
        routing.Route('/metrics', serve_metrics),
        routing.Route('/healthz', serve_health),
        routing.Route('/readyz', serve_readiness),
    ]
