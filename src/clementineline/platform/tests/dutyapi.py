"""Stand-in of the platform's API for reports of usage and capacity orders.

It checks the rules of the API: all reports of a window have the same counts,
fencing tokens never fall, a token belongs to one holder, and a holder does
not come back within the duration of a lease.
"""

import asyncio
import collections
import json
import time

from clementineline.platform.tests import standin


class DutyApiStandIn(standin._HttpStandIn):
    """Accepts reports and orders, and records broken rules.

    Tests set these attributes:

    - ``delay_s``: time before each response, in seconds
    - ``down``: whether connections are closed without an answer
    - ``lose_answers``: number of next calls that take effect and get no
      response
    - ``refuse_next``: number of next calls that get status 429
    - ``rate``: calls a second above which calls get status 429

    :param window_s: length of a window, in seconds
    :param late_s: time within which a window must be reported, in seconds
    :param lease_s: duration of a lease, in seconds
    :ivar reports: counts of the windows, in the order of their first report
    :ivar report_times: Unix times of the first reports, by window
    :ivar orders: ``(service, zone, desired, time)`` of each order
    :ivar calls: ``(loop time, holder, fence)`` of each call
    :ivar violations: texts
    """

    def __init__(self, log, window_s=5.0, late_s=10.0, lease_s=3.0):
        super().__init__(log)
        self.window_s = window_s
        self.late_s = late_s
        self.lease_s = lease_s
        self.delay_s = 0.0
        self.down = False
        self.lose_answers = 0
        self.refuse_next = 0
        self.rate = 50.0
        self.reports = {}
        self.report_times = {}
        self.orders = []
        self.calls = []
        self.refused = 0
        self.violations = []
        self._holders = {}

    async def handle(self, incoming):
        if self.down:
            incoming._channel.abort()
            await asyncio.sleep(60)
        if self._is_limited():
            self.refused += 1
            incoming.respond(429, (), b'')
            return
        headers = {
            key.lower(): value.decode() for key, value in incoming.head.headers
        }
        self._check_token(
            headers[b'duty-holder'], int(headers[b'fencing-token'])
        )
        body = json.loads(incoming.body)
        if incoming.head.path == b'/usage':
            self._report(body['window'], body['counts'])
        elif incoming.head.path == b'/scale':
            self.orders.append(
                (body['service'], body['zone'], body['desired'], time.time())
            )
        else:
            incoming.respond(404, (), b'')
            return
        if self.lose_answers:
            self.lose_answers -= 1
            await asyncio.sleep(60)
        if self.delay_s:
            await asyncio.sleep(self.delay_s)
        incoming.respond(200, (), b'')

    def _is_limited(self):
        if self.refuse_next:
            self.refuse_next -= 1
            return True
        now = asyncio.get_running_loop().time()
        return sum(at > now - 1.0 for at, _, _ in self.calls) >= self.rate

    def _check_token(self, holder, fence):
        now = asyncio.get_running_loop().time()
        known = self._holders.setdefault(fence, holder)
        if known != holder:
            self.violations.append(f'token {fence} of {known} and {holder}')
        recent = []
        for at, other, other_fence in self.calls:
            if other_fence > fence:
                self.violations.append(f'{fence} after {other_fence}')
            if at > now - self.lease_s:
                recent.append(other)
        if holder in recent:
            since = recent[recent.index(holder) :]
            if set(since) != {holder}:
                self.violations.append(f'holders {since}, then {holder}')
        self.calls.append((now, holder, fence))

    def _report(self, window, counts):
        known = self.reports.setdefault(window, counts)
        if known != counts:
            self.violations.append(f'window {window}: {known}, then {counts}')
        self.report_times.setdefault(window, time.time())

    def list_late(self):
        """Return the windows that were reported too late."""
        late = []
        for window, at in self.report_times.items():
            if at > (window + 1) * self.window_s + self.late_s:
                late.append(window)
        return late

    def list_gaps(self):
        """Return the windows between the first and last without a report."""
        if not self.reports:
            return []
        every = range(min(self.reports), max(self.reports) + 1)
        return [window for window in every if window not in self.reports]

    def sum_reports(self):
        """Return all requests that were reported, by organisation."""
        total = collections.Counter()
        for counts in self.reports.values():
            total.update(counts)
        return dict(total)
