"""Prefix affinity with bounded loads.

Rendezvous hashing ranks the endpoints in the same order for all requests with
the same prompt prefix, so these requests reach an endpoint that has the prefix
in its cache. An endpoint whose load exceeds a multiple of the mean is skipped.
"""

import collections

from clementineline.coordination import rendezvous

__all__ = ['PrefixAffinity']

CACHED_RANKINGS_MAX = 4096
LOAD_HALF_LIFE_S = 5.0
# Load above the mean that is always allowed: at a low load, a multiple of the
# mean may be less than one request.
LOAD_SLACK = 2.0


class PrefixAffinity:
    """Ranks the endpoints of a pool for each prefix, and tracks their loads.

    The load of an endpoint is the number of requests that this entry placed
    there, decaying with a half-life of ``LOAD_HALF_LIFE_S``. Placements are
    counted instead of slots in use, because at a low load too few slots are
    in use to tell the endpoints apart.

    :param load_factor: maximum load of a chosen endpoint, as a multiple of
        the mean
    """

    __slots__ = ('_load_factor', '_loads', '_names', '_rankings')

    def __init__(self, load_factor):
        self._load_factor = load_factor
        self._loads = {}
        self._names = ()
        self._rankings = collections.OrderedDict()

    def choose(self, prefix_key, endpoints, candidates, now):
        """Choose an endpoint for a prefix.

        :param prefix_key: digest of the prefix
        :param endpoints: dict from name to endpoint of the pool
        :param candidates: endpoints that have a free slot
        :param now: monotonic time, in seconds
        :returns: the candidate that ranks highest and is not overloaded, or
            None if all candidates are overloaded
        """
        total = 0.0
        for name in endpoints:
            total += self._compute_load(name, now)
        mean = total / max(len(endpoints), 1)
        limit = max(self._load_factor * mean, mean + LOAD_SLACK)
        free = {endpoint.name: endpoint for endpoint in candidates}
        for name in self._rank(prefix_key, endpoints):
            endpoint = free.get(name)
            if endpoint is None:
                continue
            if self._compute_load(name, now) <= limit:
                return endpoint
        return None

    def record(self, name, now):
        """Record that a request was placed at an endpoint."""
        self._loads[name] = (self._compute_load(name, now) + 1.0, now)

    def _compute_load(self, name, now):
        load, at = self._loads.get(name, (0.0, now))
        return load * 0.5 ** ((now - at) / LOAD_HALF_LIFE_S)

    def _rank(self, prefix_key, endpoints):
        names = tuple(endpoints)
        if names != self._names:
            self._names = names
            self._rankings.clear()
        ranking = self._rankings.get(prefix_key)
        if ranking is None:
            ranking = rendezvous.rank(prefix_key, names)
            self._rankings[prefix_key] = ranking
            if len(self._rankings) > CACHED_RANKINGS_MAX:
                self._rankings.popitem(last=False)
        return ranking
