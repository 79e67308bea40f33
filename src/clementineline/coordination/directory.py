"""The directory of endpoints, with what this process observed of each."""

import math

from clementineline.coordination import speeds
from clementineline.transport import frames

__all__ = ['LOAD_TTL_S', 'Directory', 'EndpointState']

# An endpoint's entry that lapsed during a store outage reappears within two
# seconds of the end of the outage if the endpoint is alive.
LAPSED_ENTRY_GRACE_S = 1.6
BACKOFF_MIN_S = 0.5
BACKOFF_MAX_S = 4.0
LOAD_TTL_S = 1.0
# Limit on the instances that are remembered for having said that they leave.
LEAVING_INSTANCES_MAX = 10_000
# Noisy neighbours slow an engine for about 600 ms now and then; only a slower
# pace that lasts longer matters.
PACE_TIME_CONSTANT_S = 0.6


class EndpointState:
    """Record of an endpoint and the state that this process observed.

    :param record: the :class:`~state.directory.EndpointRecord`
    :ivar versions: dict from model to the last known weights version
    :ivar loading_models: models whose version is being changed by an order
    :ivar in_flight: number of requests of this process at the endpoint
    :ivar open_calls: dict from each call of this process at the endpoint to
        the loop time of its start, in seconds; a part of ``in_flight``
    :ivar item_runs: :class:`~itemruns.ItemRun` of each item that this process
        runs at the endpoint, or has reserved a slot for
    :ivar other_requests: requests of other processes, as last reported
    :ivar queued: requests that wait at the endpoint, as last reported
    :ivar slowness: duration of work at the endpoint relative to normal, as
        last reported; 1.0 for normal speed
    :ivar speed: the :class:`~speeds.SpeedTracker` of the instance
    :ivar limit: the :class:`~ratelimits.EndpointLimit`; None for no limit
    :ivar load_at: loop time of the last load report, in seconds
    :ivar pace_s: smoothed time for an event, in seconds, or None
    :ivar slow_since: loop time since which the pace has been slow, or None
    :ivar says_that_it_leaves: whether a response of the endpoint said that it
        leaves
    :ivar backoff_until: loop time until which the endpoint gets no items
        after a failure, and requests only if no other endpoint is left
    :ivar expires_at: clock time at which an entry that lapsed in an outage is
        removed, or None
    """

    __slots__ = (
        'address',
        'backoff_until',
        'expires_at',
        'failures',
        'in_flight',
        'item_runs',
        'limit',
        'load_at',
        'loading_models',
        'open_calls',
        'other_requests',
        'pace_at',
        'pace_s',
        'queued',
        'record',
        'says_that_it_leaves',
        'slow_since',
        'slowness',
        'speed',
        'versions',
    )

    def __init__(self, record):
        self.record = record
        self.address = frames.parse_address(record.address)
        self.versions = dict(record.versions)
        self.says_that_it_leaves = False
        self.in_flight = 0
        self.open_calls = {}
        self.item_runs = set()
        self.other_requests = 0
        self.load_at = -LOAD_TTL_S
        self.queued = 0
        self.limit = None
        self.slow_since = None
        self.slowness = 1.0
        self.speed = speeds.SpeedTracker()
        self.failures = 0
        self.backoff_until = 0.0
        self.expires_at = None
        self.loading_models = set()
        self.pace_at = 0.0
        self.pace_s = None

    @property
    def id(self):
        """The endpoint's id."""
        return self.record.id

    @property
    def leaving(self):
        """Whether the endpoint leaves, by its entry or by a response."""
        return self.record.leaving or self.says_that_it_leaves

    @property
    def instance(self):
        """What tells one instance from another: id and time of the start."""
        return self.record.id, self.record.born_ms

    def update(self, record):
        """Replace the record.

        Versions that this process saw stay if they are newer than those of
        the record, unless the endpoint has restarted.
        """
        restarted = record.born_ms != self.record.born_ms
        self.record = record
        self.address = frames.parse_address(record.address)
        self.expires_at = None
        if restarted:
            self.limit = None
            self.says_that_it_leaves = False
            self.speed = speeds.SpeedTracker()
        for model, version in record.versions.items():
            if restarted or version > self.versions.get(model, 0):
                self.versions[model] = version

    def record_success(self):
        """Record a successful request, which ends the backoff."""
        self.failures = 0
        self.backoff_until = 0.0

    def record_failure(self, now):
        """Record a failed request, which starts an exponential backoff."""
        backoff_s = min(BACKOFF_MIN_S * 2**self.failures, BACKOFF_MAX_S)
        self.failures += 1
        self.backoff_until = now + backoff_s

    def update_load(self, facts, now):
        """Update the load from a response.

        :param facts: the :class:`~dialect.ReplyFacts` of the response
        :param now: loop time, in seconds
        """
        if facts.running is None:
            return
        self.other_requests = max(
            0, facts.running + facts.waiting - self.in_flight
        )
        self.load_at = now
        self.queued = facts.waiting
        self.slowness = facts.slowness
        if facts.slowness is not None:
            self.speed.add_report(facts.slowness, now)

    def update_pace(self, event_s, now):
        """Update the smoothed pace with the time that an event took.

        :param event_s: time for the event, in seconds
        :param now: loop time, in seconds
        """
        if self.pace_s is None:
            self.pace_s = event_s
        else:
            weight = 1 - math.exp((self.pace_at - now) / PACE_TIME_CONSTANT_S)
            # The weight grows with the time since the last update, so
            # concurrent streams of one engine share it.
            self.pace_s += weight * (event_s - self.pace_s)
        self.pace_at = now

    def estimate_load(self, now):
        """Return the requests at the endpoint as a share of its slots."""
        others = self.other_requests if now - self.load_at < LOAD_TTL_S else 0
        return (self.in_flight + others) / self.record.slots


class Directory:
    """Endpoints by id, from the entries in the platform's store.

    The usable endpoints of a service are asked for many times between two
    changes, and there may be thousands, so they are kept until a change.

    :param decode: function from the name and value of an entry to an
        :class:`~state.directory.EndpointRecord`, or None if it is malformed
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    :ivar endpoints: dict from id to :class:`EndpointState`; changed only by
        the methods
    :ivar changes: number of times that an endpoint was added, has left or was
        removed
    """

    __slots__ = (
        '_clock',
        '_decode',
        '_lapsed',
        '_leaving_instances',
        '_log',
        '_usable',
        'changes',
        'endpoints',
        'on_change',
    )

    def __init__(self, decode, clock, log):
        self._decode = decode
        self._clock = clock
        self._log = log
        self.endpoints = {}
        self.changes = 0
        # Names of the entries that lapsed in an outage.
        self._lapsed = set()
        # Instances that said that they leave, in the order in which they did.
        # An entry may reappear after an outage of the store, or be written
        # again, so they outlast it.
        self._leaving_instances = {}
        # Usable endpoints by service, until the next change.
        self._usable = {}
        self.on_change = lambda: None

    def apply(self, objects, removed, whole, after_outage):
        """Apply a list or changes of entries.

        :param objects: entries that are new or changed
        :param removed: names of removed entries
        :param whole: whether entries that are not in ``objects`` are gone
        :param after_outage: whether the store is unreachable or was until
            recently, so that missing entries may reappear
        """
        present = set()
        for found in objects:
            record = self._decode(found.name, found.value)
            if record is None:
                self._log.info(
                    'entry ignored',
                    endpoint=found.name,
                    reason=found.fault or 'not an endpoint',
                )
                if found.name in self.endpoints:
                    removed = [*removed, found.name]
                continue
            present.add(record.id)
            self._apply_record(record)
        if whole:
            removed = [name for name in self.endpoints if name not in present]
        for name in removed:
            if name not in present:
                self._remove(name, after_outage)
        self.on_change()

    def add(self, state):
        """Add an endpoint.

        :param state: its :class:`EndpointState`
        """
        self.endpoints[state.id] = state
        if state.instance in self._leaving_instances:
            state.says_that_it_leaves = True
        self._handle_membership_change()

    def mark_leaving(self, state, learnt_from, another=False):
        """Give an endpoint no new work, as it says that it leaves.

        This holds for the instance, whatever its entry says from now on. It
        ends with the entry of another instance, which has another id or time
        of its start.

        :param state: the :class:`EndpointState` whose address answered
        :param learnt_from: purpose of the request that was answered
        :param another: whether another endpoint at the address may have
            answered
        """
        marked = [state]
        if another:
            others = []
            for other in self.endpoints.values():
                if other is not state and other.address == state.address:
                    others.append(other)
            marked = others or marked
        for each in marked:
            if each.says_that_it_leaves:
                continue
            each.says_that_it_leaves = True
            self._leaving_instances[each.instance] = True
            while len(self._leaving_instances) > LEAVING_INSTANCES_MAX:
                first = next(iter(self._leaving_instances))
                del self._leaving_instances[first]
            self._log.info(
                'endpoint says that it leaves',
                endpoint=each.id,
                service=each.record.service,
                learnt_from=learnt_from,
                listed_as_leaving=each.record.leaving,
            )
            self._handle_membership_change()
            self.on_change()

    def count_leaving(self):
        """Return how many of the known endpoints said that they leave."""
        return sum(
            state.says_that_it_leaves for state in self.endpoints.values()
        )

    def count_busy(self):
        """Return the requests of this process that run now, by service."""
        busy = {}
        for state in self.endpoints.values():
            if state.in_flight:
                service = state.record.service
                busy[service] = busy.get(service, 0) + state.in_flight
        return busy

    def _drop(self, name):
        state = self.endpoints.pop(name)
        if not state.record.born_ms:
            # Nothing would tell a later instance from this one.
            self._leaving_instances.pop(state.instance, None)
        self._lapsed.discard(name)
        self._handle_membership_change()

    def _handle_membership_change(self):
        self.changes += 1
        self._usable.clear()

    def _apply_record(self, record):
        self._lapsed.discard(record.id)
        state = self.endpoints.get(record.id)
        if state is None:
            self.add(EndpointState(record))
            self._log.info(
                'endpoint found',
                endpoint=record.id,
                service=record.service,
                leaving=record.leaving,
            )
            return
        if record.leaving != state.record.leaving:
            self._log.info(
                'endpoint changed',
                endpoint=record.id,
                leaving=record.leaving,
            )
            self._handle_membership_change()
        elif record.born_ms != state.record.born_ms:
            self._handle_membership_change()
        elif record.service != state.record.service:
            self._handle_membership_change()
        state.update(record)

    def _remove(self, name, after_outage):
        state = self.endpoints.get(name)
        if state is None:
            return
        if after_outage and not state.leaving:
            if state.expires_at is None:
                state.expires_at = self._clock.now() + LAPSED_ENTRY_GRACE_S
                self._lapsed.add(name)
                self._log.info('endpoint lapsed', endpoint=name)
            return
        self._drop(name)
        self._log.info('endpoint gone', endpoint=name)

    def remove_expired(self):
        """Remove entries that did not reappear in time after an outage."""
        now = self._clock.now()
        for name in list(self._lapsed):
            if now < self.endpoints[name].expires_at:
                continue
            self._drop(name)
            self._log.info('endpoint gone', endpoint=name, after='outage')
            self.on_change()

    def list_usable(self, service):
        """Return the endpoints of a service that may get new work.

        :returns: list of :class:`EndpointState`, which the caller must not
            change
        """
        self.remove_expired()
        usable = self._usable.get(service)
        if usable is not None:
            return usable
        usable = []
        for state in self.endpoints.values():
            if state.record.service != service or state.leaving:
                continue
            usable.append(state)
        self._usable[service] = usable
        return usable
