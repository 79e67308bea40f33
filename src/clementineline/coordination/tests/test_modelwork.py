"""Tests of the parts that organisations have of a service's engines."""

import pytest

from clementineline.coordination import modelwork
from clementineline.coordination import placement

MODELS = ('m0', 'm1', 'm2')


@pytest.fixture
def work():
    """Return steps of a large organisation and of a small one."""
    found = modelwork.ModelWork()
    found.note('m0', 'large', 900.0, 10.0, 0.0)
    found.note('m1', 'small', 100.0, 10.0, 0.0)
    return found


class TestModelWork:
    def test_sufficient_capacity_is_divided_by_work(self, work):
        # Guards against changed shares while there is room for all.
        assert work.estimate(MODELS, 200.0, 1.0) == {'m0': 900.0, 'm1': 100.0}
        assert work.estimate(MODELS, None, 1.0) == {'m0': 900.0, 'm1': 100.0}

    def test_small_organisation_gets_what_its_step_needs(self, work):
        # Guards against steps of all organisations that are late alike.
        found = work.estimate(MODELS, 50.0, 1.0)
        shares = placement.share_engines(5, found, {})
        assert shares == {'m0': 4, 'm1': 1}
        engines = 20
        by_work = placement.share_engines(engines, {'m0': 900, 'm1': 100}, {})
        shares = placement.share_engines(engines, found, {})
        # 20 engines for 50 tokens a second: 10 of them need 4 engines.
        assert (by_work['m1'], shares['m1']) == (2, 5)

    def test_trainers_divide_the_share_of_their_organisation(self, work):
        # Guards against shares by the number of trainers.
        work.note('m2', 'large', 900.0, 10.0, 0.0)
        found = work.estimate(MODELS, 20.0, 1.0)
        assert found['m0'] == found['m2']
        assert found['m0'] + found['m2'] == pytest.approx(900.0 * 0.1, rel=0.4)
        assert found['m1'] > 50.0

    def test_organisations_that_share_a_model_add_up(self, work):
        # Guards against a shared model that counts as one trainer's.
        work.note('m0', 'small', 100.0, 10.0, 0.0)
        assert work.estimate(MODELS, 500.0, 1.0)['m0'] == 1000.0

    def test_stopped_trainer_needs_no_engines(self, work):
        # Guards against engines that are kept for a trainer that has stopped.
        work.note('m1', 'small', 100.0, 10.0, 100.0)
        assert work.estimate(MODELS, 50.0, 101.0) == {'m1': 100.0}
