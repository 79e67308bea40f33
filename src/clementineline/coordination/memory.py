"""How much of an engine's memory the items hold that run there.

An engine without memory for a request lets it wait, or preempts another one
and reads it in again. So an item goes where its text fits for a while.
"""

__all__ = ['count_tokens', 'has_room']

# Each run should grow by so many events, some 0.6 s, before memory is short.
GROWTH_EVENTS = 15


def count_tokens(run, event_tokens):
    """Return the tokens that a run's prompt and text take."""
    return run.item.prompt_tokens + len(run.texts) * event_tokens


def has_room(state, run, service):
    """Return whether an engine's memory takes one more run.

    :param state: the engine's :class:`~directory.EndpointState`
    :param run: the :class:`~itemruns.ItemRun`
    :param service: the engine's :class:`~routes.ServiceTarget`, or None
    """
    if service is None or not service.memory_tokens or not state.item_runs:
        return True
    growth = GROWTH_EVENTS * service.event_tokens
    held = count_tokens(run, service.event_tokens) + growth
    for other in state.item_runs:
        if other is run:
            continue
        held += count_tokens(other, service.event_tokens) + growth
    return held <= service.memory_tokens
