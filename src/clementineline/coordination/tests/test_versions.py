"""The engines that load a model's versions."""

import types

import pytest

from clementineline.coordination import directory
from clementineline.coordination import placement
from clementineline.coordination.tests import test_fairorder
from clementineline.coordination import versions
from clementineline import errors
from clementineline.state import directory as records
from clementineline.state import routes

SLOTS = 6
ITEMS = 16
MODELS = ('m0', 'm1')
SERVICE = routes.ServiceTarget('lm', 50, MODELS, SLOTS)


def build_engine(name):
    return directory.EndpointState(
        records.EndpointRecord(
            name, 'lm', '10.0.0.1:80', 'z', SLOTS, False, 0.0, {}, 0
        )
    )


def build_submission(model, items=ITEMS):
    item = types.SimpleNamespace(length_hint=20.0, tokens=0)
    return types.SimpleNamespace(
        model=model, version_min=1, items=[item] * items
    )


@pytest.fixture
def engines(clock, log):
    """Return a directory of 60 engines."""
    known = directory.Directory(lambda name, value: value, clock, log)
    for number in range(60):
        known.add(build_engine(f'e{number:02d}'))
    return known


@pytest.fixture
def updater(engines, log):
    return versions.VersionUpdater(
        'keeper-1',
        engines,
        None,
        None,
        None,
        lambda: None,
        lambda model: False,
        lambda model: placement.ModelDemand(),
        lambda: None,
        0.0,
        log,
    )


def assign(updater):
    """Assign the engines of the service; return the ids by model."""
    assignment = updater._assign(SERVICE, updater._index_engines(SERVICE))
    found = {}
    for name, model in assignment.items():
        found.setdefault(model, set()).add(name)
    return found


class TestAssignment:
    """A fleet may have far more engines than its trainers can use."""

    def test_all_engines_are_assigned_until_the_needs_are_known(self, updater):
        updater.note_submission(build_submission('m0'))
        assert sum(len(names) for names in assign(updater).values()) == 60
        assert updater.list_assigned('lm', 'm0') is None

    def test_engines_beyond_the_needs_load_nothing(self, updater):
        for model in MODELS:
            updater.note_submission(build_submission(model))
        needed = placement.count_engines_needed(ITEMS, SLOTS)
        found = assign(updater)
        assert {model: len(found[model]) for model in MODELS} == {
            'm0': needed,
            'm1': needed,
        }
        listed = updater.list_assigned('lm', 'm1')
        assert {state.id for state in listed} == found['m1']

    def test_engine_that_leaves_is_replaced(self, updater, engines):
        for model in MODELS:
            updater.note_submission(build_submission(model))
        before = assign(updater)
        gone = min(before['m0'])
        engines.apply([], [gone], False, False)
        after = assign(updater)
        assert len(after['m0']) == len(before['m0'])
        assert before['m0'] - after['m0'] == {gone}
        assert after['m1'] == before['m1']
        assert gone not in {
            state.id for state in updater.list_assigned('lm', 'm0')
        }

    def test_larger_steps_get_more_engines(self, updater):
        for model in MODELS:
            updater.note_submission(build_submission(model))
        before = assign(updater)
        updater.note_submission(build_submission('m0', 2 * ITEMS))
        after = assign(updater)
        assert len(after['m0']) == 2 * len(before['m0'])
        assert before['m0'] < after['m0']

    def test_all_engines_are_used_if_the_needs_exceed_them(self, updater):
        for model in MODELS:
            updater.note_submission(build_submission(model, 100))
        assert sum(len(names) for names in assign(updater).values()) == 60
        assert updater.list_assigned('lm', 'm0') is None


class TestOrganisations:
    """Organisations with a model each, where the engines are not enough."""

    @pytest.mark.parametrize(
        ('in_force', 'shares'),
        [(True, {'m0': 51, 'm1': 9}), (False, {'m0': 55, 'm1': 5})],
    )
    async def test_small_organisation_gets_the_engines_it_needs(
        self, updater, engines, in_force, shares
    ):
        # Guards against shares by work alone, with which the steps of all
        # organisations are late alike; and against others where the manifest
        # has no organisations.
        table = test_fairorder.build_table(in_force)
        updater._get_routes = lambda: table
        for state in engines.endpoints.values():
            state.pace_s = 0.04
        for model, tokens in (('m0', 900.0), ('m1', 90.0)):
            # Eight engines generate 9,000 tokens until a step is due.
            item = types.SimpleNamespace(length_hint=tokens, tokens=0)
            updater.note_submission(
                types.SimpleNamespace(
                    model=model,
                    organisation=model,
                    route='r',
                    version_min=1,
                    items=[item] * 100,
                )
            )
        assert {
            model: len(names) for model, names in assign(updater).items()
        } == shares


class FakeTerm:
    """A term whose lease is acquired again during a wait."""

    def __init__(self):
        self.fence = 7

    def holds(self):
        return True


class TestOrders:
    async def test_order_with_an_earlier_token_is_not_sent(self, updater):
        """An engine would get a lower fencing token after a higher one."""
        term = FakeTerm()
        closed = []

        async def acquire(state, purpose, wait_s, **options):
            term.fence = 8
            return types.SimpleNamespace(close=lambda: closed.append(True))

        updater._term = term
        updater._pool = types.SimpleNamespace(acquire=acquire)
        with pytest.raises(errors.NotReady, match='token 7'):
            await updater._call(build_engine('e'), 'order', None, b'', 7)
        assert closed
