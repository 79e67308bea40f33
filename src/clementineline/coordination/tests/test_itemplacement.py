import pytest

from clementineline.coordination import completion
from clementineline.coordination import costs
from clementineline.coordination import itemplacement
from clementineline.coordination import itemruns
from clementineline.coordination.tests import placementload
from clementineline.coordination.tests import test_completion
from clementineline.state import submissions

KIND = ('batch', 'm0')
FAST, SLOW = 1.0, 0.4


def build_run(name, hint, group='g', events=0):
    item = submissions.Item(name, '/', (), b'', 0, group, hint)
    return itemruns.ItemRun(item, kind=KIND, texts=['x'] * events)


@pytest.fixture
def engines():
    return [placementload.build_state(name, 2) for name in ('fast', 'slow')]


@pytest.fixture
def place(engines):
    """Return a function that places the runs of one round."""
    model = test_completion.build_model(engines)
    for number in range(costs.SAMPLES_MAX):
        model.costs.learn(KIND, 20 + number, 20 + number)
    rated = {'fast': FAST, 'slow': SLOW}
    view = completion.ServiceView(rated, True, 0.0)

    def place(runs, now=0.0, excluded=(), fits=None):
        placer = itemplacement.ItemPlacer(
            engines, 'm0', 1, now, None, view, model, 0.04, 1
        )
        chosen = []
        for run in runs:
            choice = placer.choose(run, excluded, fits)
            if placer.waits and run.waits_since is None:
                run.waits_since = now
            chosen.append(choice and choice.state.id)
        return chosen

    return place


class TestItemPlacer:
    def test_long_items_get_fast_engines_and_short_ones_slow_engines(
        self, place
    ):
        """Guards against a step whose longest item is on a slow engine."""
        runs = [build_run(f'i{n}', hint) for n, hint in enumerate((200, 180))]
        runs += [build_run(f's{n}', 20) for n in range(3)]
        assert place(runs) == ['fast', 'fast', 'slow', 'slow', None]

    def test_long_item_waits_shortly_for_a_fast_engine(self, place, engines):
        """Guards against a long item on a slow engine at a step's end."""
        # Two items with two and with 150 tokens left.
        engines[0].item_runs = {
            build_run('a', 100, events=98),
            build_run('b', 200, events=50),
        }
        assert place([build_run('i', 150)]) == [None]
        assert place([build_run('i', 150), build_run('s', 20)]) == [
            None,
            'slow',
        ]

    def test_short_item_does_not_wait(self, place, engines):
        """Guards against slow engines that stay idle."""
        engines[0].item_runs = {
            build_run('a', 100, events=60),
            build_run('b', 100, events=60),
        }
        assert place([build_run('s', 20)]) == ['slow']

    def test_wait_ends_if_the_slot_does_not_become_free(self, place, engines):
        """Guards against an item that waits for a wrong estimate."""
        engines[0].item_runs = {
            build_run('a', 100, events=98),
            build_run('b', 100, events=98),
        }
        run = build_run('i', 150)
        assert place([run]) == [None]
        later = itemplacement.WAIT_MAX_S + 0.1
        assert place([run], now=later) == ['slow']

    def test_tie_goes_to_the_engine_with_the_prompt(self, place, engines):
        """Guards against a prompt that is processed on each engine."""
        engines[1].record = engines[0].record.__class__(
            'fast2', 'lm', '10.0.0.1:80', 'a', 4, False, 0.0, {'m0': 1}, 0
        )
        engines[0].speed = engines[1].speed
        engines[1].item_runs = {build_run('a', 100, 'mine')}
        engines.append(placementload.build_state('other', 2))
        runs = [build_run('i', 100, 'mine'), build_run('j', 100, 'new')]
        assert place(runs)[0] == 'fast2'
        assert place(runs)[1] != 'fast2'

    def test_engine_without_memory_or_excluded_is_kept_for_others(self, place):
        """Guards against engines that one large item takes off the list."""
        run = build_run('i', 30)
        assert place([run], excluded={'fast', 'slow'}) == [None]
        assert run.waits_since is None
        large = place([run], fits=lambda state: state.id == 'slow')
        assert large == ['slow']


class TestAgainstLeastLoaded:
    @pytest.mark.parametrize('trouble', ['', 'wrong hints', 'changed speeds'])
    def test_no_worse_on_the_same_load(self, trouble):
        """Guards against estimates that cost more than they bring."""
        mean = {}
        for policy in ('least loaded', 'expected completion'):
            taken = []
            for seed in range(2):
                load = placementload.ItemLoad(policy, 11, seed, 25, trouble)
                taken += load.run_steps(8)
            mean[policy] = sum(taken) / len(taken)
        assert mean['expected completion'] < 1.05 * mean['least loaded']
