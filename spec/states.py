"""Writing transition functions over named fields of an immutable state."""

import minicheck

__all__ = ['Model']


class Model:
    """A protocol with guards that can be taken out one at a time.

    Subclasses name ``FIELDS`` with their initial values, ``GUARDS`` with
    what each prevents, and ``INVARIANTS``; they define ``list_steps``.

    :param without: name of the guard that is taken out, or ''
    """

    NAME = ''
    FIELDS = {}
    GUARDS = {}
    INVARIANTS = {}

    def __init__(self, without=''):
        if without and without not in self.GUARDS:
            raise ValueError(f'{self.NAME}: unknown guard {without!r}')
        self._without = without

    def has(self, guard):
        """Return whether a guard is in place."""
        if guard not in self.GUARDS:
            raise ValueError(f'{self.NAME}: unknown guard {guard!r}')
        return guard != self._without

    def list_steps(self, state):
        """Yield ``(label, changes)`` for each step from a state.

        :param state: dict from field to value
        """
        raise NotImplementedError

    def build(self):
        """Return the :class:`minicheck.Protocol`."""
        fields = tuple(self.FIELDS)

        def list_transitions(values):
            state = dict(zip(fields, values, strict=True))
            following = []
            for label, changes in self.list_steps(state):
                changed = dict(state, **changes)
                following.append(
                    (label, tuple(changed[field] for field in fields))
                )
            return following

        return minicheck.Protocol(
            name=self.NAME,
            candidate=False,
            fields=fields,
            initial=tuple(self.FIELDS.values()),
            transitions=list_transitions,
            invariants=self.INVARIANTS,
        )


def put(values, index, value):
    """Return a tuple with one value replaced."""
    return (*values[:index], value, *values[index + 1 :])
