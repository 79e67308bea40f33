"""Weighted shares of the engines among trainers.

The share that uses the least slots for its weight goes first. An idle
trainer's slots are lent, since nobody else waits; they are taken back by
preempting the share that uses most for its weight.
"""

__all__ = ['choose_share', 'choose_victim_share']


def choose_share(requests, used):
    """Choose which trainer's work goes first.

    :param requests: first waiting request of each trainer
    :param used: dict from share to slots in use
    :returns: one of the requests, or None
    """
    best = None
    best_ratio = 0.0
    for request in requests:
        ratio = (used.get(request.share, 0) + 1) / request.weight
        if best is None or ratio < best_ratio:
            best, best_ratio = request, ratio
    return best


def choose_victim_share(request, used, weights):
    """Choose the trainer that must give a slot back.

    :param request: waiting request of a trainer
    :param used: dict from share to slots in use
    :param weights: dict from trainer to its weight
    :returns: a trainer's name, or None while the shares are fair to within
        one slot
    """
    wanted = (used.get(request.share, 0) + 1) / request.weight
    worst = None
    worst_ratio = wanted
    for share, count in used.items():
        weight = weights.get(share)
        if weight is None or share == request.share:
            continue
        ratio = (count - 1) / weight
        if ratio >= worst_ratio:
            worst, worst_ratio = share, ratio
    return worst
