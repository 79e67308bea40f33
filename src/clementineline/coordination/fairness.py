"""Fair division of capacity that is not sufficient for all organisations.

The classes and functions do no I/O and know neither items nor engines: they
divide costs, in any common unit, among organisations. They are designed for
up to some hundred organisations and open submissions, of which one may ask
for a hundred times as much as another.

The order is that of earliest virtual deadline first. The virtual time of an
organisation is the cost that it was served divided by its weight. The virtual
deadline of a submission is the virtual time of its organisation once it is
served. An organisation with little work has early deadlines, and the deadline
of a submission does not move while it is served, so a step that has begun is
completed before another of the same size begins.
"""

import dataclasses
import enum
import math

__all__ = ['Claim', 'FairQueue', 'Standing', 'rank', 'share_capacity']

# An organisation is served at least this share as often as all together. This
# part of the capacity is divided in proportion to what each asks for, the rest
# by weight, as equal shares alone could leave an organisation that asks for a
# hundred times as much as the others with a hundredth of it. A quarter is
# required; runs are charged when they start and have cost less until then.
FLOOR_SHARE = 0.3
# What is kept for organisations below that share, in runs like the last one.
# More would let one of them use all slots for some time.
FLOOR_RUNS_MAX = 8
# Time constant with which served and requested costs are forgotten: some
# steps of 7.5 s each.
MEMORY_S = 60.0
# Share of the slots that are in use on average until a step is complete: its
# last items leave some idle.
UTILISATION = 0.85
# A step that has begun yields only if it is estimated to take this much longer
# than is left, because hints are right only at the median and its work would
# be lost.
BEGUN_SLACK = 1.25


class Standing(enum.IntEnum):
    """Whether a submission can be complete when its results are due.

    ``LATE``: it cannot, alone or beside those before it. ``OVERDUE``: its
    results are due already.
    """

    IN_TIME = 0
    LATE = 1
    OVERDUE = 2


@dataclasses.dataclass(slots=True)
class Claim:
    """What a submission asks for at one moment.

    :param key: id of the submission
    :param organisation: name of its organisation
    :param pool: what the engines are known by that may run it
    :param priority: rank within the organisation, 0 for the highest
    :param due_at: time at which its results are due, in seconds; infinite if
        they have no such time
    :param accepted_at: time of its acceptance, in seconds
    :param waiting: cost of the items that have not started
    :param needed: cost that is left of the cheapest items which complete the
        groups that it needs, started ones included
    :param longest_s: time that the longest of them takes, in seconds
    :param begun: whether an item has started
    """

    key: str
    organisation: str
    pool: object
    priority: int
    due_at: float
    accepted_at: float
    waiting: float
    needed: float
    longest_s: float
    begun: bool

    def fits(self, ahead, rate, now):
        """Return whether it can be complete in time.

        :param ahead: cost that is served before it
        :param rate: cost that its engines serve in a second; None if unknown
        """
        if now >= self.due_at:
            return False
        if self.due_at == math.inf or not rate:
            return True
        left_s = self.due_at - now
        if self.begun:
            left_s *= BEGUN_SLACK
        needed_s = (ahead + self.needed) / (rate * UTILISATION)
        return max(needed_s, self.longest_s) <= left_s


class FairQueue:
    """Virtual times of organisations, and what they asked for and got.

    A process that starts knows none of it: all organisations begin equal.

    :param weights: dict from organisation to its weight, 1 where it is missing
    """

    __slots__ = (
        '_asked',
        '_floor_budget',
        '_forgotten_at',
        '_progress',
        '_served',
        '_virtual',
        '_waiting',
        '_weights',
    )

    def __init__(self, weights=None):
        self._weights = weights or {}
        self._virtual = 0.0
        self._progress = {}
        self._waiting = {}
        self._asked = {}
        self._served = {}
        self._floor_budget = 0.0
        self._forgotten_at = None

    def get_weight(self, organisation):
        """Return the weight of an organisation."""
        return self._weights.get(organisation, 1.0)

    def get_progress(self, organisation):
        """Return the virtual time of an organisation.

        One without work gains no credit: it starts at the present.
        """
        return self._progress.get(organisation, self._virtual)

    def update(self, waiting, now):
        """Replace the waiting work.

        :param waiting: dict from organisation to the cost that waits, without
            those that have none
        :param now: loop time, in seconds
        """
        for organisation in waiting:
            if organisation not in self._waiting:
                self._progress[organisation] = max(
                    self._virtual, self.get_progress(organisation)
                )
        self._waiting = dict(waiting)
        for organisation, progress in list(self._progress.items()):
            if organisation not in waiting and progress <= self._virtual:
                del self._progress[organisation]
        self._forget(now)

    def _forget(self, now):
        if self._forgotten_at is not None:
            factor = math.exp((self._forgotten_at - now) / MEMORY_S)
            for costs in (self._asked, self._served):
                for organisation in list(costs):
                    costs[organisation] *= factor
                    if (
                        organisation not in self._waiting
                        and costs[organisation] < 1.0
                    ):
                        del costs[organisation]
        self._forgotten_at = now

    def ask(self, organisation, cost):
        """Count work that an organisation asks for, once for each."""
        self._asked[organisation] = self._asked.get(organisation, 0.0) + cost

    def charge(self, organisation, cost, floor=False):
        """Count the cost of a run that starts.

        :param floor: whether it starts before others because its organisation
            is served too rarely
        """
        if floor:
            self._floor_budget -= cost
        else:
            earned = cost * FLOOR_SHARE / (1 - FLOOR_SHARE)
            self._floor_budget = min(
                self._floor_budget + earned, cost * FLOOR_RUNS_MAX
            )
        weights = self.get_weight(organisation)
        for other in self._waiting:
            if other != organisation:
                weights += self.get_weight(other)
        self._virtual += cost / weights
        self.correct(organisation, cost)

    def correct(self, organisation, cost):
        """Add what a run has cost beyond its charge; negative if less."""
        self._progress[organisation] = self.get_progress(
            organisation
        ) + cost / self.get_weight(organisation)
        self._served[organisation] = max(
            0.0, self._served.get(organisation, 0.0) + cost
        )

    def list_underserved(self):
        """List the organisations that are served too rarely.

        :returns: list of ``(organisation, cost)``, the most disadvantaged
            first, with the cost that each may be served before all others now
        """
        asked = sum(self._asked.values())
        if not asked or self._floor_budget <= 0:
            return []
        floor = FLOOR_SHARE * sum(self._served.values()) / asked
        missing = []
        for organisation in self._waiting:
            own = self._asked.get(organisation, 0.0)
            served = self._served.get(organisation, 0.0)
            if served < floor * own:
                missing.append((served / own, organisation))
        chosen = []
        budget = self._floor_budget
        for rate, organisation in sorted(missing):
            lacking = (floor - rate) * self._asked[organisation]
            chosen.append((organisation, min(lacking, budget)))
            budget -= lacking
            if budget <= 0:
                break
        return chosen


def _outlook(claim, rates, now):
    """Return the best standing that a claim can have, if it were alone."""
    if now >= claim.due_at:
        return Standing.OVERDUE
    if claim.fits(0.0, rates.get(claim.pool), now):
        return Standing.IN_TIME
    return Standing.LATE


def _compute_spans(claims, queue, outlooks):
    """Return the virtual start and deadline of each claim, by key.

    An organisation's work is served in this order: what can be in time, then
    by priority, by due time and by age.
    """
    spans = {}
    reached = {}
    for claim in sorted(
        claims,
        key=lambda claim: (
            outlooks[claim.key],
            claim.priority,
            claim.due_at,
            claim.accepted_at,
        ),
    ):
        name = claim.organisation
        start = reached.get(name, queue.get_progress(name))
        reached[name] = start + claim.waiting / queue.get_weight(name)
        spans[claim.key] = (start, reached[name])
    return spans


def _all_fit(claims, rate, now):
    ahead = 0.0
    for claim in claims:
        if not claim.fits(ahead, rate, now):
            return False
        ahead += claim.needed
    return True


def _by_due_time(claims):
    return sorted(claims, key=lambda claim: claim.due_at)


def rank(claims, queue, rates, now):
    """Rank submissions in the order in which their items should start.

    A submission that cannot be complete in time yields to those that can:
    half of the capacity for each of two steps that need three quarters of it
    would complete neither. Those that cannot be in time share what is left by
    their virtual start, since nothing is gained by one that is whole.

    :param claims: list of :class:`Claim`
    :param queue: the :class:`FairQueue`
    :param rates: dict from pool to the cost that it serves in a second; None
        or missing if that is unknown
    :param now: time, in seconds, as in the claims
    :returns: list of ``(claim, standing)``
    """
    outlooks = {claim.key: _outlook(claim, rates, now) for claim in claims}
    spans = _compute_spans(claims, queue, outlooks)
    ordered = sorted(
        claims,
        key=lambda claim: (
            spans[claim.key][1],
            claim.due_at,
            claim.accepted_at,
        ),
    )
    accepted = {}
    yielding = []
    for claim in ordered:
        standing = outlooks[claim.key]
        if standing is Standing.IN_TIME:
            others = accepted.setdefault(claim.pool, [])
            rate = rates.get(claim.pool)
            if _all_fit(_by_due_time([*others, claim]), rate, now):
                others.append(claim)
                continue
            standing = Standing.LATE
        yielding.append((claim, standing))
    # Where the order of the virtual deadlines would make one late, the due
    # times decide within the pool.
    for pool, chosen in accepted.items():
        if not _all_fit(chosen, rates.get(pool), now):
            chosen = _by_due_time(chosen)
        accepted[pool] = iter(chosen)
    yielding.sort(key=lambda pair: (pair[1], spans[pair[0].key][0]))
    late = {claim.key for claim, _ in yielding}
    ranked = []
    for claim in ordered:
        if claim.key not in late:
            ranked.append((next(accepted[claim.pool]), Standing.IN_TIME))
    return ranked + yielding


def share_capacity(demands, capacity, weights=None):
    """Divide capacity among organisations.

    No organisation gets more than it asks for while another one lacks some.

    :param demands: dict from organisation to what it asks for
    :param capacity: what there is, in the same unit
    :param weights: dict from organisation to its weight, 1 where it is missing
    :returns: dict from organisation to what it gets
    """
    total = sum(demands.values())
    if total <= capacity:
        return dict(demands)
    weights = weights or {}
    floor = FLOOR_SHARE * capacity / total
    shares = {name: demand * floor for name, demand in demands.items()}
    left = capacity - sum(shares.values())
    # From the least demand for its weight on, each gets its demand or an equal
    # part of what is left.
    open_names = sorted(
        demands, key=lambda name: demands[name] / weights.get(name, 1.0)
    )
    weight_left = sum(weights.get(name, 1.0) for name in open_names)
    for name in open_names:
        weight = weights.get(name, 1.0)
        part = min(demands[name] - shares[name], left * weight / weight_left)
        shares[name] += part
        left -= part
        weight_left -= weight
    return shares
