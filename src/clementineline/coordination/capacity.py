"""How many endpoints a service needs in each availability zone.

The decisions need no network. They are made once a second for each service
that the platform scales; meant for some tens of services in ten zones, and
for services whose requests last from tens of milliseconds to a minute.
"""

import dataclasses
import math

__all__ = ['CapacityPlanner', 'LoadTrend', 'ServiceLoad']

# Slots that may be in use. More endpoints are needed above the first share,
# and one less is enough if its slots then stay below the second one. Between
# them nothing changes, so that a released endpoint is not ordered again at the
# next small rise.
GROW_SHARE = 0.8
RELEASE_SHARE = 0.6
# The same after the loss of a zone, when the others carry its load. It leaves
# little room, as the loss is rare and ends once the new endpoints serve.
LOSS_GROW_SHARE = 0.95
LOSS_RELEASE_SHARE = 0.75
# Time of lower need after which a zone releases an endpoint, in seconds.
RELEASE_DELAY_S = 30.0
# Time constants of the load, in seconds. Load is sampled once a second; their
# difference shows a trend.
FAST_S = 3.0
SLOW_S = 20.0
# A trend is followed up to this multiple of the load, since a step looks like
# a steep trend for a while.
TREND_FACTOR_MAX = 2.0
# Time in which waiting items are expected to have started if endpoints boot
# faster, in seconds.
BACKLOG_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceLoad:
    """The load of a service and the endpoints that carry it.

    :param busy: number of requests that run
    :param waiting: number of items that wait for an endpoint
    :param run_s: mean duration of an item, in seconds
    :param slots: number of requests that an endpoint runs at a time
    :param endpoints: number of usable endpoints, by zone
    """

    busy: float
    waiting: int
    run_s: float
    slots: float
    endpoints: dict


class LoadTrend:
    """A load that is smoothed, and where it will be after some time."""

    __slots__ = ('_at', '_fast', '_slow')

    def __init__(self):
        self._at = None
        self._fast = 0.0
        self._slow = 0.0

    def add(self, value, now):
        """Add a sample.

        :param now: loop time, in seconds
        """
        if self._at is None:
            self._at = now
            self._fast = self._slow = value
            return
        passed_s = now - self._at
        self._at = now
        self._fast += (value - self._fast) * -math.expm1(-passed_s / FAST_S)
        self._slow += (value - self._slow) * -math.expm1(-passed_s / SLOW_S)

    def predict(self, ahead_s):
        """Return the load after a time, at least the present one.

        On a steady ramp an average lags by its time constant, so the
        difference of two shows the slope.
        """
        slope = max(0.0, self._fast - self._slow) / (SLOW_S - FAST_S)
        return min(self._fast + slope * ahead_s, self._fast * TREND_FACTOR_MAX)


class _Zone:
    """The number that is desired in a zone.

    :ivar lower_since: loop time since which fewer are enough, None if not
    :ivar served: whether the zone has had usable endpoints
    """

    __slots__ = ('desired', 'lower_since', 'served')

    def __init__(self, desired):
        self.desired = desired
        self.lower_since = None
        self.served = False


class CapacityPlanner:
    """Decides the numbers of one service.

    :param bounds: the :class:`~routes.ScalingBounds`; may be replaced
    """

    __slots__ = ('_trend', '_zones', 'bounds')

    def __init__(self, bounds):
        self._trend = LoadTrend()
        self._zones = {}
        self.bounds = bounds

    def decide(self, load, now):
        """Decide the numbers for a load.

        :param load: the :class:`ServiceLoad`
        :param now: loop time, in seconds
        :returns: dict from zone to the desired number of endpoints
        """
        for name, count in load.endpoints.items():
            zone = self._zones.get(name)
            if zone is None:
                zone = self._zones[name] = _Zone(self._clamp(count))
            zone.served = zone.served or count > 0
        self._trend.add(load.busy, now)
        slots_needed = self._estimate_slots(load)
        serving = []
        for name, zone in self._zones.items():
            zone.desired = self._clamp(zone.desired)
            # A zone that was lost keeps its number, and the others carry its
            # load until it is back.
            if load.endpoints.get(name) or not zone.served:
                serving.append(zone)
        # All zones may be lost at once, or none have served yet.
        serving = serving or list(self._zones.values())
        for zone in serving:
            self._update(zone, slots_needed, load.slots, len(serving), now)
        return {name: zone.desired for name, zone in self._zones.items()}

    def _clamp(self, count):
        return min(max(count, self.bounds.fewest), self.bounds.most)

    def _estimate_slots(self, load):
        """Return the slots in use while endpoints ordered now would boot."""
        ahead_s = max(self.bounds.boot_s, BACKLOG_S)
        # Waiting items cannot use more slots than one for each.
        backlog = load.waiting * min(1.0, load.run_s / ahead_s)
        return self._trend.predict(self.bounds.boot_s) + backlog

    def _update(self, zone, slots_needed, slots, zones, now):
        needed = self._count(
            slots_needed / slots, zones, GROW_SHARE, LOSS_GROW_SHARE
        )
        enough = self._count(
            slots_needed / slots, zones, RELEASE_SHARE, LOSS_RELEASE_SHARE
        )
        if needed > zone.desired:
            zone.desired = self._clamp(needed)
            zone.lower_since = None
            return
        if enough >= zone.desired or zone.desired <= self.bounds.fewest:
            zone.lower_since = None
            return
        if zone.lower_since is None:
            zone.lower_since = now
        elif now - zone.lower_since >= RELEASE_DELAY_S:
            zone.desired -= 1
            zone.lower_since = now

    def _count(self, endpoints, zones, share, loss_share):
        """Return the endpoints of a zone that carry a load.

        :param endpoints: load in endpoints, all of whose slots are in use
        :param zones: number of zones that share it
        :param share: share of the slots that may be in use
        :param loss_share: the same after the loss of one zone
        """
        count = math.ceil(endpoints / share / zones)
        if zones > 1:
            count = max(count, math.ceil(endpoints / loss_share / (zones - 1)))
        return count
