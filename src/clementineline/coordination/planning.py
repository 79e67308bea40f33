"""Intents, plans, and their confirmation or withdrawal.

An intent states the desired configuration. Its plan, computed against one
configuration version, lists the keys that would change and the effects. A plan
can be confirmed only if no key that it depends on has changed since.
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
    """Desired configuration of an operator; a null value removes the key.

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
    """Change of one configuration key by a plan.

    :param before: JSON value before the change, or None
    :param after: JSON value after the change, or None
    """

    key: str
    before: dict | None
    after: dict | None


class Plan(msgspec.Struct, frozen=True):
    """Plan that carries out an intent.

    :param base_version: configuration version for which the plan was computed
    :param rests_on: keys and sections that must not change before the plan is
        confirmed
    :param effects: effects and costs of the plan, one sentence each
    :param state: ``proposed``, ``confirmed`` or ``withdrawn``
    :param in_force_version: configuration version that contains the changes,
        0 until the plan is confirmed
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
    """Decode and validate an intent.

    :param data: JSON bytes
    :returns: the :class:`Intent`
    :raises errors.IntentError: if the intent is malformed; the message has
        the path of the invalid value
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
    """Return an intent's values as a dict from key to JSON value."""
    values = {}
    for section, prefix in _SECTIONS.items():
        for name, value in getattr(intent, section).items():
            json_value = None if value is None else msgspec.to_builtins(value)
            values[f'{prefix}/{name}'] = json_value
    return values


class Planner:
    """Computes plans, and confirms or withdraws them for operators.

    :param platform: a :class:`~platform.PlatformClient`
    :param writer: a :class:`~changes.ConfigurationWriter`
    :param configuration: the configuration in force
    :param count_endpoints: function from ``(kind, name)`` of a model or
        service to the number of endpoints that serve it
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
        """Compute an intent's plan and store it.

        :param data: the intent's JSON bytes
        :param operator: name of the operator who submits the intent
        :returns: the :class:`Plan`
        :raises errors.IntentError: if the intent is malformed
        :raises errors.PlatformError: if the plan cannot be stored
        """
        values = list_changes(parse_intent(data))
        # An empty change fetches the newest configuration; the local copy may
        # lag behind.
        await self._writer.change(lambda keys: {})
        changes = []
        for key, after in values.items():
            before = self._read_json(key)
            if before != after:
                changes.append(PlannedChange(key, before, after))
        plan = Plan(
            id=uuid.uuid4().hex[:10],
            operator=operator,
            created=time.strftime('%Y-%m-%dT%H:%M:%SZ', time.gmtime()),
            base_version=self._configuration.version,
            changes=changes,
            rests_on=_find_dependencies(changes),
            effects=self._describe(changes),
        )
        await self._platform.write(KIND, plan.id, _build_object(plan), 0)
        self._decisions.record(
            'plan',
            plan.id,
            base=plan.base_version,
            changes=[change.key for change in changes],
        )
        return plan

    def _read_json(self, key):
        value = self._configuration.get(key)
        return None if value is None else msgspec.to_builtins(value)

    async def show(self, plan_id):
        """Return a plan.

        :raises errors.UnknownPlan: if there is no plan with this id
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
        """Confirm a plan: apply its changes to the configuration.

        :returns: the confirmed :class:`Plan`
        :raises errors.StalePlan: if a key that it depends on has changed
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
            _check_not_stale(plan, keys)
            values = {change.key: change.after for change in plan.changes}
            values[marker] = None
            return values

        in_force = await self._writer.change(build_changes)
        confirmed = msgspec.structs.replace(
            plan, state='confirmed', in_force_version=in_force
        )
        await self._save_state(confirmed, version)
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
            KIND, plan_id, _build_object(withdrawn), version
        )
        self._decisions.record('withdraw', plan_id)
        return withdrawn

    async def _save_state(self, plan, version):
        try:
            await self._platform.write(
                KIND, plan.id, _build_object(plan), version
            )
        except errors.PlatformError:
            # The marker key in the configuration still records the
            # confirmation.
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
        affected = False
        for change in changes:
            section, _, name = change.key.partition('/')
            if section != 'trainer':
                continue
            affected = True
            weights.pop(name, None)
            if change.after is not None:
                after = change.after
                weights[name] = (after['model'], after['weight'])
        if not affected:
            return []
        return _describe_share_changes(before, weights)


def _describe_share_changes(before, after):
    effects = []
    for name in sorted(after):
        new = _compute_share(name, after)
        old = _compute_share(name, before) if name in before else 0.0
        if abs(new - old) < 0.001:
            continue
        effects.append(
            f'trainer {name}: share of model {after[name][0]} goes from '
            f'{old:.0%} to {new:.0%}'
        )
    return effects


def _compute_share(name, weights):
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


def _find_dependencies(changes):
    dependencies = []
    for change in changes:
        dependencies.append(change.key)
        if change.key.startswith('trainer/'):
            # Shares are relative, so they depend on all trainers.
            dependencies.append('trainer/')
    return sorted(set(dependencies))


def _check_not_stale(plan, keys):
    changed = []
    for key, (version, value) in keys.items():
        if version <= plan.base_version:
            continue
        for dependency in plan.rests_on:
            if key == dependency or (
                dependency.endswith('/') and key.startswith(dependency)
            ):
                changed.append(f'{key} is now {json.dumps(value)}')
                break
    if changed:
        raise errors.StalePlan(
            f'plan {plan.id}: is stale; since configuration '
            f'{plan.base_version} {"; ".join(changed)}'
        )


def _build_object(plan):
    return {'plan': msgspec.to_builtins(plan)}
