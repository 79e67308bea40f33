"""Organisations, and the keys by which their requests are recognised."""

import msgspec

__all__ = ['Organisation', 'OrganisationTable']


class Organisation(msgspec.Struct, frozen=True):
    """An organisation that sends requests.

    :param priority: rank of its requests, 0 for the highest; None if that of
        the route applies
    """

    name: str
    priority: int | None = None


class OrganisationTable:
    """The organisations of one route table, indexed by key and by name.

    A look-up takes the same time for any number of keys. If two organisations
    hold the same key or name, the first one counts. Keys are secret, so they
    are not part of the representation.

    :param entries: pairs of an :class:`Organisation` and its keys
    """

    __slots__ = ('_by_key', '_by_name')

    def __init__(self, entries):
        self._by_key = {}
        self._by_name = {}
        for organisation, keys in entries:
            known = self._by_name.setdefault(organisation.name, organisation)
            for key in keys:
                self._by_key.setdefault(key, known)
        # Stands for no usable key, see :class:`~dialect.CallFacts`.
        self._by_key.pop('', None)

    def __len__(self):
        return len(self._by_name)

    def __repr__(self):
        return f'<OrganisationTable of {len(self)} organisations>'

    def find(self, key):
        """Return the organisation that holds a key, None if none does.

        :param key: the key, None or '' for none
        """
        return self._by_key.get(key) if key else None

    def get(self, name):
        """Return the organisation with a name, None if there is none."""
        return self._by_name.get(name)
