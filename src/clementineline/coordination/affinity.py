"""Prefix affinity, bounded by load.

Requests with the same prompt prefix rank the endpoints in the same order, so
they meet where the prefix is cached; an endpoint with more than a multiple of
the mean load is passed over.
"""

import collections

from clementineline.coordination import rendezvous

__all__ = ['PrefixAffinity']

RANKINGS_KEPT = 4096
HALF_LIFE_S = 5.0
# Placements above the mean that are allowed at the lowest loads.
SLACK = 2.0


class PrefixAffinity:
    """Ranks the endpoints of a pool for a prefix.

    The load of an endpoint is the number of placements here of late, halved
    every ``HALF_LIFE_S``; slots in use say too little at a low load.

    :param load_factor: most load of a chosen endpoint, as a multiple of
        the mean
    """

    __slots__ = ('_factor', '_loads', '_names', '_rankings')

    def __init__(self, load_factor):
        self._factor = load_factor
        self._loads = {}
        self._names = ()
        self._rankings = collections.OrderedDict()

    def choose(self, prefix_key, endpoints, candidates, now):
        """Choose an endpoint for a prefix.

        :param prefix_key: digest of the prefix
        :param endpoints: dict from name to endpoint of the pool
        :param candidates: endpoints that have a free slot
        :param now: monotonic time, in seconds
        :returns: one of the candidates, or None when each that the prefix
            prefers is too loaded
        """
        total = 0.0
        for name in endpoints:
            total += self._read_load(name, now)
        mean = total / max(len(endpoints), 1)
        limit = max(self._factor * mean, mean + SLACK)
        free = {endpoint.name: endpoint for endpoint in candidates}
        for name in self._rank(prefix_key, endpoints):
            endpoint = free.get(name)
            if endpoint is None:
                continue
            if self._read_load(name, now) <= limit:
                return endpoint
        return None

    def note(self, name, now):
        """Note a placement at an endpoint."""
        self._loads[name] = (self._read_load(name, now) + 1.0, now)

    def _read_load(self, name, now):
        load, at = self._loads.get(name, (0.0, now))
        return load * 0.5 ** ((now - at) / HALF_LIFE_S)

    def _rank(self, prefix_key, endpoints):
        names = tuple(endpoints)
        if names != self._names:
            self._names = names
            self._rankings.clear()
        ranking = self._rankings.get(prefix_key)
        if ranking is None:
            ranking = rendezvous.rank(prefix_key, names)
            self._rankings[prefix_key] = ranking
            if len(self._rankings) > RANKINGS_KEPT:
                self._rankings.popitem(last=False)
        return ranking
