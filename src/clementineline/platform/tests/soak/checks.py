"""What callers, trainers and endpoints of a soak must never see."""

import collections
import dataclasses

__all__ = ['Departure', 'Limit', 'Recorder']

# A limit is kept from this time after it was first named.
LIMIT_NOTICE_S = 3.0
LIMIT_WINDOW_S = 4.0
# An endpoint that says it leaves gets no call that was sent after this time.
LEAVE_NOTICE_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Limit:
    """A limit that an endpoint named for some time.

    :param server: the :class:`~fleet.SoakServer`
    :param rate: requests a second
    :param started: loop time of its start, in seconds
    :param ended: loop time of its end, in seconds
    """

    server: object
    rate: float
    started: float
    ended: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A time for which an endpoint said that it leaves.

    :param server: the :class:`~fleet.SoakServer`
    :param started: loop time of its start, in seconds
    :param ended: loop time of its end, in seconds
    """

    server: object
    started: float
    ended: float


class Recorder:
    """Violations of promises, and the outcomes that they are found in.

    :ivar violations: texts
    :ivar statuses: number of responses to calls by kind and status
    :ivar refused: ids of the requests that were refused as not run
    :ivar unsafe_ids: ids of the requests that must not run twice
    :ivar unanswered: gateways by the id of a request whose connection they
        closed without an answer, although they were not killed
    :ivar sent: gateway and loop time of each call to a known gateway, by id
    :ivar departures: each :class:`Departure` that has ended
    :ivar departures_told: loop times of the answers which said that their
        endpoint leaves, by request id
    :ivar limits: each :class:`Limit` that has ended
    :ivar organisations: name of the organisation whose key a request was sent
        with, by request id
    :ivar invalid_ids: ids of the requests that were sent with a wrong key
    """

    def __init__(self):
        self.departures = []
        self.departures_told = {}
        self.sent = {}
        self.limits = []
        self.violations = []
        self.statuses = collections.Counter()
        self.refused = set()
        self.unsafe_ids = set()
        self.unanswered = {}
        self.organisations = {}
        self.invalid_ids = set()

    def report(self, promise, text):
        self.violations.append(f'{promise}: {text}')

    def check_runs(self, servers):
        """Compare what ran at the endpoints with what callers were told."""
        runs = collections.Counter()
        for server in servers:
            runs.update(server.run_ids)
        for request_id in sorted(self.refused):
            if runs[request_id]:
                self.report(
                    'true not-run', f'{request_id} was refused, and ran'
                )
        for request_id in sorted(self.unsafe_ids):
            if runs[request_id] > 1:
                self.report(
                    'at most once',
                    f'{request_id} ran {runs[request_id]} times',
                )

        for request_id, name in self.unanswered.items():
            if runs[request_id]:
                self.report(
                    'complete answers',
                    f'{request_id} ran, and {name} closed its connection '
                    'without an answer',
                )

    def check_organisations(self, servers):
        """Check the names and keys that endpoints saw."""
        for server in servers:
            for request_id in sorted(server.keyed_ids):
                self.report('secret keys', f'{server.name} got {request_id}')
            for request_id, names in server.names.items():
                if request_id in self.invalid_ids:
                    self.report(
                        'valid keys', f'{server.name} ran {request_id}'
                    )
                    continue
                expected = self.organisations.get(request_id, '')
                if names != {expected}:
                    self.report(
                        'own organisation',
                        f'{server.name} got {request_id} of {expected!r} '
                        f'under {sorted(names)}',
                    )

    def check_limits(self):
        """Count all requests, of all processes, to endpoints with a limit."""
        for limit in self.limits:
            allowed = 1.5 * limit.rate * LIMIT_WINDOW_S + 5
            window = collections.deque()
            most = 0
            for time in limit.server.arrivals:
                if not limit.started + LIMIT_NOTICE_S < time < limit.ended:
                    continue
                window.append(time)
                while time - window[0] > LIMIT_WINDOW_S:
                    window.popleft()
                most = max(most, len(window))
            if most > allowed:
                self.report(
                    'limits',
                    f'{limit.server.name} got {most} requests in '
                    f'{LIMIT_WINDOW_S} s, {allowed:.1f} allowed',
                )

    def check_departures(self, was_disturbed):
        """Check that a gateway sends nothing new to a leaving endpoint.

        :param was_disturbed: function from a gateway and two loop times to
            whether it was restarted or paused between them
        """
        for departure in self.departures:
            calls = []
            for request_id, arrived in departure.server.arrived_at.items():
                # A call may wait for a permit of another endpoint until the
                # next instance is there.
                if not departure.started < arrived < departure.ended:
                    continue
                name, time = self.sent.get(request_id, ('', 0.0))
                if time > departure.started:
                    calls.append((request_id, name, time))
            told_at = {}
            for request_id, name, _ in calls:
                time = self.departures_told.get(request_id)
                if time is not None:
                    told_at[name] = min(time, told_at.get(name, time))
            for request_id, name, time in calls:
                first = told_at.get(name)
                if first is None or time <= first + LEAVE_NOTICE_S:
                    continue
                if not was_disturbed(name, first, time):
                    self.report(
                        'leaving endpoints',
                        f'{departure.server.name} got {request_id} from '
                        f'{name}, {time - first:.1f} s after it had said '
                        'that it leaves',
                    )

    def check_orders(self, servers):
        """Check that no order of an earlier leader follows a later one's."""
        for server in servers:
            if server.fences != sorted(server.fences):
                self.report(
                    'one leader', f'{server.name} got fences {server.fences}'
                )
