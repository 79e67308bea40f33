import random

import pytest

from clementineline.coordination import costs

KIND = ('batch', 'm0')


def learn_items(model, count, hint_spread=0.3, seed=1, informative=True):
    """Learn items whose lengths vary by a factor of ten."""
    draw = random.Random(seed)
    for _ in range(count):
        length = 40 * 10 ** draw.random()
        hint = length * draw.lognormvariate(0, hint_spread)
        if not informative:
            hint = 40 * 10 ** draw.random()
        model.learn(KIND, hint, length)


class TestEstimate:
    def test_hint_counts_until_enough_items_are_known(self):
        """Guards against estimates from a handful of short first items."""
        model = costs.CostModel()
        learn_items(model, costs.SAMPLES_MIN - 1)
        estimate = model.estimate(KIND, 300)
        assert not estimate.learned
        assert estimate.tokens == pytest.approx(300)
        assert estimate.p90 > estimate.tokens

    def test_estimate_follows_how_far_hints_were_off(self):
        """Guards against a work order that trusts hints half as large."""
        model = costs.CostModel()
        for length in range(50, 150):
            model.learn(KIND, length / 2, length)
        assert model.estimate(KIND, 40).tokens == pytest.approx(80)

    def test_hints_that_say_nothing_are_ignored(self):
        """Guards against waits for fast engines because of wrong hints."""
        model = costs.CostModel()
        learn_items(model, 200, informative=False)
        short = model.estimate(KIND, 40)
        assert short.tokens == model.estimate(KIND, 400).tokens
        assert model.find_predictable_spread(KIND) == 1.0

    def test_hints_that_inform_show_the_spread(self):
        """Guards against a rule that never finds work of different size."""
        model = costs.CostModel()
        learn_items(model, 200)
        assert model.find_predictable_spread(KIND) > 2

    def test_prompt_in_memory_costs_nothing(self):
        """Guards against counting a prompt that the endpoint holds."""
        model = costs.CostModel()
        for _ in range(100):
            model.learn_prefill(KIND, 1000, 50)
        held, new = model.estimate(KIND, 40), model.estimate(KIND, 40, 1000)
        assert new.tokens - held.tokens == pytest.approx(50, rel=0.05)

    @pytest.mark.parametrize('bad', [0, -1, float('inf'), float('nan')])
    def test_impossible_values_are_left_out(self, bad):
        """Guards against a hint or cost that spoils all estimates."""
        model = costs.CostModel()
        for _ in range(costs.SAMPLES_MIN):
            model.learn(KIND, bad, bad)
            model.learn(KIND, bad, 60)
        assert model.estimate(KIND, bad).tokens == pytest.approx(60)


class TestRemaining:
    def test_overdue_run_is_not_expected_to_end_now(self):
        """Guards against work left of 0 while a long run goes on."""
        model = costs.CostModel()
        learn_items(model, 200)
        estimate = model.estimate(KIND, 100)
        assert costs.remaining(estimate, 0) == estimate.tokens
        late = costs.remaining(estimate, 500)
        assert late >= 200
        assert costs.remaining(estimate, 1000) > late

    def test_work_left_shrinks_within_the_usual_length(self):
        """Guards against engines that look full until their last event."""
        model = costs.CostModel()
        learn_items(model, 200)
        estimate = model.estimate(KIND, 100)
        assert costs.remaining(estimate, 50) < 0.7 * estimate.tokens


class TestBounds:
    def test_kinds_are_bounded_and_the_oldest_goes(self):
        """Guards against memory that grows with names in manifests."""
        model = costs.CostModel()
        for number in range(costs.KINDS_MAX + 10):
            model.learn(number, 0, 1)
            model.learn(KIND, 0, 1)
        assert len(model) == costs.KINDS_MAX

    def test_changed_workload_is_forgotten(self):
        """Guards against estimates from a workload that is long over."""
        model = costs.CostModel()
        for cost in (10, 100):
            for _ in range(costs.SAMPLES_MAX):
                model.learn(KIND, 0, cost)
        assert model.estimate(KIND).tokens == 100
