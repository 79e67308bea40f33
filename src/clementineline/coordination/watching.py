"""Watching the platform: configuration, members, and the list of VMs.

Only a few entries watch; the others learn from them by relay and look for
themselves at long intervals. So the platform's load does not grow with the
fleet.
"""

import asyncio

import msgspec

from clementineline.coordination import changes
from clementineline.coordination import rendezvous
from clementineline import errors
from clementineline.protocol import links
from clementineline.protocol import messages

__all__ = ['MEMBER_KIND', 'PlatformWatch', 'register_member']

WATCHERS = 3
RETRY_S = 1.0
RETRY_MAX_S = 8.0
OTHERS_INTERVAL_S = 60.0
MEMBER_KIND = 'member'
REGISTER_RETRY_S = 5.0


class PlatformWatch:
    """Brings what the platform keeps into this process.

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
        """Return whether this entry is one of the few that watch."""
        names = [member.name for member in self._members.find('entry')]
        watchers = rendezvous.rank('watch', {*names, self._own_name})
        return self._own_name in watchers[:WATCHERS]

    async def watch_configuration(self):
        """Adopt each new configuration, until cancelled."""
        await self._watch(changes.KIND, self._adopt)

    async def watch_members(self):
        """Take in each new member object, until cancelled."""
        await self._watch(MEMBER_KIND, self._merge)

    async def _watch(self, kind, take_in):
        since = 0
        wait_s = RETRY_S
        while True:
            try:
                page = await self._platform.watch(kind, since)
            except errors.PlatformError as error:
                self._log.info('watch failed', kind=kind, reason=str(error))
                await asyncio.sleep(links.jitter(wait_s))
                wait_s = min(wait_s * 2, RETRY_MAX_S)
                continue
            wait_s = RETRY_S
            if page.version < since:
                # The store was set back; read everything again.
                since = 0
                continue
            since = page.version
            for item in page.objects:
                take_in(item)
            if not self.is_watcher():
                await asyncio.sleep(links.jitter(OTHERS_INTERVAL_S))

    def _adopt(self, item):
        if item.name != changes.NAME:
            return
        delta = changes.decode_document(item.value)
        if self._configuration.adopt(delta):
            self._log.info(
                'configuration adopted',
                configuration=self._configuration.version,
                source='platform',
            )

    def _merge(self, item):
        try:
            member = msgspec.convert(item.value['member'], messages.Member)
        except (msgspec.ValidationError, KeyError) as error:
            self._log.warning(
                'malformed member object', name=item.name, reason=str(error)
            )
            return
        self._members.merge(member)


async def register_member(platform, build_member, log):
    """Write this process's member object, until the platform has taken it.

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
