"""An entry's sessions with sidecars and other entries.

Over these sessions, entries relay configuration, members and orders to each
other.
"""

import asyncio
import collections

from clementineline.coordination import endpoints
from clementineline.coordination import membership
from clementineline.coordination import rollout
from clementineline.protocol import links
from clementineline.protocol import messages
from clementineline.protocol import session as sessions
from clementineline.transport import frames

__all__ = ['FleetSessions']

RECONCILE_DELAY_S = 0.05
RELAY_DELAY_S = 0.05
# Orders that are kept to recognise duplicates and to route the answers.
ORDERS_KEPT_MAX = 4096


class FleetSessions(sessions.SessionEvents):
    """Maintains an entry's sessions and relays messages over them.

    :param build_member: function that returns this process's Member
    :param timing: a :class:`~links.LinkTiming`
    :param members: the :class:`~membership.MemberTable`
    :param configuration: the configuration in force
    :param router: a :class:`~routing.Router`
    :param pending: the process's :class:`~keys.PendingAnswers`
    :param clock: a :class:`~clementineline.clocks.Clock`
    :param decisions: a :class:`~decisions.DecisionLog`
    :param log: logger
    """

    __slots__ = (
        '_build_member',
        '_changed_members',
        '_clock',
        '_decisions',
        '_diallers',
        '_log',
        '_orders',
        '_pending',
        '_reconcile_scheduled',
        '_remote_versions',
        '_router',
        '_sidecar_chooser',
        '_timing',
        'configuration',
        'endpoints',
        'members',
        'peers',
    )

    def __init__(
        self,
        build_member,
        timing,
        members,
        configuration,
        router,
        pending,
        clock,
        decisions,
        log,
    ):
        self._build_member = build_member
        self._timing = timing
        self.members = members
        self.configuration = configuration
        self._router = router
        self._pending = pending
        self._clock = clock
        self._decisions = decisions
        self._log = log
        self._sidecar_chooser = None
        self._diallers = {}
        self._reconcile_scheduled = False
        self._changed_members = {}
        self._orders = collections.OrderedDict()
        self._remote_versions = {}
        self.endpoints = {}
        self.peers = {}
        members.listeners.append(self._on_member)
        configuration.listeners.append(self._on_configuration)

    # Sessions

    def get_configuration_version(self):
        """Return the configuration version in force."""
        return self.configuration.version

    def on_greeting(self, member):
        """Merge the peer's member from a greeting."""
        self.members.merge(member)

    def on_open(self, session):
        """Register the new session under its peer."""
        peer = session.peer
        if peer.role == 'entry':
            self.peers[peer.name] = session
            return
        endpoint = self.endpoints.get(peer.name)
        if endpoint is not None:
            endpoint.session = session

    def on_connect(self, session):
        """Send all known members to a connected entry."""
        if session.peer.role == 'entry':
            session.send(messages.MembersDelta(self.members.get_all()))

    def on_disconnect(self, session):
        """Record that the connection to a peer has ended."""
        self._decisions.record(
            'disconnect', session.peer.name, pending=session.pending
        )

    def on_lost(self, session):
        """Remove the lost session and fail its endpoint's attempts."""
        name = session.peer.name
        if session.peer.role == 'entry':
            if self.peers.get(name) is session:
                del self.peers[name]
            return
        endpoint = self.endpoints.get(name)
        if endpoint is None or endpoint.session is not session:
            return
        endpoint.session = None
        endpoint.report = None
        self._decisions.record('lose', name, attempts=len(endpoint.attempts))
        endpoint.fail_all('the session with the sidecar was lost')

    def on_report(self, session, report):
        """Store an endpoint's report and schedule waiting requests."""
        endpoint = self.endpoints.get(session.peer.name)
        if endpoint is None:
            return
        before = endpoint.report
        endpoint.handle_report(report)
        if before is None or before.leaving != report.leaving:
            self._decisions.record(
                'endpoint',
                endpoint.name,
                leaving=report.leaving,
                state=report.state,
            )
        member = endpoint.member
        self._router.schedule(
            self._router.get_pool(member.kind, member.serves)
        )

    def on_peer_configuration(self, session, version):
        """Send a peer the configuration changes that it lacks."""
        if version < self.configuration.version:
            session.send(self.configuration.build_delta(version))

    def on_message(self, session, body):
        """Handle a message from a sidecar or another entry."""
        if isinstance(body, messages.Chunk | messages.Done):
            endpoint = self.endpoints.get(session.peer.name)
            if endpoint is not None:
                endpoint.handle_event(body)
        elif isinstance(body, messages.KeyAnswer | messages.Explained):
            self._pending.resolve(body)
        elif isinstance(body, messages.ConfigurationDelta):
            self.configuration.adopt(body)
        elif isinstance(body, messages.MembersDelta):
            for member in body.members:
                self.members.merge(member)
        elif isinstance(body, messages.Order):
            self.send_order(body, session)
        elif isinstance(body, messages.OrderAnswer):
            self._handle_order_answer(body)

    # Configuration and members

    def _on_configuration(self, changed):
        for session in self._get_sessions():
            if session.peer_configuration < self.configuration.version:
                session.send(
                    self.configuration.build_delta(session.peer_configuration)
                )

    def _get_sessions(self):
        found = list(self.peers.values())
        for endpoint in self.endpoints.values():
            if endpoint.session is not None:
                found.append(endpoint.session)
        return found

    def _on_member(self, member):
        if not self._changed_members:
            asyncio.get_running_loop().call_later(
                RELAY_DELAY_S, self._relay_members
            )
        self._changed_members[member.name] = member
        endpoint = self.endpoints.get(member.name)
        if endpoint is not None:
            endpoint.member = member
        self.reconcile_soon()

    def _relay_members(self):
        delta = messages.MembersDelta(list(self._changed_members.values()))
        self._changed_members.clear()
        for session in self.peers.values():
            session.send(delta)

    def reconcile_soon(self):
        """Schedule an update of the sessions after a change of the members.

        Changes within the delay share one update.
        """
        if self._reconcile_scheduled:
            return
        self._reconcile_scheduled = True
        asyncio.get_running_loop().call_later(
            RECONCILE_DELAY_S, self._reconcile
        )

    def _reconcile(self):
        self._reconcile_scheduled = False
        own = self._build_member()
        entries = self.members.find('entry')
        wanted = {}
        if self._sidecar_chooser is None:
            self._sidecar_chooser = membership.SidecarChooser(own.name)
        for member in self._sidecar_chooser.choose(self.members.get_all()):
            wanted[member.name] = member
        for member in self._choose_dialled_peers(own, entries):
            wanted[member.name] = member
        for name in list(self._diallers):
            address = self._diallers[name][0]
            member = wanted.get(name)
            if member is None or member.address != address:
                self._stop_dialler(name)
        for name, member in wanted.items():
            if name not in self._diallers:
                self._start_dialler(member)

    def _choose_dialled_peers(self, own, entries):
        """Return the entries that this entry connects to.

        If two entries have chosen each other, the one with the smaller name
        connects.
        """
        own_peers = membership.choose_entry_peers(own.name, entries)
        dialled = []
        for member in entries:
            if member.name not in own_peers:
                continue
            their_peers = membership.choose_entry_peers(member.name, entries)
            if own.name in their_peers and member.name < own.name:
                continue
            dialled.append(member)
        return dialled

    def _start_dialler(self, member):
        if member.role == 'sidecar':
            endpoint = endpoints.Endpoint(member, self._clock)
            self.endpoints[member.name] = endpoint
            self._router.add_endpoint(endpoint)
        dialler = links.Dialler(
            frames.parse_address(member.address),
            self._build_member,
            self,
            self._timing,
            self._log,
        )
        task = asyncio.create_task(dialler.run(), name=f'peer {member.name}')
        self._diallers[member.name] = (member.address, task)

    def _stop_dialler(self, name):
        _, task = self._diallers.pop(name)
        task.cancel()
        endpoint = self.endpoints.pop(name, None)
        if endpoint is not None:
            self._router.remove_endpoint(endpoint)
            if endpoint.session is not None:
                endpoint.session = None
                endpoint.fail_all('the endpoint is gone')

    # Orders

    def send_order(self, order, origin=None):
        """Send an order to its targets, through other entries if needed.

        :param order: a :class:`messages.Order`
        :param origin: session that the order came from; None if this process
            issued it
        """
        if order.order_id in self._orders:
            return
        self._orders[order.order_id] = (origin, order)
        if len(self._orders) > ORDERS_KEPT_MAX:
            self._orders.popitem(last=False)
        remaining = False
        for name in order.targets:
            endpoint = self.endpoints.get(name)
            if endpoint is None:
                remaining = True
                continue
            if endpoint.session is not None:
                endpoint.session.send(order)
        if not remaining:
            return
        for session in self.peers.values():
            if session is not origin:
                session.send(order)

    def _handle_order_answer(self, answer):
        origin, order = self._orders.get(answer.order_id, (None, None))
        if order is None:
            return
        if origin is not None:
            origin.send(answer)
            return
        if answer.outcome != 'obeyed':
            self._decisions.record(
                'order failed',
                answer.order_id,
                endpoint=answer.endpoint,
                outcome=answer.outcome,
                reason=answer.reason,
            )
            return
        active, staged = -1, order.version
        if order.action == 'activate':
            active, staged = order.version, -1
        self._remote_versions[answer.endpoint] = (active, staged)

    def get_weights(self, model):
        """Return the weights versions of a model's engines.

        Reports of sidecars take precedence; for engines without a session to
        this entry, the versions are taken from answers to relayed orders.

        :returns: list of :class:`~rollout.EndpointWeights`
        """
        found = []
        for member in self.members.find('sidecar'):
            if member.kind != 'engine' or member.serves != model:
                continue
            if member.leaving:
                continue
            endpoint = self.endpoints.get(member.name)
            if endpoint is None:
                active, staged = self._remote_versions.get(
                    member.name, (-1, -1)
                )
                found.append(
                    rollout.EndpointWeights(
                        member.name, active, staged, 'ready'
                    )
                )
                continue
            report = endpoint.report
            if report is None or report.leaving:
                continue
            found.append(
                rollout.EndpointWeights(
                    member.name,
                    report.active_version,
                    report.staged_version,
                    report.state,
                )
            )
        return found

    async def stop(self):
        """Stop all tasks that maintain sessions."""
        tasks = [task for _, task in self._diallers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
