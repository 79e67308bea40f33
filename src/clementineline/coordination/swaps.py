"""Weight updates at one endpoint: fenced orders and verified swaps."""

import asyncio

from clementineline import errors
from clementineline.protocol import messages
from clementineline.transport import engine as engines

__all__ = ['UNVERIFIED', 'WeightUpdater']

UNVERIFIED = -1
PROBE_INTERVAL_S = 1.0


class WeightUpdater:
    """Executes weight orders on one engine and verifies its version.

    :param name: the sidecar's name
    :param model: model that the engine serves
    :param engine: an :class:`~engine.EngineClient`
    :param checks_fencing: whether the engine itself refuses outdated fencing
        tokens
    :param read_fence: coroutine function that reads the lease's fencing token
        from the platform
    :param on_change: function called after each change of state
    :param log: logger
    :ivar active: weights version that the engine reported as active, or
        ``UNVERIFIED``
    :ivar staged: weights version that the engine reported as staged; -1 for
        none
    :ivar fence: highest fencing token known
    :ivar failures: number of failed orders
    :ivar state: as in :class:`messages.Report`
    """

    __slots__ = (
        '_checks_fencing',
        '_engine',
        '_fence_known',
        '_lock',
        '_log',
        '_model',
        '_name',
        '_on_change',
        '_read_fence',
        '_swap_versions',
        'active',
        'failures',
        'fence',
        'staged',
        'state',
    )

    def __init__(
        self, name, model, engine, checks_fencing, read_fence, on_change, log
    ):
        self._name = name
        self._model = model
        self._engine = engine
        self._checks_fencing = checks_fencing
        self._read_fence = read_fence
        self._on_change = on_change
        self._log = log
        self._lock = asyncio.Lock()
        self._fence_known = checks_fencing
        self._swap_versions = None
        self.active = UNVERIFIED
        self.staged = UNVERIFIED
        self.fence = 0
        self.failures = 0
        self.state = 'down'

    async def run(self):
        """Verify the engine's weights periodically until cancelled."""
        while True:
            if not self._lock.locked():
                async with self._lock:
                    await self.verify()
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def verify(self):
        """Read the engine's weights versions and update the state."""
        before = (self.active, self.staged, self.state)
        try:
            weights = await self._engine.read_weights()
        except engines.EngineError as error:
            if self.state != 'down':
                self._log.warning('engine down', reason=str(error))
            self.state = 'down'
            self.active = self.staged = UNVERIFIED
        else:
            self._update_weights(weights)
        if before != (self.active, self.staged, self.state):
            self._on_change()

    def _update_weights(self, weights):
        self.staged = weights.staged
        if self.state == 'suspect' and weights.active == self.active:
            return
        self.active = weights.active
        self.state = 'ready'

    def resolve_version(self, claimed):
        """Return the version that generated a chunk that arrives now.

        :param claimed: version that the engine states, or None
        :returns: the version, or ``UNVERIFIED`` if it is uncertain
        """
        if self._swap_versions is not None:
            if claimed in self._swap_versions:
                return claimed
            return UNVERIFIED
        if self.state != 'ready':
            return UNVERIFIED
        if claimed is None or claimed == self.active:
            return self.active
        return UNVERIFIED

    async def execute(self, order):
        """Execute a fenced order.

        :param order: a :class:`messages.Order`
        :returns: the :class:`messages.OrderAnswer`
        """
        outcome, reason = await self._execute(order)
        self._log.info(
            'order',
            order=order.order_id,
            action=order.action,
            version=order.version,
            fence=order.fence,
            outcome=outcome,
            reason=reason,
        )
        return messages.OrderAnswer(
            order.order_id, self._name, outcome, reason
        )

    async def _execute(self, order):
        if order.model != self._model:
            return 'refused', f'serves {self._model}, not {order.model}'
        if not self._fence_known:
            try:
                self.fence = max(self.fence, await self._read_fence())
                self._fence_known = True
            except errors.PlatformError as error:
                return 'refused', f'the lease is not known yet: {error}'
        if order.fence < self.fence:
            return 'refused', f'fence {order.fence} is below {self.fence}'
        self.fence = order.fence
        async with self._lock:
            if order.fence < self.fence:
                return 'refused', f'fence {order.fence} is below {self.fence}'
            return await self._apply(order)

    async def _apply(self, order):
        if order.version <= self.active and self.state == 'ready':
            return 'obeyed', 'already active'
        if order.action == 'stage':
            return await self._stage(order)
        return await self._activate(order)

    async def _stage(self, order):
        if self.staged == order.version:
            return 'obeyed', 'already staged'
        try:
            await self._engine.order_weights(
                'stage', order.model, order.version, order.fence
            )
        except engines.EngineError as error:
            self.failures += 1
            return 'failed', str(error)
        await self.verify()
        if self.staged != order.version:
            self.failures += 1
            return 'failed', f'the engine holds {self.staged}'
        return 'obeyed', ''

    async def _activate(self, order):
        """Swap weights and verify the version that the engine then reports."""
        before = self.active
        self._swap_versions = (before, order.version)
        reason = ''
        try:
            await self._engine.order_weights(
                'activate', order.model, order.version, order.fence
            )
        except engines.EngineError as error:
            reason = str(error)
        await self.verify()
        self._swap_versions = None
        if self.active == order.version:
            return 'obeyed', reason
        self.failures += 1
        if self.state == 'ready':
            self.state = 'suspect'
        self._on_change()
        return 'failed', reason or f'the engine still runs {self.active}'
