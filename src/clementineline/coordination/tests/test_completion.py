import random

import pytest

from clementineline.coordination import completion
from clementineline.coordination import costs
from clementineline.coordination import endpointchoice
from clementineline.coordination import itemplacement
from clementineline.coordination import placement
from clementineline.coordination.tests import placementload


class Log:
    def info(self, event, **fields):
        pass


def build_model(states, speeds=None, enabled=True):
    """Build a model that has learned calls of 25 ms, and given speeds."""
    model = completion.CompletionModel(
        lambda service: states, 'a', Log(), enabled
    )
    for _ in range(100):
        model.costs.learn(('call', 'r'), 0, 0.025)
    if speeds is not None:
        rated = {
            state.id: speed
            for state, speed in zip(states, speeds, strict=True)
        }
        view = completion.ServiceView(rated, True, 0.0)
        model._views['lm'] = view
    return model


def choose(model, states, now=0.0, tried=(), unlimited=False):
    return model.choose_for_call('lm', 'r', states, tried, now, unlimited)


class TestRule:
    @pytest.mark.parametrize(
        ('speeds', 'worthwhile'),
        [([], False), ([1.0, 1.2], False), ([0.9, 1.2], True)],
    )
    def test_lasting_speeds_must_differ(self, speeds, worthwhile):
        """Guards against a change of placement where nothing is gained."""
        assert completion.is_worthwhile(speeds) is worthwhile

    def test_predictable_work_alone_is_not_enough(self):
        """Guards against other choices among endpoints of one speed.

        On restrepo, whose engines have one speed and whose items differ by a
        factor of ten, expected completion served no step better than load.
        """
        states = [placementload.build_state(name, 8) for name in 'ab']
        model = completion.CompletionModel(lambda service: states, 'a', Log())
        for number in range(64):
            cost = (20.0 if number % 4 else 400.0) + number % 5
            model.costs.learn(('r', 'm0'), cost, cost)
        model._kinds['lm'].add(('r', 'm0'))
        assert model.costs.find_predictable_spread(('r', 'm0')) > 2
        assert not model.get_view('lm', 0.0).in_effect

    def test_settings_turn_it_off(self):
        """Guards against a setting without effect."""
        states = [placementload.build_state(name, 6) for name in 'ab']
        assert choose(build_model(states, [1.0, 0.4]), states) is not None
        assert choose(build_model(states, [1.0, 0.4], False), states) is None


class TestSameChoices:
    """Services that do not fulfil the rule are placed as before."""

    def build_loaded_states(self, seed):
        draw = random.Random(seed)
        states = [placementload.build_state(f'e{n}', 6) for n in range(8)]
        for state in states:
            state.in_flight = draw.randrange(8)
            state.other_requests = draw.randrange(4)
            state.load_at = draw.uniform(-2, 0)
            state.slowness = draw.choice([1.0, 1.0, 2.5])
            state.pace_s = draw.choice([None, 0.04, 0.1])
            state.backoff_until = draw.choice([0.0, 0.0, 9.0])
            for number in range(9):
                state.speed.add(draw.gauss(0, 1), number)
        return states

    def choose_calls(self, model, states):
        """Return the choices, and what the random numbers are after them."""
        random.seed(7)
        chosen = []
        for _ in range(200):
            if model is None:
                state = endpointchoice.choose_endpoint(
                    states, ['e1'], 'a', 0.0
                )
            else:
                state, _ = endpointchoice.place_call(
                    model, 'lm', 'r', states, ['e1'], 'a', 0.0
                )
            state.in_flight += 1
            chosen.append(state.id)
        return chosen, random.getstate()

    @pytest.mark.parametrize('seed', range(10))
    def test_calls(self, seed):
        """Guards against choices that differ, or use other random numbers."""
        states = self.build_loaded_states(seed)
        before = self.choose_calls(None, states)
        states = self.build_loaded_states(seed)
        assert self.choose_calls(build_model(states), states) == before

    @pytest.mark.parametrize('seed', range(10))
    def test_items(self, seed):
        """Guards against other engines for the items of a step."""
        chosen = []
        for build in (placement.EngineShortlist, None):
            states = self.build_loaded_states(seed)
            model = build_model(states)
            if build is None:
                found = itemplacement.build_placer(
                    model, states, 'm0', 1, 0.0, None, None, None
                )
            else:
                found = build(states, 'm0', 1, 0.0)
            chosen.append([found.choose({'e1'}) for _ in range(60)])
        first, second = chosen
        assert [s and s.id for s in first] == [s and s.id for s in second]


class TestPrefill:
    def test_prompt_is_measured_by_the_first_event(self):
        """Guards against long prompts that count as nothing."""
        states = [placementload.build_state(name, 6) for name in 'ab']
        model = build_model(states)
        for _ in range(100):
            model.costs.learn(('event', 'r', 'm0'), 0, 0.04)
            # 400 ms after the time of one event: ten events of four tokens.
            model.learn_prefill(states[0], 'r', 'm0', 800, 0.44, 4)
        estimate = model.costs.estimate(('r', 'm0'), 10, 800)
        assert estimate.prompt == pytest.approx(40, rel=0.05)


class TestChooseEndpoint:
    def test_fast_endpoint_is_chosen_until_its_wait_is_longer(self):
        """Guards against half the calls at an endpoint half as fast."""
        states = [placementload.build_state(name, 6) for name in 'ab']
        model = build_model(states, [1.0, 0.5])
        assert choose(model, states).state.id == 'a'
        states[0].in_flight = 6
        assert choose(model, states).state.id == 'a'
        states[0].in_flight = 20
        assert choose(model, states).state.id == 'b'

    def test_tie_goes_to_the_local_zone(self):
        """Guards against calls that leave the zone for nothing."""
        states = [placementload.build_state(name, 6) for name in 'ab']
        model = build_model(states, [1.01, 0.99])
        model.zone = 'elsewhere'
        states[1].record = states[1].record.__class__(
            'b', 'lm', '10.0.0.1:80', 'elsewhere', 6, False, 0.0, {}, 0
        )
        assert {choose(model, states).state.id for _ in range(9)} == {'b'}

    def test_momentary_slowness_counts_while_its_report_is_recent(self):
        """Guards against a burst of 600 ms that is avoided for a second."""
        states = [placementload.build_state(name, 6) for name in 'ab']
        model = build_model(states, [1.0, 0.8])
        states[0].slowness = 2.5
        states[0].load_at = -0.1
        assert choose(model, states).state.id == 'b'
        states[0].load_at = -0.6
        assert choose(model, states).state.id == 'a'

    def test_endpoint_in_backoff_is_the_last(self):
        """Guards against calls to a failing endpoint because it is fast."""
        states = [placementload.build_state(name, 6) for name in 'ab']
        model = build_model(states, [1.0, 0.4])
        states[0].backoff_until = 5.0
        assert choose(model, states).state.id == 'b'
        assert choose(model, states, tried=['b']).state.id == 'a'

    def test_limited_endpoint_comes_after_free_slots(self):
        """Guards against requests to an endpoint that asked for few."""
        states = [placementload.build_state(name, 6) for name in 'ab']
        model = build_model(states, [1.0, 0.4])
        limit = type('Limit', (), {})()
        limit.known = type('Known', (), {'named_at': 0.0})()
        states[0].limit = limit
        assert choose(model, states).state.id == 'b'
        states[1].in_flight = 9
        assert choose(model, states).state.id == 'a'
        assert choose(model, states, unlimited=True).state.id == 'b'

    def test_long_running_calls_count_as_more_work(self):
        """Guards against an endpoint whose slots are held by long calls."""
        states = [placementload.build_state(name, 2) for name in 'ab']
        model = build_model(states, [1.0, 1.0])
        for state, started in zip(states, (-1.0, 0.0), strict=True):
            state.in_flight = 3
            state.open_calls = dict.fromkeys(range(3), started)
        assert {choose(model, states).state.id for _ in range(9)} == {'b'}


class TestAgainstLeastLoaded:
    def measure(self, policy, wrong_s=None):
        """Return the mean latency of calls at half load, in seconds.

        :param wrong_s: costs learned before the first call, in seconds
        """
        load = placementload.CallLoad(policy, 3, 0.5)
        for _, model in load.gateways:
            for _ in range(costs.SAMPLES_MAX if wrong_s else 0):
                model.costs.learn(('call', 'r'), 0, wrong_s)
        taken = load.run(40)
        return sum(taken) / len(taken)

    def test_calls_take_less_time_on_uneven_endpoints(self):
        """Guards against learned speeds that no choice gains from."""
        expected = self.measure('expected completion')
        assert expected < 0.97 * self.measure('least loaded')

    @pytest.mark.parametrize('wrong_s', [0.001, 1.0])
    def test_wrong_costs_are_no_worse(self, wrong_s):
        """Guards against costs from another workload that mislead calls."""
        expected = self.measure('expected completion', wrong_s)
        assert expected < 1.03 * self.measure('least loaded')
