"""Base class of the models, with states as dicts from field to value."""

import minicheck

__all__ = ['Model']


class Model:
    """A protocol model whose guards can be removed one at a time.

    Subclasses define ``NAME``, ``FIELDS`` (initial value of each field of the
    state), ``GUARDS`` (description of each guard), ``INVARIANTS`` (predicate
    on a state for each invariant) and :meth:`list_steps`.

    :param removed_guard: name of the guard to remove, or ''
    """

    NAME = ''
    FIELDS = {}
    GUARDS = {}
    INVARIANTS = {}

    def __init__(self, removed_guard=''):
        if removed_guard and removed_guard not in self.GUARDS:
            raise ValueError(f'{self.NAME}: unknown guard {removed_guard!r}')
        self._removed_guard = removed_guard

    def has_guard(self, guard):
        """Return whether a guard is in place."""
        if guard not in self.GUARDS:
            raise ValueError(f'{self.NAME}: unknown guard {guard!r}')
        return guard != self._removed_guard

    def list_steps(self, state):
        """Yield ``(label, changes)`` for each step that a state allows.

        :param state: dict from field to value; it must not be modified
        """
        raise NotImplementedError

    def build_protocol(self):
        """Return the model as a :class:`minicheck.Protocol`."""
        fields = tuple(self.FIELDS)

        def list_transitions(values):
            state = dict(zip(fields, values, strict=True))
            transitions = []
            for label, changes in self.list_steps(state):
                changed = dict(state, **changes)
                transitions.append(
                    (label, tuple(changed[field] for field in fields))
                )
            return transitions

        return minicheck.Protocol(
            name=self.NAME,
            candidate=False,
            fields=fields,
            initial=tuple(self.FIELDS.values()),
            transitions=list_transitions,
            invariants=self.INVARIANTS,
        )


def replace_at(values, index, value):
    """Return a copy of a tuple with the value at one index replaced."""
    return (*values[:index], value, *values[index + 1 :])
