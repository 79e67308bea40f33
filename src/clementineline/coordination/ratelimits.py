"""Limits of requests a second that endpoints name in their responses."""

import asyncio
import collections

__all__ = ['Purpose', 'RateLimits']

# Time between two lines on the requests sent to endpoints with a limit.
LOG_INTERVAL_S = 4.0


class Purpose:
    """What a request to an endpoint is for."""

    CALL = 'call'
    STREAM = 'stream'
    ITEM = 'item'
    REWARD = 'reward'
    PROBE = 'probe'
    REPORT = 'report'
    ORDER = 'order'


class RateLimits:
    """Follows the limits of endpoints, and the requests sent meanwhile.

    :param read_reply: function from headers to
        :class:`~dialect.ReplyFacts`
    :param log: logger
    :ivar on_request: called with the :class:`Purpose` of each request
    """

    __slots__ = (
        '_log',
        '_logged_at',
        '_read_reply',
        '_requests',
        'on_request',
    )

    def __init__(self, read_reply, log):
        self._read_reply = read_reply
        self._log = log
        self._logged_at = 0.0
        # Requests since the last line, by id of the endpoint and purpose.
        self._requests = {}
        self.on_request = lambda purpose: None

    def count_limited(self):
        """Return the number of endpoints that name a limit."""
        return len(self._requests)

    def count(self, state, purpose):
        """Count a request.

        :param state: the :class:`~directory.EndpointState`
        :param purpose: one of :class:`Purpose`
        """
        self.on_request(purpose)
        counts = self._requests.get(state.id)
        if counts is not None:
            counts[purpose] += 1

    def observe(self, state, response):
        """Read the limit that an endpoint names in a response.

        :param state: the :class:`~directory.EndpointState`
        :param response: the response's head
        """
        facts = self._read_reply(tuple(response.headers.raw_items()))
        if facts.rate_limit == state.rate_limit:
            return
        if response.status_code == 421:
            # The response comes from another endpoint at the same address.
            return
        self._log.info(
            'limit changed',
            endpoint=state.id,
            limit=facts.rate_limit,
            before=state.rate_limit,
            status=response.status_code,
            signed=facts.signed,
            requests=self._requests.pop(state.id, None),
        )
        state.rate_limit = facts.rate_limit
        if facts.rate_limit is not None:
            self._requests[state.id] = collections.Counter()

    def log_requests(self, known):
        """Log the requests sent to endpoints with a limit, now and then.

        :param known: dict of the endpoints that are in use, by id
        """
        now = asyncio.get_running_loop().time()
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        self._logged_at = now
        for endpoint_id, counts in list(self._requests.items()):
            state = known.get(endpoint_id)
            if state is None:
                del self._requests[endpoint_id]
                continue
            if counts:
                self._log.info(
                    'requests to limited endpoint',
                    endpoint=endpoint_id,
                    limit=state.rate_limit,
                    requests=dict(counts),
                )
                counts.clear()
