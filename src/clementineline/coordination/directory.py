"""The endpoints that may be used now, with what this process saw of them."""

import math

from clementineline.transport import frames

__all__ = ['CHANGE_PAUSE_S', 'Directory', 'EndpointState']

# An entry that lapsed while the store was out is back within two seconds of
# the store's return, if its endpoint lives.
LAPSED_ENTRY_GRACE_S = 1.6
# Entries change in bursts while versions load; they come in one answer.
CHANGE_PAUSE_S = 0.8
PENALTY_S = 0.5
PENALTY_MAX_S = 4.0
LOAD_TTL_S = 1.0
# Neighbours slow an engine for some 600 ms now and then; a pace that counts
# lasts longer.
PACE_MEMORY_S = 0.6


class EndpointState:
    """An endpoint as this process sees it.

    :param record: its :class:`~state.directory.EndpointRecord`
    """

    __slots__ = (
        'address',
        'backoff_until',
        'doubtful_until',
        'failures',
        'in_flight',
        'item_runs',
        'load_at',
        'loading_models',
        'other_requests',
        'pace_at',
        'pace_s',
        'queued',
        'record',
        'slow_since',
        'slowness',
        'versions',
    )

    def __init__(self, record):
        self.record = record
        self.address = frames.parse_address(record.address)
        self.versions = dict(record.versions)
        self.in_flight = 0
        self.item_runs = set()
        self.other_requests = 0
        self.load_at = -LOAD_TTL_S
        self.queued = 0
        self.slow_since = None
        self.slowness = 1.0
        self.failures = 0
        self.backoff_until = 0.0
        self.doubtful_until = None
        self.loading_models = set()
        self.pace_at = 0.0
        self.pace_s = None

    @property
    def id(self):
        """The endpoint's id."""
        return self.record.id

    def update(self, record):
        """Take a newer record; versions that were seen later stay."""
        restarted = record.born_ms != self.record.born_ms
        self.record = record
        self.address = frames.parse_address(record.address)
        self.doubtful_until = None
        for model, version in record.versions.items():
            if restarted or version > self.versions.get(model, 0):
                self.versions[model] = version

    def record_success(self):
        """Note that the endpoint answered."""
        self.failures = 0
        self.backoff_until = 0.0

    def record_failure(self, now):
        """Note that a request failed there; it rests for a while."""
        rest_s = min(PENALTY_S * 2**self.failures, PENALTY_MAX_S)
        self.failures += 1
        self.backoff_until = now + rest_s

    def update_load(self, facts, now):
        """Note the load that a response reported."""
        if facts.running is None:
            return
        self.other_requests = max(
            0, facts.running + facts.waiting - self.in_flight
        )
        self.load_at = now
        self.queued = facts.waiting
        self.slowness = facts.slowness

    def update_pace(self, event_s, now):
        """Note the time that an event of a stream took, in seconds."""
        if self.pace_s is None:
            self.pace_s = event_s
        else:
            weight = 1 - math.exp((self.pace_at - now) / PACE_MEMORY_S)
            # Streams of one engine share the time since the last note.
            self.pace_s += weight * (event_s - self.pace_s)
        self.pace_at = now

    def estimate_load(self, now):
        """Return requests at the endpoint as a share of its slots."""
        others = self.other_requests if now - self.load_at < LOAD_TTL_S else 0
        return (self.in_flight + others) / self.record.slots


class Directory:
    """Endpoints by id, from the entries in the platform's store.

    :param decode: decodes an entry, None if it names no endpoint
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param log: logger
    """

    __slots__ = ('_clock', '_decode', '_log', 'endpoints', 'on_change')

    def __init__(self, decode, clock, log):
        self._decode = decode
        self._clock = clock
        self._log = log
        self.endpoints = {}
        self.on_change = lambda: None

    def apply(self, objects, removed, whole, was_out):
        """Apply a list or changes of entries.

        :param was_out: whether the store was out a short while ago: entries
            that are missing may come back
        """
        named = set()
        for found in objects:
            record = self._decode(found.name, found.value)
            if record is None:
                self._log.info('entry ignored', endpoint=found.name)
                if found.name in self.endpoints:
                    removed = [*removed, found.name]
                continue
            named.add(record.id)
            self._apply_record(record)
        if whole:
            removed = [name for name in self.endpoints if name not in named]
        for name in removed:
            if name not in named:
                self._remove(name, was_out)
        self.on_change()

    def _apply_record(self, record):
        state = self.endpoints.get(record.id)
        if state is None:
            self.endpoints[record.id] = EndpointState(record)
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
        state.update(record)

    def _remove(self, name, was_out):
        state = self.endpoints.get(name)
        if state is None:
            return
        if was_out and not state.record.leaving:
            if state.doubtful_until is None:
                state.doubtful_until = self._clock.now() + LAPSED_ENTRY_GRACE_S
                self._log.info('endpoint doubtful', endpoint=name)
            return
        del self.endpoints[name]
        self._log.info('endpoint gone', endpoint=name)

    def remove_expired(self):
        """Drop entries that did not come back in time."""
        now = self._clock.now()
        for name, state in list(self.endpoints.items()):
            if state.doubtful_until is None or now < state.doubtful_until:
                continue
            del self.endpoints[name]
            self._log.info('endpoint gone', endpoint=name, after='outage')
            self.on_change()

    def list_usable(self, service):
        """Return the endpoints of a service that may get new work."""
        self.remove_expired()
        usable = []
        for state in self.endpoints.values():
            if state.record.service != service or state.record.leaving:
                continue
            usable.append(state)
        return usable
