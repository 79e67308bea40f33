"""What endpoints say of themselves."""

import msgspec

__all__ = ['EndpointRecord', 'EngineReport']


class EndpointRecord(msgspec.Struct, frozen=True):
    """An endpoint's entry in the platform's store.

    :param address: ``HOST:PORT``
    :param slots: requests that it runs at once
    :param leaving: whether it wants no new work
    :param cold_s: how long it is still slow after its start
    :param versions: version by model
    :param born_ms: time of its start, Unix milliseconds
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    leaving: bool
    cold_s: float
    versions: dict[str, int]
    born_ms: int


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's answer about its own state.

    :param versions: version by model
    :param changing: whether an order is in progress
    :param orders_accepted: orders accepted since its start
    """

    versions: dict[str, int]
    changing: bool
    orders_accepted: int
    running: int
    waiting: int
    memory_used: int
    memory_total: int
