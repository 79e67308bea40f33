"""Roster updates and removal of departed members by the leader."""

import asyncio

import msgspec

from clementineline.coordination import watching
from clementineline import errors
from clementineline.protocol import links

__all__ = ['MembershipMaintainer']

STEP_INTERVAL_S = 1.0
# A member is removed once its VM has been missing from the platform's list
# for this time.
UNLISTED_TIMEOUT_S = 20.0


class MembershipMaintainer:
    """Updates the roster and removes members whose VM no longer exists.

    :param lease: a :class:`~lease.LeaseManager`
    :param fleet: a :class:`~fleet.FleetSessions`
    :param platform: a :class:`~platform.PlatformClient`
    :param writer: a :class:`~changes.ConfigurationWriter`
    :param roster_builder: a :class:`~roster.RosterBuilder`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param log: logger
    """

    __slots__ = (
        '_clock',
        '_decisions',
        '_fleet',
        '_lease',
        '_log',
        '_platform',
        '_roster_builder',
        '_unlisted_since',
        '_vms_seen',
        '_writer',
    )

    def __init__(
        self,
        lease,
        fleet,
        platform,
        writer,
        roster_builder,
        clock,
        decisions,
        log,
    ):
        self._lease = lease
        self._fleet = fleet
        self._platform = platform
        self._writer = writer
        self._roster_builder = roster_builder
        self._clock = clock
        self._decisions = decisions
        self._log = log
        self._unlisted_since = {}
        self._vms_seen = set()

    async def run(self):
        """Run a step each second while the lease is held, until cancelled."""
        while True:
            if self._lease.holds():
                try:
                    await self.step()
                except errors.PlatformError as error:
                    self._log.info('leader waits', reason=str(error))
            await asyncio.sleep(links.jitter(STEP_INTERVAL_S))

    async def step(self):
        """Read the platform's list of VMs, then update members and roster."""
        vms = await self._platform.list_vms()
        self._vms_seen.update(vms)
        await self._remove_departed(vms)
        await self._update_roster(vms)

    async def _remove_departed(self, vms):
        """Remove members whose VM has been dropped from the list.

        A member whose VM was never listed is kept.
        """
        now = self._clock.now()
        for member in self._fleet.members.get_all():
            if member.name in vms or member.name not in self._vms_seen:
                self._unlisted_since.pop(member.name, None)
                continue
            since = self._unlisted_since.setdefault(member.name, now)
            if now - since < UNLISTED_TIMEOUT_S:
                continue
            del self._unlisted_since[member.name]
            self._decisions.record(
                'remove', member.name, reason='the platform lists it no more'
            )
            self._fleet.members.merge(
                msgspec.structs.replace(
                    member, gone=True, revision=member.revision + 1
                )
            )
            await self._platform.delete(watching.MEMBER_KIND, member.name)

    async def _update_roster(self, vms):
        configuration = self._fleet.configuration
        next_roster = self._roster_builder.build_next(
            configuration.get('roster'),
            self._fleet.members.find('sidecar'),
            vms,
            self._has_adopted_roster,
        )
        if next_roster is None or not self._lease.holds():
            return
        base = configuration.get_stamp('roster')

        def build_changes(keys):
            version = keys.get('roster', [0, None])[0]
            if version != base:
                return {}
            return {'roster': msgspec.to_builtins(next_roster)}

        await self._writer.change(build_changes)
        self._decisions.record(
            'roster',
            f'roster-{next_roster.version}',
            homes=[home.name for home in next_roster.homes],
            earlier=len(next_roster.earlier),
        )

    def _has_adopted_roster(self, home):
        """Return whether a home is gone or has adopted the current roster."""
        member = self._fleet.members.get(home.name)
        if member is None or member.incarnation > home.incarnation:
            return True
        endpoint = self._fleet.endpoints.get(home.name)
        if endpoint is None or endpoint.session is None:
            return False
        stamp = self._fleet.configuration.get_stamp('roster')
        return endpoint.session.peer_configuration >= stamp
