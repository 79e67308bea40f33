"""Tests of the limit on the bytes of unfinished responses."""

import pytest

from clementineline import errors
from clementineline.transport import buffers


class FakeClient:
    def __init__(self):
        self.closed = False

    def close(self):
        self.closed = True


@pytest.fixture
def budget():
    return buffers.BufferBudget(100)


class TestBufferBudget:
    def test_largest_response_is_ended(self, budget):
        small, large = FakeClient(), FakeClient()
        budget.add(small, 30)
        budget.add(large, 60)
        budget.add(small, 20)
        assert large.closed
        assert not small.closed
        assert (budget.used_bytes, budget.ended) == (50, 1)

    def test_response_that_is_the_largest_itself_is_an_error(self, budget):
        small, large = FakeClient(), FakeClient()
        budget.add(small, 30)
        with pytest.raises(errors.ProtocolError, match='100 bytes'):
            budget.add(large, 80)
        assert budget.used_bytes == 30

    def test_ended_responses_hold_nothing(self, budget):
        for _ in range(10):
            client = FakeClient()
            budget.add(client, 60)
            budget.remove(client)
            budget.remove(client)
        assert (budget.used_bytes, budget.ended) == (0, 0)
