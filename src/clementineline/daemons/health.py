"""HTTP routes of entries and sidecars: metrics, health and readiness."""

import aioprometheus
from aioprometheus import renderer
from starlette import responses
from starlette import routing

__all__ = ['Metrics', 'build_health_routes']


class Metrics:
    """Gauges of a process, which are set when they are read.

    :param labels: labels on each metric
    """

    __slots__ = ('_gauges', '_labels', '_registry')

    def __init__(self, labels):
        self._labels = labels
        self._gauges = {}
        self._registry = aioprometheus.Registry()

    def set(self, name, documentation, value, **labels):
        """Set a gauge, and create it on the first call.

        :param name: name without the ``clementineline_`` prefix
        :param documentation: description of the gauge
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
        """Render all metrics for a scraper.

        :param accept: values of the request's Accept headers
        :returns: ``(content, headers)``
        """
        return renderer.render(self._registry, accept)


def build_health_routes(collect, find_unready_reason):
    """Build the routes of metrics, health and readiness.

    :param collect: function that returns the up-to-date :class:`Metrics`
    :param find_unready_reason: function that returns why the process is not
        ready; ``''`` if it is
    """

    async def serve_metrics(request):
        accept = request.headers.getlist('accept')
        content, headers = collect().render(accept)
        return responses.Response(content, headers=headers)

    async def serve_health(request):
        return responses.PlainTextResponse('ok\n')

    async def serve_readiness(request):
        reason = find_unready_reason()
        if reason:
            return responses.PlainTextResponse(reason + '\n', 503)
        return responses.PlainTextResponse('ready\n')

    return [
        routing.Route('/metrics', serve_metrics),
        routing.Route('/healthz', serve_health),
        routing.Route('/readyz', serve_readiness),
    ]
