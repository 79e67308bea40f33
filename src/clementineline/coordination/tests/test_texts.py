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


class TestTextCacheLimits:
    def test_oldest_texts_are_evicted_beyond_the_limit_of_bytes(
        self, monkeypatch
    ):
        monkeypatch.setattr(texts, 'TEXTS_BYTES_MAX', 10)
        cache = texts.TextCache()
        for name in ('i1', 'i2', 'i3'):
            cache.extend(build_part(0, ['abcd'], name))
        cache.extend(build_part(1, ['e'], 'i2'))
        assert cache.take('i1') is None
        assert cache.take('i2').events == ['abcd', 'e']
        assert cache.take('i3').events == ['abcd']
        cache.extend(build_part(0, ['0123456789'], 'i4'))
        assert cache.take('i4').events == ['0123456789']


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
        first, sent = replicator._collect([('s1', run)], {})
        run.texts.extend(['b', 'c'])
        second, sent = replicator._collect([('s1', run)], sent)
        assert (first[0].first, first[0].events) == (0, ['a'])
        assert (second[0].first, second[0].events) == (1, ['b', 'c'])
        assert replicator._collect([('s1', run)], sent) == ([], sent)
        run.run_id = 'r2'
        run.texts.append('d')
        (again,), _ = replicator._collect([('s1', run)], sent)
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
        assert sorted(replicator._sent) == ['k1', 'k2']
        for sent in replicator._sent.values():
            assert replicator._collect([('s1', run)], sent) == ([], sent)

    async def test_copies_of_equal_item_ids_are_kept_apart(self, keepers, log):
        # A new leader would join the texts of two organisations.
        known, caches = keepers
        runs = []
        for name in ('north', 'south'):
            run = itemruns.ItemRun(
                types.SimpleNamespace(id='i1'),
                run_id=f'r-{name}',
                texts=[name],
                versions=[1],
                organisation=name,
            )
            runs.append((f's-{name}', run))
        replicator = texts.TextReplicator(known, log)
        await replicator.send(runs)
        assert all(
            not replicator._collect(runs, sent)[0]
            for sent in (replicator._own_sent, replicator._sent['k1'])
        )
        own = texts.TextCache()
        await replicator.gather(['s-north', 's-south'], own)
        for name in ('north', 'south'):
            assert own.take('i1', name).events == [name]

    async def test_keeper_that_is_gone_is_replaced_as_holder(
        self, keepers, log
    ):
        """All texts of three steps were lost in a loss of power.

        One of the two holders had been replaced 18 s earlier and was still
        listed, and the disk of the other was lost (trouble-2 of large/).
        """
        known, caches = keepers
        known.addresses['k0'] = '127.0.0.1:9'
        known.keepers.add('k0')
        replicator = texts.TextReplicator(known, log)
        run = itemruns.ItemRun(
            types.SimpleNamespace(id='i1'),
            run_id='r1',
            texts=['a'],
            versions=[1],
        )
        await replicator.send([('s1', run)])
        run.texts.append('b')
        await replicator.send([('s1', run)])
        for name in ('k1', 'k2'):
            assert caches[name].take('i1').events == ['a', 'b']

    async def test_owner_keeps_a_copy_of_its_own(self, keepers, log):
        known, _ = keepers
        kept = []
        replicator = texts.TextReplicator(known, log, '', kept.extend)
        run = itemruns.ItemRun(
            types.SimpleNamespace(id='i1'),
            run_id='r1',
            texts=['a'],
            versions=[1],
        )
        await replicator.send([('s1', run)])
        run.texts.append('b')
        await replicator.send([('s1', run)])
        assert [(part.first, part.events) for part in kept] == [
            (0, ['a']),
            (1, ['b']),
        ]

    async def test_new_holder_gets_all_texts_in_messages_of_bounded_size(
        self, keepers, log, monkeypatch
    ):
        monkeypatch.setattr(texts, 'MESSAGE_BYTES_MAX', 10)
        known, caches = keepers
        runs = []
        for number in range(7):
            runs.append(
                itemruns.ItemRun(
                    types.SimpleNamespace(id=f'i{number}'),
                    run_id='r',
                    texts=['abc', 'def'],
                    versions=[1],
                )
            )
        replicator = texts.TextReplicator(known, log)
        await replicator.send([('s1', run) for run in runs])
        for number in range(7):
            assert caches['k1'].take(f'i{number}').events == ['abc', 'def']


class TestHolders:
    """Copies in one zone, or at a keeper that is gone, are lost together."""

    ZONES = {'k1': 'a', 'k2': 'a', 'k3': 'b', 'k4': 'c'}

    def test_holders_are_in_other_zones(self):
        assert texts.choose_holders(list(self.ZONES), self.ZONES, 'a', []) == [
            'k3',
            'k4',
        ]

    def test_holder_that_answers_stays(self):
        assert texts.choose_holders(
            list(self.ZONES), self.ZONES, 'b', ['k4']
        ) == ['k4', 'k1']

    def test_holder_that_does_not_answer_is_replaced(self):
        assert texts.choose_holders(
            ['k1', 'k2', 'k4'], self.ZONES, 'b', ['k3', 'k4']
        ) == ['k4', 'k1']

    def test_own_zone_is_better_than_no_copy(self):
        assert texts.choose_holders(['k1', 'k2'], self.ZONES, 'a', []) == [
            'k1',
            'k2',
        ]
