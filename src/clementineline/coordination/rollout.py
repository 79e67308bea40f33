"""Rollouts of weights by the leader: stage, then activate everywhere at once.

A control loop compares the target versions of the configuration with the
versions that the endpoints report, and orders what is missing. It stores no
state, so a new leader continues from the same two sources.
"""

import asyncio
import dataclasses
import uuid

from clementineline.protocol import messages

__all__ = ['EndpointWeights', 'RolloutLeader']

STEP_INTERVAL_S = 0.1
ORDER_RETRY_S = 2.0
# Limit on the stage orders of a model that are in progress.
CONCURRENT_STAGINGS_MAX = 64
# After this time, staged endpoints are activated even if others are unstaged.
STAGING_TIMEOUT_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointWeights:
    """Weights versions that an endpoint reported last.

    :param name: the sidecar's name
    :param active: verified weights version; -1 if unverified
    :param staged: staged weights version; -1 for none
    :param state: as in :class:`messages.Report`
    """

    name: str
    active: int
    staged: int
    state: str


class RolloutLeader:
    """Orders weight updates of all endpoints while the lease is held.

    :param lease: a :class:`~lease.LeaseManager`
    :param get_targets: function that returns a dict from model to its
        target weights version
    :param get_endpoints: function from a model to its endpoints'
        :class:`EndpointWeights`
    :param send_order: function that sends a :class:`messages.Order`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    """

    __slots__ = (
        '_activating',
        '_clock',
        '_decisions',
        '_get_endpoints',
        '_get_targets',
        '_lease',
        '_send_order',
        '_sent_at',
        '_target_set_at',
    )

    def __init__(
        self, lease, get_targets, get_endpoints, send_order, clock, decisions
    ):
        self._lease = lease
        self._get_targets = get_targets
        self._get_endpoints = get_endpoints
        self._send_order = send_order
        self._clock = clock
        self._decisions = decisions
        self._sent_at = {}
        self._target_set_at = {}
        self._activating = {}

    async def run(self):
        """Order missing versions periodically until cancelled."""
        while True:
            if self._lease.holds():
                self.step()
            else:
                self._sent_at.clear()
                self._activating.clear()
            await asyncio.sleep(STEP_INTERVAL_S)

    def step(self):
        """Send the orders that are due for the endpoints' reported state."""
        for model, version in self._get_targets().items():
            self._step_model(model, version)

    def _step_model(self, model, version):
        now = self._clock.now()
        set_at = self._target_set_at.setdefault((model, version), now)
        unstaged = []
        staged = []
        for endpoint in self._get_endpoints(model):
            if endpoint.state == 'down':
                continue
            if endpoint.active >= version and endpoint.state == 'ready':
                continue
            if endpoint.staged == version:
                staged.append(endpoint.name)
                continue
            unstaged.append(endpoint.name)
        if unstaged:
            self._stage(model, version, unstaged, now)
        started = self._activating.get(model) == version
        timed_out = now - set_at > STAGING_TIMEOUT_S
        if staged and (not unstaged or started or timed_out):
            self._activating[model] = version
            self._order('activate', model, version, staged, now)

    def _stage(self, model, version, names, now):
        in_progress = 0
        for name in names:
            sent = self._sent_at.get((name, 'stage', version))
            if sent is not None and now - sent < ORDER_RETRY_S:
                in_progress += 1
        limit = max(0, CONCURRENT_STAGINGS_MAX - in_progress)
        self._order('stage', model, version, names, now, limit)

    def _order(self, action, model, version, names, now, limit=None):
        due = []
        repeated = []
        for name in names:
            key = (name, action, version)
            sent = self._sent_at.get(key)
            if sent is not None and now - sent < ORDER_RETRY_S:
                continue
            if limit is not None and len(due) >= limit:
                break
            if sent is not None:
                repeated.append(name)
            due.append(name)
            self._sent_at[key] = now
        if not due:
            return
        order_id = uuid.uuid4().hex[:12]
        self._decisions.record(
            'repair' if repeated else 'order',
            order_id,
            action=action,
            model=model,
            version=version,
            targets=due,
            repeated=repeated,
            fence=self._lease.fence,
        )
        self._send_order(
            messages.Order(
                self._lease.fence, order_id, due, action, model, version
            )
        )
