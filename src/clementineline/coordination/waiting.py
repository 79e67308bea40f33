"""Queue of requests that wait in the entry, ordered within each share.

Taking the next request of a share takes O(log n) time for n queued requests.
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
    :param order: position within the share, smallest first
    :param prefix_key: digest of the prompt's first characters, or ''
    :param units: units of work; always 1 and not used
    :param future: gets the :class:`~routing.Placement` of the request
    :param since: monotonic time at which it was queued, in seconds
    :param allowed: names of endpoints that may run it; empty for all
    :param avoid: names of endpoints to use only if no other one is free
    :param min_version: oldest weights version that may run it
    :param prompt_key: key of the prompt for a sample; else ''
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
    """Waiting requests of one pool, with one heap per share."""

    __slots__ = ('_by_prompt', '_counter', '_heaps', '_sizes')

    def __init__(self):
        self._by_prompt = {}
        self._counter = itertools.count()
        self._heaps = {}
        self._sizes = {}

    def __len__(self):
        return sum(self._sizes.values())

    def count(self, share):
        """Return the number of waiting requests of a share."""
        return self._sizes.get(share, 0)

    def add(self, request):
        """Add a request."""
        heap = self._heaps.setdefault(request.share, [])
        heapq.heappush(heap, (request.order, next(self._counter), request))
        self._sizes[request.share] = self._sizes.get(request.share, 0) + 1
        if request.prompt_key:
            # A dict serves as an ordered set; its values are unused.
            siblings = self._by_prompt.setdefault(request.prompt_key, {})
            siblings[request] = None

    def reorder(self, prompt_key, order):
        """Move the waiting samples of a prompt forward in the queue.

        Their old heap entries stay until :meth:`peek` drops them.

        :param prompt_key: key of the prompt
        :param order: new position; samples with a smaller one keep theirs
        """
        for request in self._by_prompt.get(prompt_key, ()):
            if order < request.order:
                request.order = order
                heap = self._heaps[request.share]
                heapq.heappush(heap, (order, next(self._counter), request))

    def discard(self, request):
        """Stop counting a request as waiting and as a sample of its prompt.

        :meth:`peek` drops the heap entries that the request may still have.
        """
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
        """Return the first waiting request of a share, or None.

        Drops heap entries of requests that no longer wait.
        """
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
