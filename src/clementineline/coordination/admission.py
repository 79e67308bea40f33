"""Admission of attempts at an endpoint: slots, reserve and preemption."""

import dataclasses

from clementineline.coordination import waiting

__all__ = ['Admission', 'Admitted', 'Refused']


@dataclasses.dataclass(frozen=True, slots=True)
class Admitted:
    """The attempt may start.

    :param victim: id of the attempt to preempt, or ''
    """

    victim: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """The attempt must not start.

    :param reason: ``leaving`` or ``full``
    """

    reason: str


class Admission:
    """Grants the slots of one endpoint to attempts.

    :param capacity: number of slots
    :param reserve: number of slots that only live requests may use
    """

    __slots__ = ('_preempted', '_running', 'capacity', 'leaving', 'reserve')

    def __init__(self, capacity, reserve):
        self.capacity = capacity
        self.reserve = reserve
        self.leaving = False
        self._running = {}
        self._preempted = set()

    def admit(self, attempt_id, share, preempts):
        """Grant or refuse a slot.

        :param attempt_id: id of the attempt
        :param share: ``live`` or a trainer's name
        :param preempts: share whose attempts may be preempted, or ''
        :returns: :class:`Admitted` or :class:`Refused`
        """
        if self.leaving:
            return Refused('leaving')
        limit = self.capacity
        if share != waiting.LIVE:
            # Running live requests already use a part of the reserve.
            live = self.count_running().get(waiting.LIVE, 0)
            limit -= max(0, self.reserve - live)
        if len(self._running) - len(self._preempted) < limit:
            self._running[attempt_id] = share
            return Admitted()
        victim = self._find_victim(preempts)
        if victim is None:
            return Refused('full')
        self._preempted.add(victim)
        self._running[attempt_id] = share
        return Admitted(victim)

    def _find_victim(self, preempts):
        """Return the newest attempt of a share to preempt, or None."""
        if not preempts or preempts == waiting.LIVE:
            return None
        for attempt_id in reversed(self._running):
            if attempt_id in self._preempted:
                continue
            if self._running[attempt_id] == preempts:
                return attempt_id
        return None

    def release(self, attempt_id):
        """Release the slot of an attempt."""
        self._running.pop(attempt_id, None)
        self._preempted.discard(attempt_id)

    def count_running(self):
        """Return a dict from share to slots in use."""
        counts = {}
        for share in self._running.values():
            counts[share] = counts.get(share, 0) + 1
        return counts
