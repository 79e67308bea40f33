import pytest

from clementineline.coordination import carryover
from clementineline.coordination import itemruns
from clementineline.coordination import ledger
from clementineline.coordination import opensubmissions
from clementineline.coordination import texts
from clementineline.state import submissions


def build_submission(submission_id='s1', version_min=1, count=4):
    items = tuple(
        submissions.Item(f'i{n}', '/p', (), b'', 1, f'g{n // 2}')
        for n in range(count)
    )
    return submissions.Submission(
        submission_id, 'r', 'lm', 'h', 'm0', version_min, 2, 0, 0.0, items
    )


def build_run(submission, number=0):
    return itemruns.ItemRun(submission.items[number])


class TestTakeText:
    @pytest.mark.parametrize(
        ('versions', 'version_min', 'single', 'taken'),
        [
            ([2], 2, False, True),
            ([2, 3], 2, False, True),
            ([1, 2], 2, False, False),
            ([2], 2, True, True),
            ([2, 3], 2, True, False),
        ],
    )
    def test_versions_must_fit_the_submission(
        self, versions, version_min, single, taken
    ):
        shelf = texts.TextCache()
        shelf.put('i0', texts.CachedText('s0', 'r1', ['a', 'b'], versions))
        submission = build_submission(version_min=version_min)
        run = build_run(submission)
        carryover.take_text(shelf, submission, run, single)
        assert run.texts == (['a', 'b'] if taken else [])
        # Its group comes first all the same.
        assert run.carried

    def test_text_of_the_same_submission_is_not_carried(self):
        shelf = texts.TextCache()
        shelf.put('i0', texts.CachedText('s1', 'r1', ['a'], [1]))
        submission = build_submission()
        run = build_run(submission)
        carryover.take_text(shelf, submission, run, False)
        assert (run.texts, run.carried) == (['a'], False)


class TestKeepTexts:
    def test_groups_that_are_not_whole_are_kept(self):
        submission = build_submission()
        entry = opensubmissions.OpenSubmission(
            ledger.SubmissionRecord(submission, False)
        )
        run = build_run(submission)
        run.texts, run.versions = ['a'], [1]
        entry.runs['i0'] = run
        for item_id in ('i1', 'i2', 'i3'):
            entry.results.append(
                submissions.Result(item_id, submissions.COMPLETED, 'x', (1,))
            )
        shelf = texts.TextCache()
        carryover.keep_texts(shelf, entry)
        assert shelf.take('i0').events == ['a']
        assert shelf.take('i1').whole
        assert shelf.take('i2') is None
