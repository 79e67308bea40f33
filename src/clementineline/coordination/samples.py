"""Generation of a trainer's samples and their delivery in complete groups.

The trainer's cursor alone says which samples were delivered. The
:class:`SampleOwner` of an entry keeps the steps in memory only: if its process
dies, the trainer submits the step again, and the new owner generates only the
samples that the cursor lacks.
"""

import asyncio
import contextlib
import json

import msgspec

from clementineline.coordination import requests
from clementineline.coordination import running
from clementineline.coordination import steps
from clementineline import errors
from clementineline.protocol import messages
from clementineline.protocol import verdicts
from clementineline.state import cursor as cursors

__all__ = ['PullAnswer', 'PullRequest', 'SampleOwner']

RETRY_DELAY_S = 0.2
RETRY_DELAY_MAX_S = 5.0
FINISHED_STEPS_KEPT = 8  # for each trainer


class PullRequest(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A trainer's request for complete groups of a step.

    :param cursor: what the trainer has received of the step
    :param groups_max: maximum number of groups in the answer
    :param wait_s: longest wait for a complete group, in seconds
    """

    cursor: cursors.WireCursor
    groups_max: int = 64
    wait_s: float = 5.0


class PullAnswer(msgspec.Struct, frozen=True):
    """Complete groups that the cursor lacks, and the next cursor.

    :param groups: the samples of each group
    :param cursor: the trainer's cursor once it has received the groups
    :param complete: whether the next cursor holds all samples of the step
    """

    groups: list[list[steps.WireSample]]
    cursor: cursors.WireCursor
    complete: bool


class _Step:
    """State of a step at its owner.

    :param request: the :class:`steps.StepRequest`, without its cursor
    :param config: the trainer's configuration in force
    :param sequence: number of the step in order of submission
    :param version: newest weights version known for the step's model
    """

    __slots__ = (
        'bound',
        'changed',
        'config',
        'groups',
        'received_bits',
        'request',
        'sequence',
        'tasks',
        'version',
    )

    def __init__(self, request, config, sequence, version):
        self.request = request
        self.config = config
        self.sequence = sequence
        self.version = version
        self.received_bits = 0
        self.tasks = {}
        self.changed = asyncio.Event()
        self.groups = []
        size = request.group_size
        for index, prompt in enumerate(request.prompts):
            first = index * size
            samples = [
                steps.Sample(number) for number in range(first, first + size)
            ]
            self.groups.append(steps.Group(index, prompt, samples))

    @property
    def oldest_allowed(self):
        """Oldest weights version that a delivered sample may contain."""
        return self.version - self.config.staleness_bound_versions

    def notify(self):
        """Wake the pulls that wait for a complete group."""
        self.changed.set()
        self.changed = asyncio.Event()


class SampleOwner:
    """Runs the steps that trainers submit to one entry.

    :param runner: a :class:`~running.RequestRunner`
    :param configuration: the configuration in force
    :param decisions: a :class:`~decisions.DecisionLog`
    """

    __slots__ = (
        '_configuration',
        '_counter',
        '_decisions',
        '_runner',
        '_steps',
        'discarded',
        'produced',
    )

    def __init__(self, runner, configuration, decisions):
        self._runner = runner
        self._configuration = configuration
        self._decisions = decisions
        self._steps = {}
        self._counter = 0
        self.discarded = 0
        self.produced = 0
        configuration.listeners.append(self._on_configuration)

    def count_complete_groups(self):
        """Return the number of complete groups by ``trainer/step``."""
        counts = {}
        for (trainer, step_id), step in self._steps.items():
            complete = sum(group.is_complete() for group in step.groups)
            counts[f'{trainer}/{step_id}'] = complete
        return counts

    def submit(self, trainer, request):
        """Accept a step and generate its samples, unless it is known already.

        :param trainer: the trainer's name
        :param request: a :class:`steps.StepRequest`
        :raises errors.RequestError: if the trainer is not configured, or if
            the step's id was submitted before with other contents
        :raises errors.NotReady: if no configuration is known yet
        :raises errors.CursorError: if the request's cursor does not fit the
            step
        """
        self._configuration.check_ready()
        config = self._configuration.get(f'trainer/{trainer}')
        if config is None:
            raise errors.RequestError(
                404,
                f'trainer {trainer!r}: not in the configuration; confirm an '
                'intent that names it first',
            )
        cursor = _read_submitted_cursor(request)
        request = msgspec.structs.replace(request, cursor=None)
        known = self._steps.get((trainer, request.step))
        if known is not None:
            if known.request != request:
                raise errors.RequestError(
                    409,
                    f'step {request.step!r}: was submitted before with other '
                    'prompts or limits; expected the same',
                )
            return
        self._counter += 1
        step = _Step(
            request, config, self._counter, self._find_version(config.model)
        )
        self._steps[(trainer, request.step)] = step
        self._decisions.record(
            'step', f'{trainer}/{request.step}', samples=request.samples
        )
        self._drop_finished(trainer)
        # Generation starts before the first pull, while the trainer still
        # trains on the previous step.
        self._apply_cursor(trainer, step, cursor)

    def _find_version(self, model):
        target = self._configuration.get(f'weights/{model}')
        return target.version if target else 0

    def _drop_finished(self, trainer):
        """Drop the steps that the trainer has in full, except the newest."""
        finished = []
        for key, step in self._steps.items():
            if key[0] != trainer:
                continue
            if step.received_bits.bit_count() == step.request.samples:
                finished.append(key)
        for key in finished[:-FINISHED_STEPS_KEPT]:
            del self._steps[key]

    async def pull(self, trainer, request):
        """Return complete groups that the cursor lacks; wait if none is ready.

        :param trainer: the trainer's name
        :param request: a :class:`PullRequest`
        :returns: a :class:`PullAnswer`, with no groups if none became
            complete in time
        :raises errors.LostStep: if the step is not known here and must be
            submitted again
        :raises errors.CursorError: if the cursor does not fit the step
        """
        step = self._steps.get((trainer, request.cursor.step))
        if step is None:
            raise errors.LostStep(
                f'step {request.cursor.step!r} of {trainer!r}: not held '
                'here; submit it again'
            )
        cursor = cursors.parse_cursor(request.cursor, step.request.samples)
        self._apply_cursor(trainer, step, cursor)
        deadline = asyncio.get_running_loop().time() + request.wait_s
        while True:
            groups = self._collect(trainer, step, cursor, request.groups_max)
            missing = step.request.samples - cursor.count()
            remaining_s = deadline - asyncio.get_running_loop().time()
            if groups or not missing or remaining_s <= 0:
                return _build_answer(step, cursor, groups)
            changed = step.changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(remaining_s):
                    await changed.wait()

    def _apply_cursor(self, trainer, step, cursor):
        """Clear the samples that the trainer received; generate the others."""
        self._advance_version(trainer, step, cursor.version)
        step.received_bits = cursor.bits
        for group in step.groups:
            for sample in group.samples:
                if cursor.holds(sample.index):
                    self._clear_sample(step, sample)
                    continue
                if sample.complete or sample.index in step.tasks:
                    continue
                self._start(trainer, step, group, sample)

    def _clear_sample(self, step, sample):
        task = step.tasks.pop(sample.index, None)
        if task is not None:
            task.cancel()
        sample.clear()

    def _start(self, trainer, step, group, sample):
        task = asyncio.create_task(
            self._produce(trainer, step, group, sample),
            name=f'{trainer}/{step.request.step}/{sample.index}',
        )
        step.tasks[sample.index] = task

    def _collect(self, trainer, step, cursor, limit):
        """Return complete, fresh groups that the cursor lacks.

        Groups with a sample that is now too old are generated again.
        """
        collected = []
        for group in step.groups:
            if len(collected) >= limit:
                break
            if cursor.holds(group.samples[0].index):
                continue
            if not group.is_complete():
                continue
            if self._restart_stale(trainer, step, group):
                continue
            collected.append(group)
        return collected

    def _restart_stale(self, trainer, step, group):
        """Discard and restart the samples of a group that are too old.

        :returns: whether there were any
        """
        found_stale = False
        for sample in group.samples:
            oldest = sample.find_oldest_version()
            if oldest is None or oldest >= step.oldest_allowed:
                continue
            self._discard(trainer, step, sample, 'too old at delivery')
            if sample.index not in step.tasks:
                self._start(trainer, step, group, sample)
            found_stale = True
        return found_stale

    def _discard(self, trainer, step, sample, reason):
        self.discarded += 1
        self._decisions.record(
            'discard',
            f'{trainer}/{step.request.step}/{sample.index}',
            reason=reason,
            spans=list(sample.spans),
            oldest_allowed=step.oldest_allowed,
        )
        sample.clear()

    def _on_configuration(self, changed):
        for (trainer, _), step in list(self._steps.items()):
            config = self._configuration.get(f'trainer/{trainer}')
            if config is not None:
                step.config = config
            if f'weights/{step.config.model}' in changed:
                version = self._find_version(step.config.model)
                self._advance_version(trainer, step, version)

    def _advance_version(self, trainer, step, version):
        """Set a newer weights version and restart samples that are too old.

        Running attempts of such samples are aborted at once, since their
        samples would be discarded at delivery.
        """
        if version <= step.version:
            return
        step.version = version
        for group in step.groups:
            for sample in group.samples:
                task = step.tasks.get(sample.index)
                oldest = sample.find_oldest_version()
                if task is None or oldest is None:
                    continue
                if oldest >= step.oldest_allowed:
                    continue
                task.cancel()
                self._discard(trainer, step, sample, 'too old in flight')
                self._start(trainer, step, group, sample)

    async def _produce(self, trainer, step, group, sample):
        """Generate and score a sample; retry until it is complete.

        A retry after a failed attempt continues from the text so far, and a
        retry after a discard starts from the prompt.
        """
        wait_s = RETRY_DELAY_S
        this_task = asyncio.current_task()
        while True:
            sample.attempts += 1
            verdict = await self._generate(trainer, step, group, sample)
            if isinstance(verdict, verdicts.Answered):
                if sample.unverified:
                    self._discard(trainer, step, sample, 'unvouched version')
                    continue
                sample.finish_reason = verdict.finish_reason
                if await self._score(trainer, step, group, sample):
                    break
                self._discard(trainer, step, sample, 'not scored')
            await asyncio.sleep(wait_s)
            wait_s = min(wait_s * 2, RETRY_DELAY_MAX_S)
        sample.complete = True
        self.produced += 1
        if step.tasks.get(sample.index) is this_task:
            del step.tasks[sample.index]
        if group.is_complete():
            step.notify()

    async def _generate(self, trainer, step, group, sample):
        request = self._build_request(trainer, step, group, sample)
        verdict = verdicts.NotRun('no attempt')
        stream = self._runner.generate(request)
        async with contextlib.aclosing(stream):
            async for event in stream:
                if isinstance(event, messages.Chunk):
                    sample.add(event)
                    continue
                verdict = event
        return verdict

    def _build_request(self, trainer, step, group, sample):
        fields = dict(step.request.sampling)
        fields['model'] = step.config.model
        fields['prompt'] = group.prompt
        fields['max_tokens'] = step.request.max_tokens
        fields.setdefault('seed', sample.index)
        work = messages.Generate(
            step.config.model,
            'completions',
            json.dumps(fields).encode(),
            sample.text,
            max(0, step.oldest_allowed),
        )
        return requests.GenerateRequest(
            f'{trainer}/{step.request.step}/{sample.index}',
            work,
            share=trainer,
            weight=step.config.weight,
            prompt_key=group.prompt,
            prefix_key=requests.build_prefix_key(group.prompt),
            limit=step.request.max_tokens,
            allowed=frozenset(step.config.endpoints),
            rank=(-step.config.priority, step.sequence),
            is_first_sample=sample is group.samples[0],
        )

    async def _score(self, trainer, step, group, sample):
        """Have the scoring service score a sample.

        :returns: whether the sample has its score or needs none
        """
        scoring = step.request.scoring
        if scoring is None:
            return True
        body = json.dumps({'prompt': group.prompt, 'text': sample.text})
        call = messages.Call(
            scoring.service,
            'POST',
            scoring.path,
            [('content-type', 'application/json')],
            body.encode(),
            True,
        )
        request = requests.CallRequest(
            f'{trainer}/{step.request.step}/{sample.index}/score',
            call,
            share=trainer,
        )
        wait_s = RETRY_DELAY_S
        for _ in range(running.ATTEMPTS_MAX):
            verdict = await self._runner.call(request)
            if isinstance(verdict, verdicts.Answered):
                if verdict.status == 200:
                    return _read_score(verdict.body, sample)
            await asyncio.sleep(wait_s)
            wait_s = min(wait_s * 2, RETRY_DELAY_MAX_S)
        return False

    async def stop(self):
        """Cancel and drop all steps; their trainers submit them again."""
        for step in self._steps.values():
            for task in step.tasks.values():
                task.cancel()
        self._steps.clear()


def _read_submitted_cursor(request):
    """Return the cursor that a step was submitted with, or an empty one.

    :raises errors.CursorError: if the cursor does not fit the step
    """
    if request.cursor is None:
        return cursors.Cursor(request.step, 0)
    if request.cursor.step != request.step:
        raise errors.CursorError(
            f'cursor.step: got {request.cursor.step!r}, expected the step '
            f'itself, {request.step!r}'
        )
    return cursors.parse_cursor(request.cursor, request.samples)


def _read_score(body, sample):
    try:
        sample.score = float(json.loads(body)['score'])
    except (ValueError, LookupError, TypeError):
        return False
    return True


def _build_answer(step, cursor, groups):
    indices = []
    wire = []
    for group in groups:
        indices.extend(sample.index for sample in group.samples)
        wire.append([sample.to_wire() for sample in group.samples])
    next_cursor = cursor.add(indices)
    complete = next_cursor.count() == step.request.samples
    return PullAnswer(wire, next_cursor.to_wire(), complete)
