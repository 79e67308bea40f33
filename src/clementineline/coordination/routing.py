"""Late-binding routing: requests wait in the entry for a free slot.

A request is assigned to an endpoint only when the endpoint has a free slot, so
a short request never queues behind a long one at an endpoint that turns out to
be slow.
"""

import asyncio
import collections
import dataclasses
import itertools
import random

from clementineline.coordination import affinity
from clementineline.coordination import pace
from clementineline.coordination import shares
from clementineline.coordination import waiting

__all__ = ['Placement', 'Pool', 'Router']

# Pace from which an endpoint counts as slow, as a multiple of the median pace
# of its pool.
SLOW_ENDPOINT_FACTOR = 3.0
SLOW_ENDPOINT_PROBES_MAX = 1
TYPICAL_CHUNK_TOKENS = 8
# Maximum number of preemptions at an endpoint within PLACEMENT_INTERVAL_S.
RECENT_PREEMPTIONS_MAX = 4
PLACEMENT_INTERVAL_S = 0.25
# A trainer reclaims its slots in a burst and then waits for new reports of the
# endpoints: with outdated reports, two entries would preempt each other's
# samples in turn.
RECLAIM_BURST_S = 0.05
RECLAIM_INTERVAL_S = 1.0
COMPLETION_RATE_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """The endpoint that a request was assigned to.

    :param endpoint: the chosen :class:`~endpoints.Endpoint`
    :param preempts: share of which an attempt is preempted; empty for none
    """

    endpoint: object
    preempts: str = ''


class Pool:
    """The endpoints of one model or service, and its waiting requests.

    :param key: ``(kind, name)``, where kind is ``engine`` or ``service``
    :param policy: a :class:`~settings.PolicySettings`
    :param rng: a :class:`random.Random`, to break ties between endpoints
    """

    __slots__ = (
        '_end_times',
        '_preemption_times',
        '_reclaim_times',
        '_round_robin_turn',
        'affinity',
        'endpoints',
        'key',
        'mean_service_s',
        'policy',
        'queue',
        'rng',
        'weights',
    )

    def __init__(self, key, policy, rng):
        self.key = key
        self.policy = policy
        self.rng = rng
        self.endpoints = {}
        self.queue = waiting.WaitingQueue()
        self.affinity = affinity.PrefixAffinity(policy.affinity_load_factor)
        self.mean_service_s = 0.0
        self.weights = {}
        self._end_times = collections.deque()
        self._preemption_times = {}
        self._reclaim_times = {}
        self._round_robin_turn = itertools.count()

    def record_duration(self, duration_s, now):
        """Record how long an answered request took on its endpoint."""
        self._end_times.append(now)
        if not self.mean_service_s:
            self.mean_service_s = duration_s
        self.mean_service_s += 0.1 * (duration_s - self.mean_service_s)

    def count_used(self):
        """Return a dict from share to slots in use in this pool."""
        used = {}
        for endpoint in self.endpoints.values():
            for share in endpoint.get_shares():
                used[share] = used.get(share, 0) + endpoint.count_share(share)
        return used

    def estimate_wait(self, now):
        """Return the expected wait of a new live request, in seconds."""
        slots = 0
        free = 0
        preemptable = 0
        for endpoint in self.endpoints.values():
            if not endpoint.usable:
                continue
            slots += endpoint.report.capacity
            free += max(0, endpoint.count_free(live=True))
            live = endpoint.count_share(waiting.LIVE)
            preemptable += endpoint.count_used() - live
        ahead = self.queue.count(waiting.LIVE)
        if self.policy.preempt:
            free += preemptable
        if free > ahead or not slots:
            return 0.0
        # Other entries use the same slots, so the wait is computed from the
        # rate at which this entry's own requests end.
        rate = self._compute_completion_rate(now)
        if self.mean_service_s:
            rate = min(rate, slots / self.mean_service_s)
        if not rate:
            return 0.0
        return (ahead - free + 1) / rate

    def _compute_completion_rate(self, now):
        """Return the recent rate of answered requests, per second."""
        while (
            self._end_times
            and now - self._end_times[0] > COMPLETION_RATE_WINDOW_S
        ):
            self._end_times.popleft()
        return len(self._end_times) / COMPLETION_RATE_WINDOW_S

    def choose_endpoint(self, request, now):
        """Choose a free endpoint for a request.

        :param request: a :class:`waiting.WaitingRequest`
        :param now: monotonic time, in seconds
        :returns: ``(endpoint, scores, reason)``; endpoint is None when no
            slot is free
        """
        live = request.share == waiting.LIVE
        candidates = []
        for endpoint in self.endpoints.values():
            if not self._may_run(endpoint, request):
                continue
            if self.policy.late_binding and endpoint.count_free(live) < 1:
                continue
            candidates.append(endpoint)
        if not candidates:
            return None, {}, 'no free slot'
        preferred = []
        for endpoint in candidates:
            if endpoint.name not in request.avoid:
                preferred.append(endpoint)
        candidates = preferred or candidates
        return self._choose_among(candidates, request, now)

    def _choose_among(self, candidates, request, now):
        if self.policy.balancing == 'round_robin':
            turn = next(self._round_robin_turn) % len(candidates)
            return candidates[turn], {}, 'round robin'
        if self.policy.balancing == 'least_outstanding':
            best = min(
                candidates, key=lambda endpoint: endpoint.total_outstanding
            )
            return best, {}, 'least outstanding'
        factors = self._find_slow_factors(candidates, now)
        healthy = []
        for endpoint in candidates:
            if self._may_get_request(endpoint, factors[endpoint.name]):
                healthy.append(endpoint)
        if not healthy:
            return None, factors, 'only slow endpoints are free'
        if request.prefix_key and self.policy.prefix_affinity:
            chosen = self.affinity.choose(
                request.prefix_key, self.endpoints, healthy, now
            )
            if chosen is not None:
                return chosen, factors, 'prefix affinity'
        return self._choose_by_score(healthy, factors)

    def _choose_by_score(self, candidates, factors):
        best = None
        best_score = 0.0
        scores = {}
        for endpoint in candidates:
            load = (endpoint.count_used() + 1) / endpoint.report.capacity
            score = factors[endpoint.name] * (1.0 + load)
            score *= self.rng.uniform(0.99, 1.01)
            scores[endpoint.name] = round(score, 3)
            if best is None or score < best_score:
                best, best_score = endpoint, score
        return best, scores, 'lowest score'

    def _may_run(self, endpoint, request):
        if not endpoint.usable:
            return False
        if request.allowed and endpoint.name not in request.allowed:
            return False
        if request.share == waiting.LIVE or self.key[0] == 'service':
            return True
        return endpoint.report.active_version >= request.min_version

    def find_chunk_interval(self):
        """Return the typical time between chunks, in seconds; 0 if unknown."""
        median = pace.compute_median_pace(
            endpoint.pace for endpoint in self.endpoints.values()
        )
        return median * TYPICAL_CHUNK_TOKENS

    def get_slow_factor(self, endpoint, now):
        """Return the endpoint's pace as a multiple of the pool's median."""
        return self._find_slow_factors([endpoint], now)[endpoint.name]

    def _find_slow_factors(self, endpoints, now):
        factors = {}
        median = 0.0
        if self.policy.detect_slow:
            median = pace.compute_median_pace(
                other.pace for other in self.endpoints.values()
            )
        units = TYPICAL_CHUNK_TOKENS if self.key[0] == 'engine' else 1
        for endpoint in endpoints:
            factor = 1.0
            if median:
                estimate = endpoint.pace.estimate(now, units)
                factor = max(estimate / median, 0.5)
            factors[endpoint.name] = factor
        return factors

    def _may_get_request(self, endpoint, factor):
        """Return whether an endpoint may get a request.

        A slow endpoint gets at most ``SLOW_ENDPOINT_PROBES_MAX`` requests at
        a time. They show when the endpoint has recovered.
        """
        if factor < SLOW_ENDPOINT_FACTOR:
            return True
        return endpoint.total_outstanding < SLOW_ENDPOINT_PROBES_MAX

    def choose_victim(self, request, used, now):
        """Choose where to preempt an attempt in favour of a request.

        :param request: a :class:`waiting.WaitingRequest`
        :param used: dict from share to slots in use
        :param now: monotonic time, in seconds
        :returns: a :class:`Placement`, or None if nothing may be preempted
        """
        if not self.policy.preempt or self.key[0] != 'engine':
            return None
        if request.share == waiting.LIVE:
            victims = [share for share in used if share != waiting.LIVE]
        else:
            victim = shares.choose_victim_share(request, used, self.weights)
            if victim is None or not self._may_reclaim(request.share, now):
                return None
            victims = [victim]
        best = None
        most = 0
        for endpoint in self.endpoints.values():
            if not self._may_run(endpoint, request):
                continue
            if self._count_recent_preemptions(endpoint, now) >= (
                RECENT_PREEMPTIONS_MAX
            ):
                continue
            for share in victims:
                count = endpoint.count_share(share)
                if count > most:
                    best, most = Placement(endpoint, share), count
        if best is not None:
            self._preemption_times[best.endpoint.name].append(now)
        return best

    def _may_reclaim(self, share, now):
        """Return whether a trainer may preempt other trainers now."""
        since = now - self._reclaim_times.get(share, -RECLAIM_INTERVAL_S)
        if since < RECLAIM_BURST_S:
            return True
        if since < RECLAIM_INTERVAL_S:
            return False
        self._reclaim_times[share] = now
        return True

    def _count_recent_preemptions(self, endpoint, now):
        times = self._preemption_times.setdefault(endpoint.name, [])
        while times and now - times[0] > PLACEMENT_INTERVAL_S:
            times.pop(0)
        return len(times)


class Router:
    """Assigns the waiting requests of each pool to its endpoints.

    :param policy: a :class:`~settings.PolicySettings`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param get_weight: function that returns the weight of a trainer, by name
    """

    __slots__ = (
        '_clock',
        '_decisions',
        '_get_weight',
        '_pools',
        '_scheduled',
        'policy',
        'rng',
    )

    def __init__(self, policy, clock, decisions, get_weight):
        self.policy = policy
        self._clock = clock
        self._decisions = decisions
        self._get_weight = get_weight
        self._pools = {}
        self._scheduled = set()
        self.rng = random.Random()

    def get_pool(self, kind, name):
        """Return the pool of a model or service; create it if missing."""
        key = (kind, name)
        pool = self._pools.get(key)
        if pool is None:
            pool = Pool(key, self.policy, self.rng)
            self._pools[key] = pool
        return pool

    def get_pools(self):
        """Return all pools."""
        return list(self._pools.values())

    def count_waiting(self):
        """Return the number of waiting requests."""
        return sum(len(pool.queue) for pool in self._pools.values())

    def add_endpoint(self, endpoint):
        """Add an endpoint to its pool."""
        member = endpoint.member
        pool = self.get_pool(member.kind, member.serves)
        pool.endpoints[endpoint.name] = endpoint

    def remove_endpoint(self, endpoint):
        """Remove an endpoint from its pool."""
        member = endpoint.member
        pool = self.get_pool(member.kind, member.serves)
        pool.endpoints.pop(endpoint.name, None)

    def add(self, pool, request):
        """Queue a request, whose future gets the :class:`Placement`."""
        request.since = self._clock.now()
        pool.queue.add(request)
        self.schedule(pool)

    def withdraw(self, pool, request):
        """Remove a request from the queue, or release the slot it got.

        :param request: a :class:`waiting.WaitingRequest` that was added
        """
        future = request.future
        if future.done() and not future.cancelled():
            future.result().endpoint.release(request.share)
            self.schedule(pool)
            return
        future.cancel()
        pool.queue.discard(request)

    def schedule(self, pool):
        """Place waiting requests in the next pass of the event loop."""
        if pool.key in self._scheduled:
            return
        self._scheduled.add(pool.key)
        asyncio.get_running_loop().call_soon(self._place_scheduled, pool)

    def _place_scheduled(self, pool):
        self._scheduled.discard(pool.key)
        self.place_waiting(pool)

    async def run(self):
        """Place waiting requests at regular intervals until cancelled."""
        while True:
            await asyncio.sleep(PLACEMENT_INTERVAL_S)
            for pool in self.get_pools():
                if len(pool.queue):
                    self.schedule(pool)

    def place_waiting(self, pool):
        """Place waiting requests until no slot is left for them."""
        blocked = set()
        while True:
            request = self._choose_request(pool, blocked)
            if request is None:
                return
            placement = self._place(pool, request)
            if placement is None:
                blocked.add(request.share)
                continue
            pool.queue.take(request)
            request.future.set_result(placement)
            # The task that awaits the future dispatches the request later, so
            # the slot is reserved here.
            placement.endpoint.reserve(request.share)

    def _choose_request(self, pool, blocked):
        trainers = []
        for share in pool.queue.get_shares():
            if share in blocked:
                continue
            request = pool.queue.peek(share)
            if request is None:
                continue
            if share == waiting.LIVE:
                return request
            trainers.append(request)
        if len(trainers) < 2:
            return trainers[0] if trainers else None
        return shares.choose_next_request(trainers, pool.count_used())

    def _place(self, pool, request):
        now = self._clock.now()
        endpoint, scores, reason = pool.choose_endpoint(request, now)
        preempts = ''
        if endpoint is None:
            used = pool.count_used()
            self._update_weights(pool, used)
            placement = pool.choose_victim(request, used, now)
            if placement is None:
                return None
            endpoint, preempts = placement.endpoint, placement.preempts
            reason = f'preempts {preempts}'
        pool.affinity.record(endpoint.name, now)
        self._decisions.record(
            'route',
            request.id,
            choice=endpoint.name,
            reason=reason,
            scores=scores,
            share=request.share,
            waited_s=round(now - request.since, 4),
        )
        return Placement(endpoint, preempts)

    def _update_weights(self, pool, used):
        for share in used:
            if share == waiting.LIVE:
                continue
            pool.weights[share] = self._get_weight(share)
