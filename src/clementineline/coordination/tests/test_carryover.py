"""Tests of the reuse of the texts of items.

A new owner or a later submission must not continue from a text whose weights
versions the submission does not allow.
"""

import msgspec
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


class TestRestoreText:
    @pytest.mark.parametrize(
        ('versions', 'version_min', 'single', 'restored'),
        [
            ([2], 2, False, True),
            ([2, 3], 2, False, True),
            ([1, 2], 2, False, False),
            ([2], 2, True, True),
            ([2, 3], 2, True, False),
        ],
    )
    def test_text_is_restored_only_if_its_versions_fit(
        self, versions, version_min, single, restored
    ):
        text_cache = texts.TextCache()
        text_cache.put(
            'i0', texts.CachedText('s0', 'r1', ['a', 'b'], versions)
        )
        submission = build_submission(version_min=version_min)
        run = build_run(submission)
        carryover.restore_text(text_cache, submission, run, single)
        assert run.texts == (['a', 'b'] if restored else [])
        # The group has priority even if the text is not reused.
        assert run.carried

    @pytest.mark.parametrize(
        ('owner', 'restored'), [('north', True), ('south', False), ('', False)]
    )
    def test_text_is_restored_only_within_one_organisation(
        self, owner, restored
    ):
        # The result of one organisation would hold the text of another one.
        text_cache = texts.TextCache()
        for name in ('north', 'east'):
            kept = texts.CachedText('s0', 'r1', [name], [1], organisation=name)
            text_cache.put('i0', kept)
        submission = msgspec.structs.replace(
            build_submission(), organisation=owner
        )
        run = build_run(submission)
        carryover.restore_text(text_cache, submission, run, False)
        assert run.texts == (['north'] if restored else [])
        assert run.carried == restored

    def test_text_of_the_same_submission_is_not_carried(self):
        text_cache = texts.TextCache()
        text_cache.put('i0', texts.CachedText('s1', 'r1', ['a'], [1]))
        submission = build_submission()
        run = build_run(submission)
        carryover.restore_text(text_cache, submission, run, False)
        assert (run.texts, run.carried) == (['a'], False)


class TestKeepTexts:
    def test_texts_of_incomplete_groups_are_kept(self):
        submission = build_submission()
        open_submission = opensubmissions.OpenSubmission(
            ledger.SubmissionRecord(submission, False)
        )
        run = build_run(submission)
        run.texts, run.versions = ['a'], [1]
        open_submission.runs['i0'] = run
        for item_id in ('i1', 'i2', 'i3'):
            open_submission.results.append(
                submissions.Result(item_id, submissions.COMPLETED, 'x', (1,))
            )
        text_cache = texts.TextCache()
        carryover.keep_texts(text_cache, open_submission)
        assert text_cache.take('i0').events == ['a']
        assert text_cache.take('i1').whole
        assert text_cache.take('i2') is None
