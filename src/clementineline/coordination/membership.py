"""Who is in the fleet, as far as this process knows.

Sources are the greetings of sessions, what other entries relay, the member
objects of the platform, and its lagging list of VMs. The member with the
higher incarnation, then the higher revision, wins.
"""

from clementineline.coordination import rendezvous

__all__ = ['MemberTable', 'SidecarChooser', 'choose_entry_peers']

ENTRY_PEERS = 6
GONE_KEPT = 10_000


class MemberTable:
    """Members by name, with the newest word on each.

    :param listeners: functions called with each member that changed
    """

    __slots__ = ('_gone', '_members', 'listeners')

    def __init__(self):
        self._members = {}
        self._gone = {}
        self.listeners = []

    def __len__(self):
        return len(self._members)

    def get(self, name):
        """Return the member of a name, or None."""
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
        """Take in word of a member.

        :returns: whether it was news
        """
        known = self._members.get(member.name) or self._gone.get(member.name)
        if known is not None:
            if _order(member) <= _order(known):
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
        if len(self._gone) > GONE_KEPT:
            del self._gone[next(iter(self._gone))]


def _order(member):
    return (member.incarnation, member.revision)


class SidecarChooser:
    """Chooses the sidecars that an entry keeps sessions with.

    Each sidecar is given to a few entries by rendezvous hashing, spread over
    availability zones; so every sidecar has entries, and a change of one
    member moves few sessions. Choices are kept while the entries stay the
    same, since each one ranks them all.

    :param own_name: name of the entry
    """

    __slots__ = ('_chosen', '_own_name', '_zones')

    def __init__(self, own_name):
        self._own_name = own_name
        self._zones = {}
        self._chosen = {}

    def choose(self, members):
        """Choose among all known members.

        :returns: list of sidecar members
        """
        zones, groups = _sort_members(members)
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
            owners = rendezvous.choose_across_zones(name, self._zones, count)
            chosen = self._own_name in owners
            self._chosen[key] = chosen
        return chosen


def _sort_members(members):
    """Return the zones of entries, and sidecars by what they serve."""
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
    """Choose the entries that an entry keeps sessions with.

    :param own_name: name of the entry
    :param entries: members that are entries
    :returns: set of names: the next one in name order, so that all are
        connected, and a few by rendezvous hashing, so that word spreads
        in few steps
    """
    names = sorted(entry.name for entry in entries)
    others = [name for name in names if name != own_name]
    if len(others) <= ENTRY_PEERS:
        return set(others)
    successor = others[0]
    for name in others:
        if name > own_name:
            successor = name
            break
    ranked = rendezvous.rank(own_name, others)
    return {successor, *ranked[: ENTRY_PEERS - 1]}
