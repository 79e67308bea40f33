"""Tests of sample delivery.

Each sample must reach its trainer exactly once, in a complete group, with
verified weights versions, none of which is older than the trainer allows.
"""

import asyncio

import msgspec
import pytest

from clementineline.coordination import samples
from clementineline.coordination import steps
from clementineline import errors
from clementineline.protocol import messages
from clementineline.protocol import verdicts
from clementineline.state import configuration
from clementineline.state import cursor as cursors


class FakeRunner:
    """Generates two chunks per request, stamped with ``version``.

    With ``may_finish`` set to an event, it waits for the event in between.
    The next ``unverified_runs`` requests get chunks of an unknown version.
    """

    def __init__(self):
        self.version = 0
        self.unverified_runs = 0
        self.may_finish = None
        self.started = []

    async def generate(self, request):
        self.started.append(request.id)
        version = self.version
        if self.unverified_runs:
            self.unverified_runs -= 1
            version = -1
        yield messages.Chunk(request.id, 'half ', 1, version)
        if self.may_finish is not None:
            await self.may_finish.wait()
        yield messages.Chunk(request.id, 'whole ', 1, version)
        yield verdicts.Answered(finish_reason='stop')


def encode(value):
    return msgspec.Raw(msgspec.msgpack.encode(value))


@pytest.fixture
def current():
    current = configuration.Configuration()
    trainer = configuration.TrainerConfig(
        model='m', staleness_bound_versions=1
    )
    current.adopt(
        messages.ConfigurationDelta(
            0, 1, [messages.Change('trainer/t', 1, encode(trainer))]
        )
    )
    return current


@pytest.fixture
def runner():
    return FakeRunner()


@pytest.fixture
def owner(runner, current, decision_log):
    return samples.SampleOwner(runner, current, decision_log)


STEP = steps.StepRequest(step='s', prompts=['a', 'b'], group_size=2)


def build_pull(cursor, wait_s=5.0):
    return samples.PullRequest(cursor=cursor.to_wire(), wait_s=wait_s)


def announce(current, version):
    target = configuration.WeightsTarget(version=version, announced_by='t')
    following = current.version + 1
    current.adopt(
        messages.ConfigurationDelta(
            current.version,
            following,
            [messages.Change('weights/m', following, encode(target))],
        )
    )


async def pull_all(owner, cursor):
    """Pull until the step is complete; return all sample indices."""
    found = []
    while True:
        answer = await owner.pull('t', build_pull(cursor))
        for group in answer.groups:
            found += [sample.index for sample in group]
        cursor = cursors.parse_cursor(answer.cursor, STEP.samples)
        if answer.complete:
            return found, cursor


class TestSampleOwner:
    """Tests that the trainer's cursor alone says what was delivered.

    Samples get lost or are delivered twice if the owner relies on its own
    memory when an answer is lost, an entry restarts or a trainer goes back
    to an earlier checkpoint. Samples become too old when new weights arrive
    between their generation and their delivery.
    """

    async def test_each_sample_is_delivered_once(self, owner):
        owner.submit('t', STEP)
        owner.submit('t', STEP)
        found, _ = await pull_all(owner, cursors.Cursor('s', 0))
        assert sorted(found) == [0, 1, 2, 3]

    async def test_lost_answer_is_pulled_again(self, owner):
        owner.submit('t', STEP)
        start = cursors.Cursor('s', 0)
        first = await owner.pull('t', build_pull(start))
        again = await owner.pull('t', build_pull(start))
        assert again.groups[0] == first.groups[0]

    async def test_new_owner_generates_only_what_the_cursor_lacks(
        self, owner, runner, current, decision_log
    ):
        cursor = cursors.Cursor('s', 0).add([0, 1])
        other = samples.SampleOwner(runner, current, decision_log)
        again = msgspec.structs.replace(STEP, cursor=cursor.to_wire())
        other.submit('t', again)
        found, _ = await pull_all(other, cursor)
        assert sorted(found) == [2, 3]
        assert sorted(runner.started) == ['t/s/2', 't/s/3']

    async def test_trainer_with_an_earlier_cursor_gets_the_samples_again(
        self, owner
    ):
        owner.submit('t', STEP)
        start = cursors.Cursor('s', 0)
        _, full = await pull_all(owner, start)
        await owner.pull('t', build_pull(full, wait_s=0.0))
        found, _ = await pull_all(owner, start)
        assert sorted(found) == [0, 1, 2, 3]

    async def test_samples_are_generated_before_the_first_pull(
        self, owner, wait_until
    ):
        owner.submit('t', STEP)
        await wait_until(lambda: owner.produced == 4)

    async def test_cursor_of_another_step_is_refused(self, owner):
        wire = cursors.WireCursor('other', 0)
        with pytest.raises(errors.CursorError, match="'other'"):
            owner.submit('t', msgspec.structs.replace(STEP, cursor=wire))

    async def test_unknown_step_must_be_submitted_again(self, owner):
        with pytest.raises(errors.LostStep, match="step 's'"):
            await owner.pull('t', build_pull(cursors.Cursor('s', 0)))

    async def test_sample_too_old_at_delivery_is_generated_again(
        self, owner, runner
    ):
        owner.submit('t', STEP)
        await owner.pull('t', build_pull(cursors.Cursor('s', 0)))
        runner.version = 2
        answer = await owner.pull('t', build_pull(cursors.Cursor('s', 2)))
        for group in answer.groups:
            for sample in group:
                assert sample.spans == [(2, 2)]
        assert owner.discarded >= 2

    async def test_sample_too_old_in_flight_is_restarted_at_once(
        self, owner, runner, current, wait_until
    ):
        runner.may_finish = asyncio.Event()
        runner.version = 2
        owner.submit('t', STEP)
        pull = asyncio.create_task(
            owner.pull('t', build_pull(cursors.Cursor('s', 2)))
        )
        await wait_until(lambda: len(runner.started) == 4)
        announce(current, 3)
        assert owner.discarded == 0
        runner.version = 4
        announce(current, 4)
        await wait_until(lambda: len(runner.started) == 8)
        assert owner.discarded == 4
        runner.may_finish.set()
        answer = await pull
        assert answer.groups[0][0].spans == [(4, 2)]

    async def test_sample_of_unverified_version_is_never_delivered(
        self, owner, runner
    ):
        runner.unverified_runs = 3
        owner.submit('t', STEP)
        found, _ = await pull_all(owner, cursors.Cursor('s', 0))
        assert sorted(found) == [0, 1, 2, 3]
        assert owner.discarded == 3
        assert len(runner.started) == 7

    async def test_other_step_under_the_same_id_is_refused(self, owner):
        owner.submit('t', STEP)
        other = steps.StepRequest(step='s', prompts=['c'], group_size=2)
        with pytest.raises(errors.RequestError, match='submitted before'):
            owner.submit('t', other)

    async def test_submit_without_a_configuration_is_not_ready(
        self, runner, decision_log
    ):
        """Guard against a 404 before the entry has a configuration.

        A restarted entry answered 404 then (found with fault seed 10).
        """
        restarted = samples.SampleOwner(
            runner, configuration.Configuration(), decision_log
        )
        with pytest.raises(errors.NotReady):
            restarted.submit('t', STEP)
