"""Tests of the order in which the leader starts items."""

import asyncio
import types

import pytest

from clementineline.coordination import completion
from clementineline.coordination import itemruns
from clementineline.coordination import submissionowner
from clementineline.coordination.tests import test_fairorder


@pytest.fixture
def start_items(monkeypatch):
    """Return a function that starts items of submissions on a few slots.

    It returns the ids of the submissions of the items, in the order of their
    start.
    """
    started = []

    async def run_item(submission, run, state, pool, dialect, *rest):
        started.append(submission.id)
        await asyncio.Event().wait()

    monkeypatch.setattr(itemruns, 'run_item', run_item)

    async def start(play):
        directory = types.SimpleNamespace(
            list_usable=lambda service: play.engines
        )
        limits = types.SimpleNamespace(
            may_start=lambda state: True, reserve=lambda state: None
        )
        owner = submissionowner.SubmissionOwner(
            None,
            directory,
            None,
            None,
            lambda: play.table,
            lambda: True,
            test_fairorder.NullLog(),
            60.0,
            None,
            None,
            None,
            limits,
            completion.CompletionModel(
                directory.list_usable, 'a', test_fairorder.NullLog()
            ),
            lambda service, model: None,
        )
        owner.open_submissions = play.entries
        owner._start_waiting()
        await asyncio.sleep(0)
        for task in owner._tasks:
            task.cancel()
        await asyncio.gather(*owner._tasks, return_exceptions=True)
        return started, owner

    return start


class TestStartWaiting:
    @pytest.mark.parametrize(
        ('in_force', 'first'), [(True, 's2'), (False, 's1')]
    )
    async def test_small_organisation_starts_before_a_large_one(
        self, start_items, in_force, first
    ):
        # Guards against a leader that ignores the fair order, and against
        # another order where the manifest has no organisations.
        play = test_fairorder.Play(in_force, engines=1)
        play.submit('large', groups=10)
        play.submit('small', groups=1, items=2)
        started, _ = await start_items(play)
        assert len(started) == 4
        assert started[0] == first

    async def test_cancelled_runs_cost_nothing(self, start_items):
        # Guards against charges for runs that generated nothing.
        play = test_fairorder.Play(True, engines=1)
        play.submit('a', groups=1)
        _, owner = await start_items(play)
        assert owner.fair_order._queue.get_progress('a') == 0.0
