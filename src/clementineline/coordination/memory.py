"""Estimates of the engine memory that item runs use.

An engine whose memory is full queues a request, or preempts another one and
processes its prompt again later. An item is therefore run on an engine whose
memory has room for its text and some more events.
"""

__all__ = ['count_tokens', 'has_room']

# Each run may grow by this number of events, about 0.6 s, before memory runs
# short.
GROWTH_EVENTS = 15


def count_tokens(run, event_tokens):
    """Return the number of tokens of a run's prompt and text."""
    return run.item.prompt_tokens + len(run.texts) * event_tokens


def has_room(state, run, service):
    """Return whether an engine has enough memory for one more run.

    :param state: the engine's :class:`~directory.EndpointState`
    :param run: the :class:`~itemruns.ItemRun`
    :param service: the engine's :class:`~routes.ServiceTarget`, or None
    """
    if service is None or not service.memory_tokens or not state.item_runs:
        return True
    growth = GROWTH_EVENTS * service.event_tokens
    used = count_tokens(run, service.event_tokens) + growth
    for other in state.item_runs:
        if other is run:
            continue
        used += count_tokens(other, service.event_tokens) + growth
    return used <= service.memory_tokens
