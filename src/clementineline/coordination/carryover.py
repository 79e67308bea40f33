"""Reuse of the texts of items by a new owner or a later submission."""

from clementineline.coordination import texts
from clementineline.state import submissions

__all__ = ['keep_texts', 'restore_text']


def restore_text(text_cache, submission, run, single_version):
    """Restore the cached text of an item, if the item may continue from it.

    :param text_cache: the :class:`~texts.TextCache`
    :param submission: the item's :class:`~submissions.Submission`
    :param run: the :class:`~itemruns.ItemRun`
    :param single_version: whether one weights version must generate the
        whole text
    """
    cached = text_cache.take(run.item.id, submission.organisation)
    if cached is None:
        return
    run.carried = cached.submission_id != submission.id
    if not cached.events:
        return
    if submission.model:
        if min(cached.versions, default=0) < submission.version_min:
            return
    if single_version and len(cached.versions) != 1:
        return
    run.texts = list(cached.events)
    run.versions = list(cached.versions)
    run.whole = cached.whole


def keep_texts(text_cache, open_submission):
    """Cache the texts of a submission's incomplete groups.

    :param open_submission: the :class:`~opensubmissions.OpenSubmission`
    """
    submission_id = open_submission.submission.id
    organisation = open_submission.submission.organisation
    groups = {item.id: item.group for item in open_submission.submission.items}
    incomplete = {groups[item_id] for item_id in open_submission.runs}
    incomplete.update(groups[item_id] for item_id in open_submission.finished)
    for item_id, run in open_submission.runs.items():
        cached = texts.CachedText(
            submission_id,
            run.run_id,
            run.list_events(),
            list(run.versions),
            run.whole,
            organisation,
        )
        text_cache.put(item_id, cached)
    for result in [
        *open_submission.results,
        *open_submission.finished.values(),
    ]:
        if groups.get(result.item_id) not in incomplete:
            continue
        if result.state != submissions.COMPLETED:
            continue
        cached = texts.CachedText(
            submission_id,
            '',
            [result.text],
            list(result.versions),
            True,
            organisation,
        )
        text_cache.put(result.item_id, cached)
