"""Prefix affinity, bounded by load.

Requests with the same prompt prefix rank the endpoints in the same order, so
they meet where the prefix is cached; an endpoint with more than a multiple of
the mean load is passed over.
"""

import collections

from clementineline.coordination import rendezvous

__all__ = ['PrefixAffinity']

RANKINGS_KEPT = 4096


class PrefixAffinity:
    """Ranks the endpoints of a pool for a prefix.

    :param load_factor: most load of a chosen endpoint, as a multiple of
        the mean
    """

    __slots__ = ('_factor', '_names', '_rankings')

    def __init__(self, load_factor):
        self._factor = load_factor
        self._names = ()
        self._rankings = collections.OrderedDict()

    def choose(self, prefix_key, endpoints, candidates):
        """Choose an endpoint for a prefix.

        :param prefix_key: digest of the prefix
        :param endpoints: dict from name to endpoint of the pool
        :param candidates: endpoints that have a free slot
        :returns: one of the candidates, or None when each that the prefix
            prefers is too loaded
        """
        total = 0
        for endpoint in endpoints.values():
            total += endpoint.count_used()
        limit = self._factor * (total + 1) / max(len(endpoints), 1)
        free = {endpoint.name: endpoint for endpoint in candidates}
        for name in self._rank(prefix_key, endpoints):
            endpoint = free.get(name)
            if endpoint is None:
                continue
            if endpoint.count_used() + 1 <= max(limit, 1.0):
                return endpoint
        return None

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
