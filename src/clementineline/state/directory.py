"""Information that endpoints publish about themselves."""

import msgspec

__all__ = ['EndpointRecord', 'EngineReport']


class EndpointRecord(msgspec.Struct, frozen=True):
    """An endpoint's record in the platform's store.

    :param service: name of its service
    :param address: ``HOST:PORT``
    :param zone: its availability zone
    :param slots: number of requests that it runs concurrently
    :param leaving: whether it drains and accepts no new work
    :param cold_s: remaining time of its slow warm-up, in seconds
    :param versions: weights version by model
    :param born_ms: Unix time of its start, in milliseconds
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
    """An engine's report on its state.

    :param versions: weights version by model
    :param changing: whether a load order is in progress
    :param orders_accepted: number of load orders accepted since its start
    :param running: number of running requests
    :param waiting: number of waiting requests
    :param memory_used: used capacity of the key-value cache
    :param memory_total: total capacity of the key-value cache
    """

    versions: dict[str, int]
    changing: bool
    orders_accepted: int
    running: int
    waiting: int
    memory_used: int
    memory_total: int
