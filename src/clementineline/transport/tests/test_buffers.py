"""Tests of the limit on the bytes that a process holds for others."""

import math

import pytest

from clementineline.transport import buffers

KB = 1024


class Holder:
    """Something that holds bytes and can be ended."""

    def __init__(self, budget, size=0, weight=1.0):
        self.closed = False
        self.hold = budget.open(self.close, weight)
        self.hold.add(size)

    def close(self):
        self.closed = True


@pytest.fixture
def budget():
    return buffers.BufferBudget(1000 * KB)


class TestBufferBudget:
    """Unbounded bytes of some clients would end the process of all others."""

    def test_largest_hold_is_ended(self, budget):
        small, large = Holder(budget, 300 * KB), Holder(budget, 500 * KB)
        assert small.hold.add(100 * KB)
        assert large.closed
        assert large.hold.ended
        assert not small.closed
        assert (budget.used_bytes, budget.ended) == (400 * KB, 1)

    def test_hold_that_is_the_largest_itself_is_ended(self, budget):
        small, large = Holder(budget, 300 * KB), Holder(budget)
        assert not large.hold.add(800 * KB)
        assert not small.closed
        assert budget.used_bytes == 300 * KB

    def test_released_holds_hold_nothing(self, budget):
        for _ in range(10):
            holder = Holder(budget, 600 * KB)
            holder.hold.release()
            holder.hold.release()
        assert (budget.used_bytes, budget.ended) == (0, 0)

    def test_slowest_of_two_is_ended(self, budget):
        slow, fast = Holder(budget, 300 * KB), Holder(budget, 400 * KB)
        slow.hold.started_at -= 10.0
        fast.hold.add(300 * KB)
        assert slow.closed
        assert not fast.closed

    def test_what_may_not_be_ended_is_kept(self, budget):
        """A request that an endpoint has got is never ended."""
        forwarded = budget.open()
        forwarded.add(600 * KB)
        late = Holder(budget, 500 * KB)
        assert late.closed
        assert not forwarded.ended
        assert budget.used_bytes == 600 * KB

    def test_small_hold_has_room_beside_large_ones(self, budget):
        for _ in range(20):
            Holder(budget, 170 * KB)
        small = Holder(budget, 60 * KB)
        assert not small.closed
        assert budget.used_bytes <= budget.limit_bytes

    def test_no_limit(self):
        unlimited = Holder(buffers.BufferBudget(math.inf), 1 << 40)
        assert not unlimited.closed
