"""Work that waits in the entry for a slot, ordered within each share.

Taking the next piece of work costs the logarithm of the number that waits.
"""

import heapq
import itertools

__all__ = ['LIVE', 'WaitingQueue', 'WaitingRequest']

LIVE = 'live'


class WaitingRequest:
    """A request that waits for a slot.

    :param id: id of the request
    :param share: ``live`` or a trainer's name
    :param weight: the trainer's weight
    :param order: smaller goes first within the share
    :param prefix_key: digest of the prompt's beginning, or ''
    :param units: predicted tokens, or 1 for a call
    :param allowed: names of endpoints that may run it; empty for all
    :param min_version: oldest weight version allowed to run it
    :param future: set to the chosen endpoint's placement
    :param prompt_key: digest of the prompt, of a sample; else ''
    """

    __slots__ = (
        'allowed',
        'avoid',
        'future',
        'id',
        'min_version',
        'order',
        'prefix_key',
        'prompt_key',
        'share',
        'since',
        'units',
        'weight',
    )

    def __init__(
        self,
        id,
        share,
        weight,
        order,
        prefix_key,
        units,
        future,
        since=0.0,
        allowed=(),
        avoid=(),
        min_version=0,
        prompt_key='',
    ):
        self.id = id
        self.share = share
        self.weight = weight
        self.order = order
        self.prefix_key = prefix_key
        self.units = units
        self.future = future
        self.since = since
        self.allowed = allowed
        self.avoid = avoid
        self.min_version = min_version
        self.prompt_key = prompt_key


class WaitingQueue:
    """Waiting requests of one pool, a heap for each share."""

    __slots__ = ('_by_prompt', '_counter', '_heaps', '_sizes')

    def __init__(self):
        self._by_prompt = {}
        self._counter = itertools.count()
        self._heaps = {}
        self._sizes = {}

    def __len__(self):
        return sum(self._sizes.values())

    def count(self, share):
        """Return how many requests of a share wait."""
        return self._sizes.get(share, 0)

    def add(self, request):
        """Add a request."""
        heap = self._heaps.setdefault(request.share, [])
        heapq.heappush(heap, (request.order, next(self._counter), request))
        self._sizes[request.share] = self._sizes.get(request.share, 0) + 1
        if request.prompt_key:
            # A dict keeps the order in which they came; its values are unused.
            siblings = self._by_prompt.setdefault(request.prompt_key, {})
            siblings[request] = None

    def reorder(self, prompt_key, order):
        """Move the waiting samples of a prompt to another position.

        The old places stay in the heap and are passed over later.
        """
        for request in self._by_prompt.get(prompt_key, ()):
            if order < request.order:
                request.order = order
                heap = self._heaps[request.share]
                heapq.heappush(heap, (order, next(self._counter), request))

    def discard(self, request):
        """Note that a request no longer waits."""
        self._sizes[request.share] -= 1
        if request.prompt_key:
            siblings = self._by_prompt[request.prompt_key]
            siblings.pop(request, None)
            if not siblings:
                del self._by_prompt[request.prompt_key]

    def get_shares(self):
        """Return the shares that have waiting requests."""
        shares = []
        for share, size in self._sizes.items():
            if size:
                shares.append(share)
        return shares

    def peek(self, share):
        """Return the first waiting request of a share, or None."""
        heap = self._heaps.get(share)
        while heap:
            request = heap[0][2]
            if not request.future.done():
                return request
            heapq.heappop(heap)
        return None

    def take(self, request):
        """Remove the request that :meth:`peek` returned."""
        heapq.heappop(self._heaps[request.share])
        self.discard(request)
