import asyncio
import types

import pytest

from clementineline.coordination import itemruns
from clementineline.coordination import members
from clementineline.coordination import texts
from clementineline.protocol import asking
from clementineline.state import questions
from clementineline.transport import frames


def build_part(first, events, item_id='i1', run_id='r1', submission='s1'):
    return questions.TextPart(submission, item_id, run_id, first, events, [1])


class TestTextCache:
    """Guards against texts with gaps or with events of different runs.

    They arise if a part is joined to a text that lacks the part before it, or
    that another owner's run generated.
    """

    def test_consecutive_parts_are_joined(self):
        cache = texts.TextCache()
        cache.extend(build_part(0, ['a', 'b']))
        cache.extend(build_part(2, ['c']))
        assert cache.take('i1').events == ['a', 'b', 'c']
        assert cache.take('i1') is None

    def test_part_after_a_gap_is_ignored(self):
        cache = texts.TextCache()
        cache.extend(build_part(0, ['a']))
        cache.extend(build_part(2, ['c']))
        assert cache.take('i1').events == ['a']

    def test_shorter_text_does_not_replace_longer_one(self):
        cache = texts.TextCache()
        cache.extend(build_part(0, ['a', 'b', 'c']))
        cache.extend(build_part(0, ['a']))
        assert cache.take('i1').events == ['a', 'b', 'c']

    def test_events_of_two_runs_are_not_joined(self):
        # Parts of another owner's run were appended to a cached text, which
        # broke the order of the item's events (wbm-smoke, store-troubles,
        # seed 517899397980).
        cache = texts.TextCache()
        cache.extend(build_part(0, ['a', 'b', 'c'], run_id='r1'))
        cache.extend(build_part(2, ['c', 'd', 'e'], run_id='r2'))
        assert cache.take('i1').events == ['a', 'b', 'c']

    def test_later_submission_replaces_a_longer_text(self):
        cache = texts.TextCache()
        cache.extend(build_part(0, ['a', 'b', 'c']))
        cache.extend(build_part(0, ['a'], run_id='r2', submission='s2'))
        cache.extend(build_part(1, ['b'], run_id='r2', submission='s2'))
        kept = cache.take('i1')
        assert (kept.submission_id, kept.events) == ('s2', ['a', 'b'])

    def test_whole_text_replaces_parts_and_is_not_replaced(self):
        cache = texts.TextCache()
        cache.extend(build_part(0, ['a', 'b', 'c']))
        cache.put('i1', texts.CachedText('s1', '', ['a\nb'], [1], True))
        cache.extend(build_part(0, ['a', 'b', 'c', 'd']))
        assert cache.take('i1').whole

    def test_oldest_text_is_evicted(self, monkeypatch):
        monkeypatch.setattr(texts, 'TEXTS_MAX', 2)
        cache = texts.TextCache()
        for name in 'abc':
            cache.extend(build_part(0, ['x'], name))
        assert cache.take('a') is None
        assert cache.take('c') is not None


@pytest.fixture
async def keepers(log):
    """Serve two keepers' caches; yield a registry of them and the caches."""
    known = members.MemberRegistry('me', '127.0.0.1:1', True, None, log)
    caches = {}
    servers = []
    for name in ('k1', 'k2'):
        cache = caches[name] = texts.TextCache()

        async def serve(stream, cache=cache):
            async def answer(question):
                return texts.answer_texts(cache, question)

            await asking.serve_questions(stream, questions.Question, answer)

        server = await frames.start_server(
            frames.Address('127.0.0.1', 0), serve
        )
        servers.append(server)
        port = server.sockets[0].getsockname()[1]
        known.addresses[name] = f'127.0.0.1:{port}'
        known.keepers.add(name)
    yield known, caches
    for server in servers:
        server.close()


class TestTextReplicator:
    """Guards against a new owner that loses texts or starts late.

    It must collect the texts from all keepers, but not wait for an unreachable
    one, which is often the previous owner.
    """

    async def test_gathers_the_longest_text_of_the_submissions(
        self, keepers, log
    ):
        known, caches = keepers
        caches['k1'].extend(build_part(0, ['a']))
        caches['k2'].extend(build_part(0, ['a', 'b']))
        caches['k2'].put('i2', texts.CachedText('other', 'r', ['x'], [1]))
        known.addresses['dead'] = '127.0.0.1:9'
        known.keepers.add('dead')
        own = texts.TextCache()
        await texts.TextReplicator(known, log).gather(['s1'], own)
        assert own.take('i1').events == ['a', 'b']
        assert own.take('i2') is None

    async def test_silent_last_keeper_is_waited_for_briefly(
        self, keepers, log, monkeypatch
    ):
        # The wait for the previous leader delayed each change of the leader
        # by 0.4 s (incident inc-bf95).
        monkeypatch.setattr(texts, 'KEEPER_TIMEOUT_S', 60.0)
        monkeypatch.setattr(texts, 'LAST_KEEPER_WAIT_S', 0.01)
        known, caches = keepers
        caches['k1'].extend(build_part(0, ['a']))
        silent = await asyncio.start_server(
            lambda reader, writer: None, '127.0.0.1', 0
        )
        port = silent.sockets[0].getsockname()[1]
        known.addresses['k3'] = f'127.0.0.1:{port}'
        known.keepers.add('k3')
        replicator = texts.TextReplicator(known, log)
        own = texts.TextCache()
        async with asyncio.timeout(10):
            await replicator.gather(['s1'], own)
        assert own.take('i1').events == ['a']
        # The cancelled question must not block a later one.
        assert not replicator._clients['k3']._lock.locked()
        silent.close()

    async def test_sends_new_events_only_unless_the_run_is_new(
        self, keepers, log
    ):
        known, _ = keepers
        replicator = texts.TextReplicator(known, log)
        run = itemruns.ItemRun(
            types.SimpleNamespace(id='i1'),
            run_id='r1',
            texts=['a'],
            versions=[1],
        )
        first = replicator._collect([('s1', run)])
        run.texts.extend(['b', 'c'])
        second = replicator._collect([('s1', run)])
        assert (first[0].first, first[0].events) == (0, ['a'])
        assert (second[0].first, second[0].events) == (1, ['b', 'c'])
        assert replicator._collect([('s1', run)]) == []
        run.run_id = 'r2'
        run.texts.append('d')
        (again,) = replicator._collect([('s1', run)])
        assert (again.first, again.events) == (0, ['a', 'b', 'c', 'd'])

    async def test_text_that_waits_for_its_score_is_sent_once_as_whole(
        self, keepers, log
    ):
        known, caches = keepers
        replicator = texts.TextReplicator(known, log)
        run = itemruns.ItemRun(
            types.SimpleNamespace(id='i1'),
            run_id='r1',
            texts=['a', 'b'],
            versions=[1],
        )
        await replicator.send([('s1', run)])
        run.whole = True
        await replicator.send([('s1', run)])
        for cache in caches.values():
            cached = cache.take('i1')
            assert (cached.whole, cached.events) == (True, ['a\nb'])
        assert replicator._collect([('s1', run)]) == []
