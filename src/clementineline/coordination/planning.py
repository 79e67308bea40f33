"""Intents, plans, and their confirmation or withdrawal.

An intent says what shall hold. Its plan lists the keys that would change and
what that costs, computed against a configuration version. It is confirmed
only if no key that it rests on has changed since.
"""

import json
import time
import uuid

import msgspec

from clementineline import errors
from clementineline.state import configuration as configurations

__all__ = ['Intent', 'Plan', 'PlannedChange', 'Planner', 'parse_intent']

KIND = 'plan'
_SECTIONS = {
    'trainers': 'trainer',
    'models': 'model',
    'services': 'service',
    'endpoints': 'endpoint',
}


class Intent(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """What an operator intends; a null value removes an item.

    :param trainers: trainers by name
    :param models: models by name
    :param services: plain services by name
    :param endpoints: endpoints by sidecar name
    """

    trainers: dict[str, configurations.TrainerConfig | None] = {}
    models: dict[str, configurations.ModelConfig | None] = {}
    services: dict[str, configurations.ServiceConfig | None] = {}
    endpoints: dict[str, configurations.EndpointConfig | None] = {}


class PlannedChange(msgspec.Struct, frozen=True):
    """One key that a plan changes.

    :param before: JSON value now, or None
    :param after: JSON value then, or None
    """

    key: str
    before: dict | None
    after: dict | None


class Plan(msgspec.Struct, frozen=True):
    """An intent's plan.

    :param base_version: configuration version that it was computed against
    :param rests_on: keys and sections that must not change before it is
        confirmed
    :param effects: what it would do and cost, a sentence each
    :param state: ``proposed``, ``confirmed`` or ``withdrawn``
    :param in_force_version: configuration version that carries it out
    """

    id: str
    operator: str
    created: str
    base_version: int
    changes: list[PlannedChange]
    rests_on: list[str]
    effects: list[str]
    state: str = 'proposed'
    in_force_version: int = 0


def parse_intent(data):
    """Decode and check an intent.

    :param data: JSON bytes
    :returns: the :class:`Intent`
    :raises errors.IntentError: with the path of the refused value
    """
    try:
        intent = msgspec.json.decode(data, type=Intent)
    except msgspec.DecodeError as error:
        raise errors.IntentError(f'intent: {error}') from None
    if not any(getattr(intent, section) for section in _SECTIONS):
        raise errors.IntentError(
            'intent: $: states nothing; expected at least one of '
            f'{", ".join(_SECTIONS)}'
        )
    return intent


def list_changes(intent):
    """Return a dict from key to JSON value, as an intent states them."""
    values = {}
    for section, prefix in _SECTIONS.items():
        for name, value in getattr(intent, section).items():
            plain = None if value is None else msgspec.to_builtins(value)
            values[f'{prefix}/{name}'] = plain
    return values


class Planner:
    """Computes plans and carries out what operators say of them.

    :param platform: a :class:`~platform.PlatformClient`
    :param writer: a :class:`~changes.ConfigurationWriter`
    :param configuration: the configuration in force
    :param count_endpoints: function from ``(kind, name)`` to the number of
        endpoints that serve it
    :param decisions: a :class:`~decisions.DecisionLog`
    """

    __slots__ = (
        '_configuration',
        '_count_endpoints',
        '_decisions',
        '_platform',
        '_writer',
    )

    def __init__(
        self, platform, writer, configuration, count_endpoints, decisions
    ):
        self._platform = platform
        self._writer = writer
        self._configuration = configuration
        self._count_endpoints = count_endpoints
        self._decisions = decisions

    async def submit(self, data, operator):
        """Make an intent's plan and keep it.

        :param data: the intent's JSON bytes
        :param operator: who states it
        :returns: the :class:`Plan`
        :raises errors.IntentError: if the intent is malformed
        :raises errors.PlatformError: if the plan cannot be kept
        """
        values = list_changes(parse_intent(data))
        # Plan against the newest configuration, not a lagging copy.
        await self._writer.change(lambda keys: {})
        changes = []
        for key, after in values.items():
            before = self._read_plain(key)
            if before != after:
                changes.append(PlannedChange(key, before, after))
        plan = Plan(
            id=uuid.uuid4().hex[:10],
            operator=operator,
            created=time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
            base_version=self._configuration.version,
            changes=changes,
            rests_on=_find_foundations(changes),
            effects=self._describe(changes),
        )
        await self._platform.write(KIND, plan.id, _to_object(plan), 0)
        self._decisions.record(
            'plan',
            plan.id,
            base=plan.base_version,
            changes=[change.key for change in changes],
        )
        return plan

    def _read_plain(self, key):
        value = self._configuration.get(key)
        return None if value is None else msgspec.to_builtins(value)

    async def show(self, plan_id):
        """Return a plan.

        :raises errors.UnknownPlan: if there is none of that id
        """
        plan, _ = await self._read(plan_id)
        return plan

    async def list(self):
        """Return all plans, oldest first."""
        page = await self._platform.list_objects(KIND)
        plans = []
        for item in page.objects:
            plans.append(msgspec.convert(item.value['plan'], Plan))
        plans.sort(key=lambda plan: plan.created)
        return plans

    async def _read(self, plan_id):
        current = await self._platform.read(KIND, plan_id)
        if current is None:
            raise errors.UnknownPlan(
                f'plan {plan_id!r}: unknown; see "clementineline plan list"'
            )
        return msgspec.convert(current.value['plan'], Plan), current.version

    async def confirm(self, plan_id):
        """Put a plan in force.

        :returns: the confirmed :class:`Plan`
        :raises errors.StalePlan: if what it rests on has changed
        :raises errors.PlanError: if it was withdrawn or is unknown
        """
        plan, version = await self._read(plan_id)
        if plan.state == 'withdrawn':
            raise errors.PlanError(f'plan {plan_id}: was withdrawn')
        if plan.state == 'confirmed':
            return plan
        marker = f'confirmed/{plan_id}'

        def build_changes(keys):
            if marker in keys:
                return {}
            _check_fresh(plan, keys)
            values = {change.key: change.after for change in plan.changes}
            values[marker] = None
            return values

        in_force = await self._writer.change(build_changes)
        confirmed = msgspec.structs.replace(
            plan, state='confirmed', in_force_version=in_force
        )
        await self._keep_state(confirmed, version)
        self._decisions.record('confirm', plan_id, in_force=in_force)
        return confirmed

    async def withdraw(self, plan_id):
        """Withdraw a proposed plan.

        :raises errors.PlanError: if it was confirmed or is unknown
        """
        plan, version = await self._read(plan_id)
        if plan.state == 'confirmed':
            raise errors.PlanError(
                f'plan {plan_id}: is in force since configuration '
                f'{plan.in_force_version}; submit a new intent instead'
            )
        withdrawn = msgspec.structs.replace(plan, state='withdrawn')
        await self._platform.write(
            KIND, plan_id, _to_object(withdrawn), version
        )
        self._decisions.record('withdraw', plan_id)
        return withdrawn

    async def _keep_state(self, plan, version):
        try:
            await self._platform.write(
                KIND, plan.id, _to_object(plan), version
            )
        except errors.PlatformError:
            # The configuration itself remembers the confirmation.
            self._decisions.record('confirm', plan.id, state_kept=False)

    def _describe(self, changes):
        effects = []
        for change in changes:
            section, _, name = change.key.partition('/')
            if section == 'trainer':
                effects.extend(self._describe_trainer(name, change))
            if section == 'endpoint':
                effects.append(_describe_endpoint(name, change))
            if section in ('model', 'service'):
                effects.append(f'{section} {name}: its rules change')
        effects.extend(self._describe_shares(changes))
        if not effects:
            effects.append('nothing: the configuration already says so')
        return effects

    def _describe_trainer(self, name, change):
        if change.after is None:
            return [f'trainer {name}: draws no more samples']
        model = change.after['model']
        endpoints = change.after['endpoints']
        count = self._count_endpoints('engine', model)
        if endpoints:
            count = len(endpoints)
        effect = (
            f'trainer {name}: draws samples of model {model} on {count} '
            'endpoints, none older than '
            f'{change.after["staleness_bound_versions"]} versions'
        )
        if not count:
            return [effect, f'warning: no endpoint serves model {model} now']
        return [effect]

    def _describe_shares(self, changes):
        weights = {}
        for name, trainer in self._configuration.find('trainer').items():
            weights[name] = (trainer.model, trainer.weight)
        before = dict(weights)
        touched = False
        for change in changes:
            section, _, name = change.key.partition('/')
            if section != 'trainer':
                continue
            touched = True
            weights.pop(name, None)
            if change.after is not None:
                after = change.after
                weights[name] = (after['model'], after['weight'])
        if not touched:
            return []
        return _compare_shares(before, weights)


def _compare_shares(before, after):
    effects = []
    for name in sorted(after):
        new = _find_share(name, after)
        old = _find_share(name, before) if name in before else 0.0
        if abs(new - old) < 0.001:
            continue
        effects.append(
            f'trainer {name}: share of model {after[name][0]} goes from '
            f'{old:.0%} to {new:.0%}'
        )
    return effects


def _find_share(name, weights):
    model, weight = weights[name]
    total = 0.0
    for other_model, other_weight in weights.values():
        if other_model == model:
            total += other_weight
    return weight / total


def _describe_endpoint(name, change):
    if change.after is not None and change.after['drain']:
        return (
            f'endpoint {name}: gets no new work; running work ends by itself'
        )
    return f'endpoint {name}: gets work again'


def _find_foundations(changes):
    foundations = []
    for change in changes:
        foundations.append(change.key)
        if change.key.startswith('trainer/'):
            # Shares are relative, so each trainer matters.
            foundations.append('trainer/')
    return sorted(set(foundations))


def _check_fresh(plan, keys):
    moved = []
    for key, (version, value) in keys.items():
        if version <= plan.base_version:
            continue
        for foundation in plan.rests_on:
            if key == foundation or (
                foundation.endswith('/') and key.startswith(foundation)
            ):
                moved.append(f'{key} is now {json.dumps(value)}')
                break
    if moved:
        raise errors.StalePlan(
            f'plan {plan.id}: is stale; since configuration '
            f'{plan.base_version} {"; ".join(moved)}'
        )


def _to_object(plan):
    return {'plan': msgspec.to_builtins(plan)}
