"""Watches on the platform's configuration and member objects.

Only a few entries watch all the time. The others receive changes by relay and
query the platform at long intervals, so that the platform's load does not
grow with the fleet.
"""

import asyncio

import msgspec

from clementineline.coordination import changes
from clementineline.coordination import rendezvous
from clementineline import errors
from clementineline.protocol import links
from clementineline.protocol import messages

__all__ = ['MEMBER_KIND', 'PlatformWatch', 'register_member']

WATCHER_COUNT = 3
RETRY_MIN_S = 1.0
RETRY_MAX_S = 8.0
# Interval at which entries that are not watchers query the platform.
NON_WATCHER_INTERVAL_S = 60.0
# Kind of the member objects of entries and sidecars; gateways and keepers use
# members.MEMBERS_KIND.
MEMBER_KIND = 'member'
REGISTER_RETRY_S = 5.0


class PlatformWatch:
    """Applies the platform's configuration and members to this process.

    :param own_name: name of this entry
    :param platform: a :class:`~platform.PlatformClient`
    :param members: the :class:`~membership.MemberTable`
    :param configuration: the configuration in force
    :param log: logger
    """

    __slots__ = (
        '_configuration',
        '_log',
        '_members',
        '_own_name',
        '_platform',
    )

    def __init__(self, own_name, platform, members, configuration, log):
        self._own_name = own_name
        self._platform = platform
        self._members = members
        self._configuration = configuration
        self._log = log

    def is_watcher(self):
        """Return whether this entry is one of the few that always watch."""
        names = [member.name for member in self._members.find('entry')]
        watchers = rendezvous.rank('watch', {*names, self._own_name})
        return self._own_name in watchers[:WATCHER_COUNT]

    async def watch_configuration(self):
        """Adopt each new configuration, until cancelled."""
        await self._watch(changes.KIND, self._adopt)

    async def watch_members(self):
        """Merge each changed member object, until cancelled."""
        await self._watch(MEMBER_KIND, self._merge)

    async def _watch(self, kind, on_object):
        since = 0
        wait_s = RETRY_MIN_S
        while True:
            try:
                page = await self._platform.watch(kind, since)
            except errors.PlatformError as error:
                self._log.info('watch failed', kind=kind, reason=str(error))
                await asyncio.sleep(links.jitter(wait_s))
                wait_s = min(wait_s * 2, RETRY_MAX_S)
                continue
            wait_s = RETRY_MIN_S
            if page.version < since:
                # The store was reset to an earlier state; read all objects.
                since = 0
                continue
            since = page.version
            for changed_object in page.objects:
                on_object(changed_object)
            if not self.is_watcher():
                await asyncio.sleep(links.jitter(NON_WATCHER_INTERVAL_S))

    def _adopt(self, changed_object):
        if changed_object.name != changes.NAME:
            return
        delta = changes.decode_document(changed_object.value)
        if self._configuration.adopt(delta):
            self._log.info(
                'configuration adopted',
                configuration=self._configuration.version,
                source='platform',
            )

    def _merge(self, changed_object):
        try:
            member = msgspec.convert(
                changed_object.value['member'], messages.Member
            )
        except (msgspec.ValidationError, KeyError) as error:
            self._log.warning(
                'malformed member object',
                name=changed_object.name,
                reason=str(error),
            )
            return
        self._members.merge(member)


async def register_member(platform, build_member, log):
    """Write this process's member object; retry until it succeeds.

    :param platform: a :class:`~platform.PlatformClient`
    :param build_member: function that returns this process's Member
    :param log: logger
    """
    while True:
        member = build_member()
        value = {'member': msgspec.to_builtins(member)}
        try:
            current = await platform.read(MEMBER_KIND, member.name)
            expected = current.version if current else 0
            await platform.write(MEMBER_KIND, member.name, value, expected)
            return
        except errors.PlatformError as error:
            log.info('not registered yet', reason=str(error))
        await asyncio.sleep(links.jitter(REGISTER_RETRY_S))
