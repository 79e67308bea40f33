"""The leader's weight rollouts: stage, then activate everywhere at once.

The loop compares what the configuration wants with what the endpoints report
and orders the difference. It keeps nothing: a new leader goes on from the
same two sources.
"""

import asyncio
import dataclasses
import uuid

from clementineline.protocol import messages

__all__ = ['EndpointWeights', 'RolloutLeader']

STEP_INTERVAL_S = 0.1
ORDER_RETRY_S = 2.0
STAGING_AT_ONCE_MAX = 64
STAGING_PATIENCE_S = 15.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointWeights:
    """What is known of an endpoint's weights.

    :param name: the sidecar's name
    :param active: verified weight version; -1 if unverified
    :param staged: staged weight version; -1 for none
    :param state: as in :class:`messages.Report`
    """

    name: str
    active: int
    staged: int
    state: str


class RolloutLeader:
    """Orders the weights of all endpoints while the lease is held.

    :param lease: a :class:`~lease.LeaseManager`
    :param get_targets: function that returns a dict from model to its
        target weight version
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
        '_ordered',
        '_send_order',
        '_since',
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
        self._ordered = {}
        self._since = {}
        self._activating = {}

    async def run(self):
        """Order what is missing, at intervals, until cancelled."""
        while True:
            if self._lease.holds():
                self.step()
            else:
                self._ordered.clear()
                self._activating.clear()
            await asyncio.sleep(STEP_INTERVAL_S)

    def step(self):
        """Send the orders that the endpoints' state asks for now."""
        for model, version in self._get_targets().items():
            self._step_model(model, version)

    def _step_model(self, model, version):
        now = self._clock.now()
        since = self._since.setdefault((model, version), now)
        behind = []
        ready = []
        for endpoint in self._get_endpoints(model):
            if endpoint.state == 'down':
                continue
            if endpoint.active >= version and endpoint.state == 'ready':
                continue
            if endpoint.staged == version:
                ready.append(endpoint.name)
                continue
            behind.append(endpoint.name)
        if behind:
            self._stage(model, version, behind, now)
        started = self._activating.get(model) == version
        patience_over = now - since > STAGING_PATIENCE_S
        if ready and (not behind or started or patience_over):
            self._activating[model] = version
            self._order('activate', model, version, ready, now)

    def _stage(self, model, version, names, now):
        under_way = 0
        for name in names:
            sent = self._ordered.get((name, 'stage', version))
            if sent is not None and now - sent < ORDER_RETRY_S:
                under_way += 1
        room = max(0, STAGING_AT_ONCE_MAX - under_way)
        self._order('stage', model, version, names, now, room)

    def _order(self, action, model, version, names, now, room=None):
        due = []
        repeated = []
        for name in names:
            key = (name, action, version)
            sent = self._ordered.get(key)
            if sent is not None and now - sent < ORDER_RETRY_S:
                continue
            if room is not None and len(due) >= room:
                break
            if sent is not None:
                repeated.append(name)
            due.append(name)
            self._ordered[key] = now
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
