"""Registration of the service's processes, and relayed calls to the store.

The platform's store may refuse calls from one VM while it serves the others. A
process on such a VM asks another process to make the call. The other process
only relays bytes; the calling process keeps its leases and makes all
decisions.
"""

import asyncio

from clementineline import errors
from clementineline.protocol import asking
from clementineline.protocol import links
from clementineline.state import questions
from clementineline.transport import frames

__all__ = ['MEMBERS_KIND', 'MemberRegistry', 'StoreRelay', 'answer_relay']

# Kind of the member objects of gateways and keepers; entries and sidecars use
# watching.MEMBER_KIND.
MEMBERS_KIND = 'members'
REFRESH_INTERVAL_S = 5.0
REGISTER_RETRY_S = 0.5
# Added to the timeout of a relayed call for the transfer between processes.
RELAY_GRACE_S = 0.5
# Limit on the members that are asked to make one call.
RELAY_MEMBERS_MAX = 3
# Limit on the objects that are remembered for having been ignored.
IGNORED_MAX = 100
# Time without relayed calls to a member after a failed one.
BACKOFF_S = 1.0


def _find_fault(address, zone):
    """Return why an object is no member, '' if it is one."""
    if not isinstance(address, str):
        return f'address {address!r:.80}: expected HOST:PORT'
    if not isinstance(zone, str):
        return f'zone {zone!r:.80}: expected a name'
    try:
        frames.parse_address(address)
    except errors.SettingsError as error:
        return f'{error!s:.200}'
    return ''


class MemberRegistry:
    """Registers this process and lists the other processes.

    :param name: name of this process
    :param address: ``HOST:PORT`` at which this process answers others
    :param may_own_submissions: whether this process may own submissions
    :param store: the client of the platform's store
    :param log: logger
    :param zone: availability zone of this process
    :ivar listed: event that is set once the other processes are known
    """

    __slots__ = (
        '_ignored',
        '_log',
        '_name',
        '_record',
        '_store',
        'addresses',
        'keepers',
        'listed',
        'zones',
    )

    def __init__(
        self, name, address, may_own_submissions, store, log, zone=''
    ):
        self._name = name
        # The content of this process's object.
        self._record = {
            'address': address,
            'keeps': may_own_submissions,
            'zone': zone,
        }
        self._store = store
        self._log = log
        # Versions of the objects that are no members, by name.
        self._ignored = {}
        # The other processes: names of keepers, and addresses and zones by
        # name.
        self.keepers = set()
        self.addresses = {}
        self.zones = {}
        self.listed = asyncio.Event()

    async def run(self):
        """Register, then refresh the list of the others until cancelled."""
        while not await self._register():
            await asyncio.sleep(links.jitter(REGISTER_RETRY_S))
        while True:
            await self.refresh()
            wait_s = REFRESH_INTERVAL_S if self.addresses else REGISTER_RETRY_S
            await asyncio.sleep(links.jitter(wait_s))

    async def refresh(self):
        """Read the list of the other processes from the store."""
        try:
            page = await self._store.list_objects(MEMBERS_KIND, stale=True)
        except errors.PlatformError as error:
            self._log.info('members not read', reason=str(error))
            return
        self._update(page.objects)
        self.listed.set()
        if self._name not in {found.name for found in page.objects}:
            # The stale list may be older than the registration, so the
            # object itself is read before it is written again.
            await self._register()

    async def remove(self, name):
        """Remove a departed member from the store.

        :raises errors.PlatformError: if the store cannot be changed
        """
        await self._store.delete(MEMBERS_KIND, name)
        self.addresses.pop(name, None)
        self.keepers.discard(name)

    def _update(self, objects):
        addresses = {}
        keepers = set()
        zones = {}
        for found in objects:
            if found.name == self._name:
                continue
            address = found.value.get('address')
            # Processes of an earlier version write no zone.
            zone = found.value.get('zone', '')
            fault = found.fault or _find_fault(address, zone)
            if fault:
                self._log_ignored(found, fault)
                continue
            addresses[found.name] = address
            zones[found.name] = zone
            if found.value.get('keeps'):
                keepers.add(found.name)
        if addresses:
            self.addresses = addresses
            self.keepers = keepers
            self.zones = zones

    def _log_ignored(self, found, fault):
        """Log that an object is no member, once for each version of it."""
        if self._ignored.get(found.name) == found.version:
            return
        self._ignored[found.name] = found.version
        while len(self._ignored) > IGNORED_MAX:
            del self._ignored[next(iter(self._ignored))]
        self._log.warning('member ignored', member=found.name, reason=fault)

    def list_keepers(self):
        """Return the sorted names of the other keepers."""
        return sorted(self.keepers)

    async def _register(self):
        try:
            current = await self._store.read(MEMBERS_KIND, self._name)
            if current is not None:
                # The store adds fields of its own to what was written.
                if self._record.items() <= current.value.items():
                    return True
            await self._store.write(
                MEMBERS_KIND,
                self._name,
                dict(self._record),
                current.version if current else 0,
            )
        except errors.PlatformError as error:
            self._log.info('not registered', reason=str(error))
            return False
        return True


class StoreRelay:
    """Makes calls to the store through other processes.

    :param members: the :class:`MemberRegistry`
    :param log: logger
    """

    __slots__ = ('_clients', '_log', '_members', '_preferred', '_retry_at')

    def __init__(self, members, log):
        self._members = members
        self._log = log
        self._clients = {}
        self._retry_at = {}
        self._preferred = None

    async def call(self, method, path, body, timeout_s):
        """Make a call through another process.

        The parameters are those of the store's client.

        :returns: ``(status, body)``
        :raises errors.PlatformUnavailable: if the call had no effect
        :raises errors.AmbiguousWrite: if it is unknown whether a write took
            effect
        """
        question = questions.RelayCall(method, path, body, timeout_s)
        reason = 'no other process is known'
        for name in self._select_members():
            try:
                answer = await self._ask(name, question, timeout_s)
            except errors.ConnectionLost as error:
                reason = f'{name}: {error}'
                self._back_off(name)
                if isinstance(error, errors.AnswerLost) and method != 'GET':
                    raise errors.AmbiguousWrite(reason) from error
                continue
            if isinstance(answer, questions.RelayAnswer):
                self._set_preferred(name)
                return answer.status, answer.body
            if answer.ambiguous:
                raise errors.AmbiguousWrite(f'{name}: {answer.reason}')
            reason = f'{name}: {answer.reason}'
            self._back_off(name)
        raise errors.PlatformUnavailable(f'not relayed: {reason}')

    def _select_members(self):
        """Return the members to ask, the last successful one first."""
        now = asyncio.get_running_loop().time()
        names = []
        for name in self._members.addresses:
            if now >= self._retry_at.get(name, 0.0):
                names.append(name)
        names.sort(key=lambda name: (name != self._preferred, name))
        return names[:RELAY_MEMBERS_MAX]

    async def _ask(self, name, question, timeout_s):
        address = self._members.addresses.get(name)
        client = self._clients.get(name)
        if client is None:
            client = asking.QuestionClient(
                frames.parse_address(address), questions.Answer
            )
            self._clients[name] = client
        try:
            return await client.ask(question, timeout_s + RELAY_GRACE_S)
        except errors.ConnectionLost:
            self._clients.pop(name, None)
            raise

    def _back_off(self, name):
        now = asyncio.get_running_loop().time()
        self._retry_at[name] = now + BACKOFF_S
        if self._preferred == name:
            self._preferred = None

    def _set_preferred(self, name):
        if self._preferred != name:
            self._preferred = name
            self._log.info('store reached through a member', member=name)


async def answer_relay(store, question):
    """Make a call to the store for another process.

    :param store: the client of the platform's store
    :param question: a :class:`~questions.RelayCall`
    :returns: a :class:`~questions.RelayAnswer` or
        :class:`~questions.RelayFailed`
    """
    if not store.reachable:
        return questions.RelayFailed('out of reach here too', False)
    try:
        status, body = await store.call_directly(
            question.method,
            question.path,
            question.body,
            question.timeout_s,
        )
    except errors.AmbiguousWrite as error:
        return questions.RelayFailed(str(error), True)
    except errors.PlatformError as error:
        return questions.RelayFailed(str(error), False)
    if status in (429, 503):
        return questions.RelayFailed(f'status {status}', False)
    return questions.RelayAnswer(status, body)
