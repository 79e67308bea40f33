"""Late-binding routing: waiting work meets free slots.

Work waits in the entry until an endpoint has a free slot, so a short request
never stands behind a long one at an endpoint that turns out to be slow.
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

SLOW_FACTOR = 3.0
PROBES_AT_SLOW = 1
TYPICAL_CHUNK_TOKENS = 8
PREEMPTIONS_UNDER_WAY_MAX = 4
PUMP_INTERVAL_S = 0.25
# A trainer takes its slots back in one go, then waits for fresh reports: two
# entries that go by old ones would preempt each other's samples in turn.
TAKE_BACK_S = 0.05
TAKE_BACK_EVERY_S = 1.0
RATE_WINDOW_S = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Where a request goes.

    :param endpoint: the chosen endpoint
    :param preempts: share that must give way; empty for none
    """

    endpoint: object
    preempts: str = ''


class Pool:
    """The endpoints that serve one model or service, and what waits.

    :param key: ``(kind, name)``
    :param policy: a :class:`~settings.PolicySettings`
    """

    __slots__ = (
        '_ends',
        '_preempting',
        '_taking_back',
        '_turn',
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
        self._ends = collections.deque()
        self._preempting = {}
        self._taking_back = {}
        self._turn = itertools.count()

    def note_duration(self, duration_s, now):
        """Take in how long a live request took on its endpoint."""
        self._ends.append(now)
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
        displaceable = 0
        for endpoint in self.endpoints.values():
            if not endpoint.usable:
                continue
            slots += endpoint.report.capacity
            free += max(0, endpoint.count_free(live=True))
            live = endpoint.count_share(waiting.LIVE)
            displaceable += endpoint.count_used() - live
        ahead = self.queue.count(waiting.LIVE)
        if self.policy.preempt:
            free += displaceable
        if free > ahead or not slots:
            return 0.0
        # Other entries use the slots too: go by what ended for this one.
        rate = self._find_end_rate(now)
        if self.mean_service_s:
            rate = min(rate, slots / self.mean_service_s)
        if not rate:
            return 0.0
        return (ahead - free + 1) / rate

    def _find_end_rate(self, now):
        """Return how many live requests end a second, here, of late."""
        while self._ends and now - self._ends[0] > RATE_WINDOW_S:
            self._ends.popleft()
        return len(self._ends) / RATE_WINDOW_S

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
            turn = next(self._turn) % len(candidates)
            return candidates[turn], {}, 'round robin'
        if self.policy.balancing == 'least_outstanding':
            best = min(candidates, key=lambda item: item.total_outstanding)
            return best, {}, 'least outstanding'
        factors = self._find_slow_factors(candidates, now)
        healthy = []
        for endpoint in candidates:
            if self._allows_probe(endpoint, factors[endpoint.name]):
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
        """Return the usual time between chunks, in seconds; 0 if unknown."""
        typical = pace.find_typical_pace(
            item.pace for item in self.endpoints.values()
        )
        return typical * TYPICAL_CHUNK_TOKENS

    def get_slow_factor(self, endpoint, now):
        """Return an endpoint's pace as a multiple of the pool's median."""
        return self._find_slow_factors([endpoint], now)[endpoint.name]

    def _find_slow_factors(self, endpoints, now):
        factors = {}
        typical = 0.0
        if self.policy.detect_slow:
            typical = pace.find_typical_pace(
                item.pace for item in self.endpoints.values()
            )
        units = TYPICAL_CHUNK_TOKENS if self.key[0] == 'engine' else 1
        for endpoint in endpoints:
            factor = 1.0
            if typical:
                estimate = endpoint.pace.estimate(now, units)
                factor = max(estimate / typical, 0.5)
            factors[endpoint.name] = factor
        return factors

    def _allows_probe(self, endpoint, factor):
        """Keep a slow endpoint on a trickle that shows its recovery."""
        if factor < SLOW_FACTOR:
            return True
        return endpoint.total_outstanding < PROBES_AT_SLOW

    def choose_victim(self, request, used, now):
        """Choose an endpoint where a share must give way to a request.

        :returns: a :class:`Placement`, or None
        """
        if not self.policy.preempt or self.key[0] != 'engine':
            return None
        if request.share == waiting.LIVE:
            victims = [share for share in used if share != waiting.LIVE]
        else:
            victim = shares.choose_victim_share(request, used, self.weights)
            if victim is None or not self._may_take_back(request.share, now):
                return None
            victims = [victim]
        best = None
        most = 0
        for endpoint in self.endpoints.values():
            if not self._may_run(endpoint, request):
                continue
            if self._count_preempting(endpoint, now) >= (
                PREEMPTIONS_UNDER_WAY_MAX
            ):
                continue
            for share in victims:
                count = endpoint.count_share(share)
                if count > most:
                    best, most = Placement(endpoint, share), count
        if best is not None:
            self._preempting[best.endpoint.name].append(now)
        return best

    def _may_take_back(self, share, now):
        """Return whether a trainer may preempt another one now."""
        since = now - self._taking_back.get(share, -TAKE_BACK_EVERY_S)
        if since < TAKE_BACK_S:
            return True
        if since < TAKE_BACK_EVERY_S:
            return False
        self._taking_back[share] = now
        return True

    def _count_preempting(self, endpoint, now):
        times = self._preempting.setdefault(endpoint.name, [])
        while times and now - times[0] > PUMP_INTERVAL_S:
            times.pop(0)
        return len(times)


class Router:
    """Matches waiting requests with endpoints, pool by pool.

    :param policy: a :class:`~settings.PolicySettings`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param get_weight: function from a trainer's name to its weight
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
        """Return the pool of a model or service; made when new."""
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
        """Let a request wait for a slot; its future gets a Placement."""
        request.since = self._clock.now()
        pool.queue.add(request)
        self.schedule(pool)

    def withdraw(self, pool, request):
        """Take a request out of the queue and give its slot back.

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
        """Match waiting work at the end of this pass of the event loop."""
        if pool.key in self._scheduled:
            return
        self._scheduled.add(pool.key)
        asyncio.get_running_loop().call_soon(self._pump_scheduled, pool)

    def _pump_scheduled(self, pool):
        self._scheduled.discard(pool.key)
        self.place_waiting(pool)

    async def run(self):
        """Match waiting work at intervals, beside all events."""
        while True:
            await asyncio.sleep(PUMP_INTERVAL_S)
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
            # The dispatch follows in the waiter's task; count it now.
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
        return shares.choose_share(trainers, pool.count_used())

    def _place(self, pool, request):
        now = self._clock.now()
        endpoint, scores, reason = pool.choose_endpoint(request, now)
        preempts = ''
        if endpoint is None:
            used = pool.count_used()
            self._note_weights(pool, used)
            placement = pool.choose_victim(request, used, now)
            if placement is None:
                return None
            endpoint, preempts = placement.endpoint, placement.preempts
            reason = f'preempts {preempts}'
        pool.affinity.note(endpoint.name, now)
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

    def _note_weights(self, pool, used):
        for share in used:
            if share == waiting.LIVE:
                continue
            pool.weights[share] = self._get_weight(share)
