"""The entry, which serves callers, trainers and operators over HTTP.

It dispatches the requests to the sidecars of endpoints. One entry holds the
lease and leads: it maintains the members and rolls out weights.
"""

import asyncio

from starlette import applications

from clementineline import clocks
from clementineline.coordination import changes
from clementineline.coordination import decisions
from clementineline.coordination import fleet
from clementineline.coordination import keys
from clementineline.coordination import lease
from clementineline.coordination import membership
from clementineline.coordination import membershipmaintainer
from clementineline.coordination import planning
from clementineline.coordination import prediction
from clementineline.coordination import rollout
from clementineline.coordination import roster
from clementineline.coordination import routing
from clementineline.coordination import running
from clementineline.coordination import samples
from clementineline.coordination import watching
from clementineline.daemons import callers
from clementineline.daemons import health
from clementineline.daemons import incarnations
from clementineline.daemons import operators
from clementineline.daemons import tasks
from clementineline.daemons import trainers
from clementineline import errors
from clementineline.protocol import links
from clementineline.protocol import messages
from clementineline.state import configuration
from clementineline.state import platform
from clementineline.transport import frames
from clementineline.transport import web

__all__ = ['Entry']

# Time in which the load balancer notices that a stopping entry is not ready.
LEAVING_NOTICE_S = 1.0


class Entry:
    """Serves HTTP requests and keeps sessions with sidecars and other entries.

    :param settings: :class:`~settings.EntrySettings`
    :param log: logger
    """

    def __init__(self, settings, log):
        self.settings = settings
        self.log = log
        self.clock = clocks.Clock()
        self.incarnation = incarnations.make_incarnation()
        self.revision = 1
        self.draining = False
        self.metrics = health.Metrics({'process': settings.name})
        self.tasks = tasks.TaskGroup(log)
        self.members = membership.MemberTable()
        self.configuration = configuration.Configuration()
        self.decisions = decisions.DecisionLog(
            log, settings.decisions_kept, lambda: self.configuration.version
        )
        self.pending_answers = keys.PendingAnswers()
        self._predictors = {}
        self._build_routing()
        self._build_sessions()

    def _build_routing(self):
        settings = self.settings
        self.router = routing.Router(
            settings.policy,
            self.clock,
            self.decisions,
            self._get_trainer_weight,
        )
        self.runner = running.RequestRunner(
            self.router,
            settings.policy,
            self.clock,
            self.decisions,
            self._get_predictor,
            settings.wait_max_s,
        )
        self.samples = samples.SampleOwner(
            self.runner, self.configuration, self.decisions
        )

    def _build_sessions(self):
        settings = self.settings
        timing = links.LinkTiming(
            settings.links.heartbeat_s,
            settings.links.silence_s,
            settings.links.retain_s,
            resume=settings.links.resume,
        )
        self.fleet = fleet.FleetSessions(
            self.build_member,
            timing,
            self.members,
            self.configuration,
            self.router,
            self.pending_answers,
            self.clock,
            self.decisions,
            self.log,
        )
        self.listener = links.SessionListener(
            self.build_member, self.fleet, timing, self.log
        )
        self.keyed_calls = keys.KeyedCalls(
            self.runner,
            self.router,
            self.configuration,
            self.fleet.endpoints.get,
            self.pending_answers,
            self.clock,
            self.decisions,
        )
        self.members.merge(self.build_member())

    def _get_trainer_weight(self, trainer):
        config = self.configuration.get(f'trainer/{trainer}')
        return config.weight if config else 1.0

    def _get_predictor(self, model):
        predictor = self._predictors.get(model)
        if predictor is None:
            predictor = prediction.LengthPredictor()
            self._predictors[model] = predictor
        return predictor

    def build_member(self):
        """Return the :class:`messages.Member` of this process."""
        settings = self.settings
        return messages.Member(
            settings.name,
            'entry',
            self.incarnation,
            self.revision,
            settings.availability_zone,
            settings.listen,
            settings.http,
            leaving=self.draining,
        )

    async def start(self):
        """Listen and start the background tasks."""
        settings = self.settings
        self.http = web.open_client()
        self._build_platform()
        await self.listener.start(frames.parse_address(settings.listen))
        routes = health.build_health_routes(
            self._collect_metrics, self._find_unready_reason
        )
        routes += callers.build_routes(self)
        routes += trainers.build_routes(self)
        routes += operators.build_routes(self)
        self.web = web.WebServer(
            applications.Starlette(routes=routes),
            frames.parse_address(settings.http),
            settings.drain_s,
        )
        await self.web.start()
        supervise = self.tasks.supervise
        supervise(self.router.run, 'router')
        supervise(self.watch.watch_configuration, 'watch configuration')
        supervise(self.watch.watch_members, 'watch members')
        supervise(self.lease.run, 'lease')
        supervise(self.rollout.run, 'rollout')
        supervise(self.membership_maintainer.run, 'membership')
        supervise(self._announce, 'announce')
        supervise(self._register, 'register')
        self.log.info('entry started', incarnation=self.incarnation)

    def _build_platform(self):
        settings = self.settings
        self.platform = platform.PlatformClient(settings.platform, self.http)
        self.writer = changes.ConfigurationWriter(
            self.platform, self.configuration
        )
        self.planner = planning.Planner(
            self.platform,
            self.writer,
            self.configuration,
            self._count_endpoints,
            self.decisions,
        )
        self.watch = watching.PlatformWatch(
            settings.name,
            self.platform,
            self.members,
            self.configuration,
            self.log,
        )
        self.lease = lease.LeaseManager(
            f'{settings.name}#{self.incarnation}',
            self.platform,
            settings.lease,
            self.clock,
            self.log,
            self.watch.is_watcher,
        )
        self.rollout = rollout.RolloutLeader(
            self.lease,
            self.get_weight_targets,
            self.fleet.get_weights,
            self.fleet.send_order,
            self.clock,
            self.decisions,
        )
        self.membership_maintainer = membershipmaintainer.MembershipMaintainer(
            self.lease,
            self.fleet,
            self.platform,
            self.writer,
            roster.RosterBuilder(self.clock, settings.key_retain_s),
            self.clock,
            self.decisions,
            self.log,
        )

    def _count_endpoints(self, kind, name):
        count = 0
        for member in self.members.find('sidecar'):
            if member.kind == kind and member.serves == name:
                count += not member.leaving
        return count

    def get_weight_targets(self):
        """Return a dict from model to its target version."""
        targets = {}
        for model, target in self.configuration.find('weights').items():
            targets[model] = target.version
        return targets

    async def announce_weights(self, trainer, version):
        """Make a version the target version of the trainer's model.

        A version that is not newer than the target has no effect.

        :param version: weights version
        :returns: the configuration version that holds the target
        :raises errors.RequestError: if the trainer is not configured
        :raises errors.PlatformError: if the change cannot be written
        """
        self.configuration.check_ready()
        config = self.configuration.get(f'trainer/{trainer}')
        if config is None:
            raise errors.RequestError(
                404, f'trainer {trainer!r}: not in the configuration'
            )
        key = f'weights/{config.model}'

        def build_changes(current):
            _, value = current.get(key, (0, None))
            if value is not None and value['version'] >= version:
                return {}
            return {key: {'version': version, 'announced_by': trainer}}

        in_force = await self.writer.change(build_changes)
        self.decisions.record(
            'weights', f'{config.model}@{version}', in_force=in_force
        )
        return in_force

    async def _announce(self):
        await links.announce(
            self.settings.seeds,
            self.build_member,
            lambda: bool(self.fleet.peers),
        )

    async def _register(self):
        await watching.register_member(
            self.platform, self.build_member, self.log
        )

    async def stop(self):
        """Release the lease, finish the open requests and stop."""
        self.draining = True
        self.revision += 1
        self.members.merge(self.build_member())
        await self.lease.release()
        await asyncio.sleep(LEAVING_NOTICE_S)
        await self.samples.stop()
        await self.web.stop()
        await self.tasks.stop()
        await self.fleet.stop()
        await self.listener.stop()
        await self.http.close()
        self.log.info('entry stopped')

    def _find_unready_reason(self):
        if self.draining:
            return 'draining'
        if not self.configuration.version:
            return 'no configuration yet'
        return ''

    def _collect_metrics(self):
        metrics = self.metrics
        metrics.set(
            'configuration_version',
            'Configuration version in force',
            self.configuration.version,
        )
        metrics.set(
            'waiting', 'Requests that wait', self.router.count_waiting()
        )
        metrics.set('attempts', 'Attempts sent', self.runner.attempts)
        metrics.set('retries', 'Retries spent', self.runner.retries.spent)
        metrics.set('hedges', 'Hedges spent', self.runner.hedges.spent)
        metrics.set('samples', 'Samples made', self.samples.produced)
        metrics.set(
            'samples_discarded', 'Samples thrown away', self.samples.discarded
        )
        metrics.set(
            'platform_calls', 'Calls to the platform', self.platform.calls
        )
        metrics.set(
            'platform_available',
            'The last call to the platform was answered',
            int(self.platform.available),
        )
        metrics.set('leader', 'Holds the lease', int(self.lease.holds()))
        connected = 0
        for endpoint in self.fleet.endpoints.values():
            if endpoint.session is not None:
                connected += endpoint.connected
        metrics.set('sessions', 'Connected sidecars', connected)
        for decision, count in self.decisions.counts.items():
            metrics.set('decisions', 'Decisions', count, decision=decision)
        return metrics
