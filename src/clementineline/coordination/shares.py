"""Weighted fair sharing of engine slots among trainers.

The share with the fewest slots in use per weight goes first. While a trainer
has no waiting requests, the others may use its slots; it reclaims them by
preempting the share with the most slots in use per weight.
"""

__all__ = ['choose_next_request', 'choose_victim_share']


def choose_next_request(requests, used):
    """Choose the trainer whose request goes first.

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
    """Choose the trainer whose attempt is preempted for a request.

    :param request: waiting request of a trainer
    :param used: dict from share to slots in use
    :param weights: dict from trainer to its weight
    :returns: a trainer's name, or None if preempting an attempt would not
        make the shares fairer
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
