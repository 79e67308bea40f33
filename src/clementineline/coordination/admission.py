"""Admission at the endpoint: slots, the live reserve, and preemption."""

import dataclasses

from clementineline.coordination import waiting

__all__ = ['Admission', 'Admitted', 'Refused']


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt may start.

    :param victim: id of an attempt that must give way, or ''
    """

    victim: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt must not start.

    :param reason: why
    """

    reason: str


class Admission:
    """Grants the slots of one endpoint.

    :param capacity: slots
    :param reserve: slots that only live work may take
    """

    __slots__ = ('_giving_way', '_running', 'capacity', 'leaving', 'reserve')

    def __init__(self, capacity, reserve):
        self.capacity = capacity
        self.reserve = reserve
        self.leaving = False
        self._running = {}
        self._giving_way = set()

    def admit(self, attempt_id, share, preempts):
        """Grant or refuse a slot.

        :param share: ``live`` or a trainer's name
        :param preempts: share that may be displaced, or ''
        :returns: :class:`Admitted` or :class:`Refused`
        """
        if self.leaving:
            return Refused('leaving')
        limit = self.capacity
        if share != waiting.LIVE:
            # Live work that runs has taken its part of the reserve.
            live = self.count_running().get(waiting.LIVE, 0)
            limit -= max(0, self.reserve - live)
        if len(self._running) - len(self._giving_way) < limit:
            self._running[attempt_id] = share
            return Admitted()
        victim = self._find_victim(preempts)
        if victim is None:
            return Refused('full')
        self._giving_way.add(victim)
        self._running[attempt_id] = share
        return Admitted(victim)

    def _find_victim(self, preempts):
        """Return the youngest attempt of a share, or None."""
        if not preempts or preempts == waiting.LIVE:
            return None
        for attempt_id in reversed(self._running):
            if attempt_id in self._giving_way:
                continue
            if self._running[attempt_id] == preempts:
                return attempt_id
        return None

    def release(self, attempt_id):
        """Give a slot back."""
        self._running.pop(attempt_id, None)
        self._giving_way.discard(attempt_id)

    def count_running(self):
        """Return a dict from share to slots in use."""
        counts = {}
        for share in self._running.values():
            counts[share] = counts.get(share, 0) + 1
        return counts
