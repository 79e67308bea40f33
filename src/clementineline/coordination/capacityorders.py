"""Orders of numbers of endpoints, which the leader sends."""

import asyncio
import math

from clementineline.coordination import capacity
from clementineline.state import dialect as dialects

__all__ = ['CapacityOrderer']

DECISION_INTERVAL_S = 1.0
# An order is repeated, as the platform may have lost it.
REPEAT_INTERVAL_S = 10.0
# Weight of the latest item in the mean duration of items, and the duration
# that is assumed before the first one has ended.
RUN_WEIGHT = 0.05
RUN_DEFAULT_S = 5.0
# Slots of the endpoints of a service that has none and names no number.
SLOTS_DEFAULT = 4


class CapacityOrderer:
    """Decides and orders the numbers of endpoints in one term of the lease.

    :param zone: availability zone of this process
    :param directory: the :class:`~directory.Directory`
    :param members: the :class:`~members.MemberRegistry`
    :param get_routes: function that returns the route table in force
    :param sum_busy: function that returns the requests that run for all
        gateways, by service
    :param measure_demand: function from a model to the
        :class:`~placement.ModelDemand` of open submissions
    :param term: the :class:`~lease.Term`
    :param sender: the :class:`~duties.DutySender`
    :param dialect: the platform's dialect
    :param log: logger
    :ivar on_desired: called with service, zone and number of each decision
    """

    __slots__ = (
        '_dialect',
        '_directory',
        '_first_seen',
        '_get_routes',
        '_log',
        '_measure_demand',
        '_members',
        '_planners',
        '_run_s',
        '_sender',
        '_sent',
        '_sum_busy',
        '_term',
        '_zone',
        'on_desired',
    )

    def __init__(
        self,
        zone,
        directory,
        members,
        get_routes,
        sum_busy,
        measure_demand,
        term,
        sender,
        dialect,
        log,
    ):
        self._dialect = dialect
        self._directory = directory
        # Number and loop time of the first decision, by service and zone.
        self._first_seen = {}
        self._get_routes = get_routes
        self._log = log
        self._measure_demand = measure_demand
        self._members = members
        self._planners = {}
        self._run_s = RUN_DEFAULT_S
        self._sender = sender
        # Number and loop time of the last accepted order, by service and
        # zone.
        self._sent = {}
        self._sum_busy = sum_busy
        self._term = term
        self._zone = zone
        self.on_desired = lambda service, zone, desired: None

    def note_run(self, took_s):
        """Note the duration of an item's run.

        :param took_s: duration, in seconds
        """
        self._run_s += RUN_WEIGHT * (took_s - self._run_s)

    async def run(self):
        """Decide and send orders until cancelled."""
        while True:
            await asyncio.sleep(DECISION_INTERVAL_S)
            table = self._get_routes()
            if table is None or not self._term.holds():
                continue
            await self._send_due(self._decide(table))

    def _decide(self, table):
        """Return ``(service, zone, desired, boot_s)`` of each decision."""
        now = asyncio.get_running_loop().time()
        busy = self._sum_busy()
        decided = []
        for service in table.services.values():
            bounds = service.scaling
            if bounds is None:
                continue
            planner = self._planners.get(service.name)
            if planner is None:
                planner = capacity.CapacityPlanner(bounds)
                self._planners[service.name] = planner
            planner.bounds = bounds
            load = self._measure(service, busy.get(service.name, 0))
            for zone, desired in planner.decide(load, now).items():
                self.on_desired(service.name, zone, desired)
                key = (service.name, zone)
                self._first_seen.setdefault(key, (desired, now))
                decided.append((*key, desired, bounds.boot_s))
        return decided

    def _measure(self, service, busy):
        """Return the :class:`~capacity.ServiceLoad` of a service.

        :param busy: requests that run for gateways
        """
        endpoints = {}
        slots = 0
        usable = self._directory.list_usable(service.name)
        for state in usable:
            zone = state.record.zone
            endpoints[zone] = endpoints.get(zone, 0) + 1
            slots += state.record.slots
        for state in self._directory.endpoints.values():
            if state.record.service == service.name:
                busy += state.in_flight + len(state.item_runs)
        waiting = 0
        for model in service.models:
            waiting += self._measure_demand(model).waiting
        if not endpoints:
            endpoints = dict.fromkeys(self._list_zones(), 0)
        mean_slots = slots / len(usable) if usable else service.slots
        return capacity.ServiceLoad(
            busy,
            waiting,
            self._run_s,
            mean_slots or SLOTS_DEFAULT,
            endpoints,
        )

    def _list_zones(self):
        zones = {self._zone, *self._members.zones.values()}
        for state in self._directory.endpoints.values():
            zones.add(state.record.zone)
        return sorted(zone for zone in zones if zone)

    def _is_due(self, service, zone, desired, boot_s):
        now = asyncio.get_running_loop().time()
        sent = self._sent.get((service, zone))
        if sent is not None:
            return sent[0] != desired or now - sent[1] >= REPEAT_INTERVAL_S
        # Endpoints that an earlier leader has ordered may still boot, and an
        # order of the number that serves would end them.
        first, seen_at = self._first_seen[(service, zone)]
        return desired > first or now - seen_at >= boot_s

    async def _send_due(self, decided):
        for service, zone, desired, boot_s in decided:
            if not self._is_due(service, zone, desired, boot_s):
                continue
            outcome = await self._sender.call(
                'scale',
                self._dialect.build_capacity_call,
                service,
                zone,
                desired,
            )
            if outcome is dialects.DutyOutcome.ACCEPTED:
                self._note_sent(service, zone, desired)
            elif outcome is not dialects.DutyOutcome.REFUSED:
                # The next decision may be another one by the time that the
                # API answers again.
                return

    def _note_sent(self, service, zone, desired):
        previous, _ = self._sent.get((service, zone), (None, -math.inf))
        now = asyncio.get_running_loop().time()
        self._sent[(service, zone)] = (desired, now)
        if previous != desired:
            self._log.info(
                'capacity ordered',
                service=service,
                zone=zone,
                desired=desired,
                previous=previous,
            )
