"""Tests of length prediction and of the queue order based on it."""

import asyncio

import pytest

from clementineline.coordination import prediction
from clementineline.coordination import waiting


@pytest.fixture
def predictor():
    return prediction.LengthPredictor()


class TestLengthPredictor:
    """Estimates come from the prompt, then the share, up to the limit."""

    def test_limit_bounds_default_estimate(self, predictor):
        assert predictor.predict('p', 'live', 10) == 10

    def test_few_long_samples_do_not_change_share_median(self, predictor):
        for number in range(20):
            tokens = 800 if number % 10 == 0 else 40
            predictor.learn(f'p{number}', 'trainer', tokens)
        assert predictor.predict('new', 'trainer', 0) == 40

    def test_finished_sample_of_prompt_sets_estimate(self, predictor):
        predictor.learn('long', 'trainer', 800)
        predictor.learn('short', 'trainer', 40)
        assert predictor.predict('long', 'trainer', 0) > 700

    def test_running_sample_raises_estimate(self, predictor):
        predictor.raise_estimate('p', 100)
        predictor.raise_estimate('p', 50)
        assert predictor.has_estimate('p')
        assert predictor.predict('p', 'trainer', 0) == 200


class TestWaitingQueue:
    """Samples move forward when another of their prompt is long."""

    async def test_reordered_samples_are_taken_once(self):
        queue = waiting.WaitingQueue()
        loop = asyncio.get_running_loop()
        requests = []
        for number in range(4):
            request = waiting.WaitingRequest(
                str(number),
                'trainer',
                1.0,
                (0, 1, -40.0),
                '',
                1,
                loop.create_future(),
                prompt_key='long' if number > 1 else 'short',
            )
            requests.append(request)
            queue.add(request)
        queue.reorder('long', (0, 1, -800.0))
        taken = []
        while (request := queue.peek('trainer')) is not None:
            queue.take(request)
            request.future.set_result(None)
            taken.append(request.id)
        assert taken == ['2', '3', '0', '1']
        assert len(queue) == 0
