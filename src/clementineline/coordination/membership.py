"""The members of the fleet that are known to this process.

Members come from the greetings of sessions, from other entries that relay
them, from the platform's member objects, and from its list of VMs, which may
lag. Of two records of a member, the one with the higher incarnation, then the
higher revision, takes precedence.
"""

from clementineline.coordination import rendezvous

__all__ = ['MemberTable', 'SidecarChooser', 'choose_entry_peers']

ENTRY_PEER_COUNT = 6
# Limit on the removed members that are remembered, so that an outdated record
# does not add them again.
GONE_MEMBERS_MAX = 10_000


class MemberTable:
    """Holds the latest record of each member by name.

    :ivar listeners: functions called with each member that changed
    """

    __slots__ = ('_gone', '_members', 'listeners')

    def __init__(self):
        self._members = {}
        self._gone = {}
        self.listeners = []

    def __len__(self):
        return len(self._members)

    def get(self, name):
        """Return the member called ``name``, or None."""
        return self._members.get(name)

    def get_all(self):
        """Return a list of all members."""
        return list(self._members.values())

    def find(self, role):
        """Return a list of the members with a role."""
        found = []
        for member in self._members.values():
            if member.role == role:
                found.append(member)
        return found

    def merge(self, member):
        """Store a member's record if it is newer than the known one.

        :returns: whether the record was newer
        """
        known = self._members.get(member.name) or self._gone.get(member.name)
        if known is not None:
            if _version_key(member) <= _version_key(known):
                return False
        if member.gone:
            self._members.pop(member.name, None)
            self._remember_gone(member)
        else:
            self._gone.pop(member.name, None)
            self._members[member.name] = member
        for listener in self.listeners:
            listener(member)
        return True

    def _remember_gone(self, member):
        self._gone.pop(member.name, None)
        self._gone[member.name] = member
        if len(self._gone) > GONE_MEMBERS_MAX:
            del self._gone[next(iter(self._gone))]


def _version_key(member):
    return (member.incarnation, member.revision)


class SidecarChooser:
    """Chooses the sidecars that an entry maintains sessions with.

    Rendezvous hashing assigns each sidecar to a few entries, spread over
    availability zones, so that each sidecar has entries and a change of one
    member moves few sessions. Each choice ranks all entries, so choices are
    cached until the set of entries changes.

    :param own_name: name of the entry
    """

    __slots__ = ('_chosen', '_own_name', '_zones')

    def __init__(self, own_name):
        self._own_name = own_name
        self._zones = {}
        self._chosen = {}

    def choose(self, members):
        """Choose from all known members.

        :returns: list of sidecar members
        """
        zones, groups = _group_members(members)
        if zones != self._zones:
            self._zones = zones
            self._chosen.clear()
        chosen = []
        for group in groups.values():
            count = rendezvous.count_entries_per_sidecar(
                len(zones), len(group)
            )
            for member in group:
                if self._is_chosen(member.name, count):
                    chosen.append(member)
        return chosen

    def _is_chosen(self, name, count):
        if count >= len(self._zones):
            return True
        key = (name, count)
        chosen = self._chosen.get(key)
        if chosen is None:
            assigned = rendezvous.choose_across_zones(name, self._zones, count)
            chosen = self._own_name in assigned
            self._chosen[key] = chosen
        return chosen


def _group_members(members):
    """Return the zones of entries, and the sidecars by what they serve."""
    zones = {}
    groups = {}
    for member in members:
        if member.role == 'entry' and not member.leaving:
            zones[member.name] = member.availability_zone
        if member.role == 'sidecar':
            group = groups.setdefault((member.kind, member.serves), [])
            group.append(member)
    return zones, groups


def choose_entry_peers(own_name, entries):
    """Choose the entries that an entry maintains sessions with.

    :param own_name: name of the entry
    :param entries: members that are entries
    :returns: set of names: the successor in name order, so that all entries
        are connected, and a few chosen by rendezvous hashing, so that changes
        reach all entries in a few hops
    """
    names = sorted(entry.name for entry in entries)
    others = [name for name in names if name != own_name]
    if len(others) <= ENTRY_PEER_COUNT:
        return set(others)
    successor = others[0]
    for name in others:
        if name > own_name:
            successor = name
            break
    ranked = rendezvous.rank(own_name, others)
    return {successor, *ranked[: ENTRY_PEER_COUNT - 1]}
