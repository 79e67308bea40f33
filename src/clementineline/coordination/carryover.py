"""What is held of items, handed from one owner or submission to the next."""

from clementineline.coordination import texts
from clementineline.state import submissions

__all__ = ['keep_texts', 'take_text']


def take_text(shelf, submission, run, single_version):
    """Give an item the text that is held of it, if it may go on from that.

    :param shelf: the :class:`~texts.TextCache`
    :param submission: the item's :class:`~submissions.Submission`
    :param run: the :class:`~itemruns.ItemRun`
    :param single_version: whether one version must make the whole text
    """
    kept = shelf.take(run.item.id)
    if kept is None:
        return
    run.carried = kept.submission_id != submission.id
    if not kept.events:
        return
    if submission.model:
        if min(kept.versions, default=0) < submission.version_min:
            return
    if single_version and len(kept.versions) != 1:
        return
    run.texts = list(kept.events)
    run.versions = list(kept.versions)
    run.whole = kept.whole


def keep_texts(shelf, entry):
    """Keep what is held of a submission's groups that are not whole.

    :param entry: the :class:`~opensubmissions.OpenSubmission`
    """
    submission_id = entry.submission.id
    groups = {item.id: item.group for item in entry.submission.items}
    broken = {groups[item_id] for item_id in entry.runs}
    broken.update(groups[item_id] for item_id in entry.finished)
    for item_id, run in entry.runs.items():
        kept = texts.CachedText(
            submission_id,
            run.run_id,
            list(run.texts),
            list(run.versions),
        )
        shelf.put(item_id, kept)
    for result in [*entry.results, *entry.finished.values()]:
        if groups.get(result.item_id) not in broken:
            continue
        if result.state != submissions.COMPLETED:
            continue
        kept = texts.CachedText(
            submission_id,
            '',
            [result.text],
            list(result.versions),
            True,
        )
        shelf.put(result.item_id, kept)
