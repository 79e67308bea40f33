"""What the leader does beside rollouts: the roster and departed members."""

import asyncio

import msgspec

from clementineline.coordination import watching
from clementineline import errors
from clementineline.protocol import links

__all__ = ['MembershipMaintainer']

STEP_INTERVAL_S = 1.0
GONE_AFTER_S = 20.0


class MembershipMaintainer:
    """Keeps the roster and tells of members that are gone.

    :param lease: a :class:`~lease.LeaseManager`
    :param fleet: a :class:`~fleet.Fleet`
    :param platform: a :class:`~platform.PlatformClient`
    :param writer: a :class:`~changes.ConfigurationWriter`
    :param keeper: a :class:`~roster.RosterBuilder`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param log: logger
    """

    __slots__ = (
        '_absent_since',
        '_clock',
        '_decisions',
        '_fleet',
        '_keeper',
        '_lease',
        '_listed',
        '_log',
        '_platform',
        '_writer',
    )

    def __init__(
        self, lease, fleet, platform, writer, keeper, clock, decisions, log
    ):
        self._lease = lease
        self._fleet = fleet
        self._platform = platform
        self._writer = writer
        self._keeper = keeper
        self._clock = clock
        self._decisions = decisions
        self._log = log
        self._absent_since = {}
        self._listed = set()

    async def run(self):
        """Act while the lease is held, until cancelled."""
        while True:
            if self._lease.holds():
                try:
                    await self.step()
                except errors.PlatformError as error:
                    self._log.info('leader waits', reason=str(error))
            await asyncio.sleep(links.jitter(STEP_INTERVAL_S))

    async def step(self):
        """Look at the platform's list of VMs and act on what changed."""
        vms = await self._platform.list_vms()
        self._listed.update(vms)
        await self._remove_departed(vms)
        await self._renew_roster(vms)

    async def _remove_departed(self, vms):
        """Tell of members whose VM was listed and is listed no more."""
        now = self._clock.now()
        for member in self._fleet.members.get_all():
            if member.name in vms or member.name not in self._listed:
                self._absent_since.pop(member.name, None)
                continue
            since = self._absent_since.setdefault(member.name, now)
            if now - since < GONE_AFTER_S:
                continue
            del self._absent_since[member.name]
            self._decisions.record(
                'remove', member.name, reason='the platform lists it no more'
            )
            self._fleet.members.merge(
                msgspec.structs.replace(
                    member, gone=True, revision=member.revision + 1
                )
            )
            await self._platform.delete(watching.MEMBER_KIND, member.name)

    async def _renew_roster(self, vms):
        configuration = self._fleet.configuration
        following = self._keeper.build_next(
            configuration.get('roster'),
            self._fleet.members.find('sidecar'),
            vms,
            self._knows_roster,
        )
        if following is None or not self._lease.holds():
            return
        base = configuration.get_stamp('roster')

        def build_changes(keys):
            version = keys.get('roster', [0, None])[0]
            if version != base:
                return {}
            return {'roster': msgspec.to_builtins(following)}

        await self._writer.change(build_changes)
        self._decisions.record(
            'roster',
            f'roster-{following.version}',
            homes=[home.name for home in following.homes],
            earlier=len(following.earlier),
        )

    def _knows_roster(self, home):
        """Return whether a home is gone or has the current roster."""
        member = self._fleet.members.get(home.name)
        if member is None or member.incarnation > home.incarnation:
            return True
        endpoint = self._fleet.endpoints.get(home.name)
        if endpoint is None or endpoint.session is None:
            return False
        stamp = self._fleet.configuration.get_stamp('roster')
        return endpoint.session.peer_configuration >= stamp
