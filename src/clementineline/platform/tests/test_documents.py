"""Tests of JSON text that any writer may have stored.

One value that cannot be read must not hide the others.
"""

import json
import random

import msgspec
import pytest

from clementineline.platform import documents

# Values that the JSON decoder refuses, that cannot be encoded again, or that
# need recursion.
ODD_VALUES = {
    'half a surrogate pair': b'"\\ud83d"',
    'integer of over 64 bits': b'1180591620717411303424',
    'negative integer of over 64 bits': b'-1180591620717411303424',
    'integer of 400 digits': b'9' * 400,
    'integer of 5000 digits': b'9' * 5000,
    'number beyond a float': b'1e999',
    'Infinity': b'Infinity',
    'NaN': b'-NaN',
    'arrays nested 900 deep': b'[' * 900 + b']' * 900,
    'arrays nested 100000 deep': b'[' * 100_000 + b']' * 100_000,
    'objects nested 900 deep': b'{"a":' * 900 + b'1' + b'}' * 900,
    'bytes that are not UTF-8': b'"\xff\xfe"',
    'brackets in a string': b'"\xff]}[{\\"]"',
}
odd_values = pytest.mark.parametrize(
    'odd', ODD_VALUES.values(), ids=ODD_VALUES
)


class TestDecodeDict:
    @odd_values
    def test_odd_value_is_a_fault(self, odd):
        value, fault = documents.decode_dict(b'{"a":%s}' % odd)
        assert value == {}
        assert fault

    @pytest.mark.parametrize('raw', [b'', b'null', b'[]', b'"a"', b'{', b'1'])
    def test_other_text_is_a_fault(self, raw):
        value, fault = documents.decode_dict(raw)
        assert value == {}
        assert fault

    def test_value_up_to_the_limits_is_decoded(self):
        nested = b'[' * 63 + b']' * 63
        raw = b'{"a":%s,"b":9223372036854775807,"c":"%s"}' % (
            nested,
            b'9' * 30,
        )
        value, fault = documents.decode_dict(raw)
        assert not fault
        assert value['b'] == 2**63 - 1
        msgspec.msgpack.encode(value)

    def test_many_brackets_that_are_not_nested_are_no_fault(self):
        value = {'a': [[] for _ in range(500)], 'b': '[' * 500}
        assert documents.decode_dict(json.dumps(value).encode()) == (value, '')


class TestSplit:
    @odd_values
    def test_odd_value_costs_that_value_alone(self, odd):
        raw = b'{"x": 1, "odd" : %s ,"y":{"z":[1,2]}}' % odd
        assert documents.split_object(raw) == {
            'x': b'1',
            'odd': odd,
            'y': b'{"z":[1,2]}',
        }
        raw = b' [ {"a":1}, {"b":%s},[],"c" ]' % odd
        assert documents.split_array(raw) == [
            b'{"a":1}',
            b'{"b":%s}' % odd,
            b'[]',
            b'"c"',
        ]

    @pytest.mark.parametrize('raw', [b'', b' ', b'1', b'"[1]"', b'null'])
    def test_other_text_has_no_parts(self, raw):
        assert documents.split_object(raw) == {}
        assert documents.split_array(raw) == []

    def test_member_with_an_unreadable_name_is_left_out(self):
        raw = b'{"\\ud83d":1,"a":2}'
        assert documents.split_object(raw) == {'a': b'2'}

    def test_parts_are_those_of_the_decoder(self):
        rng = random.Random(1)

        def draw(depth):
            kind = rng.randrange(6 if depth else 4)
            if kind == 0:
                return rng.choice(['', 'a,b', '"', '\\', ']}', ':', 'é'])
            if kind < 4:
                return rng.choice([None, True, -1.5e3, 12])
            count = rng.randrange(4)
            if kind == 4:
                return [draw(depth - 1) for _ in range(count)]
            return {str(n) + ':,': draw(depth - 1) for n in range(count)}

        for _ in range(300):
            indent = rng.choice([None, 1])
            value = {'k': draw(4), 'l': draw(3)}
            raw = json.dumps(value, indent=indent).encode()
            parts = documents.split_object(raw)
            assert {n: json.loads(p) for n, p in parts.items()} == value
            array = [draw(3), draw(3)]
            raw = json.dumps(array, indent=indent).encode()
            parts = documents.split_array(raw)
            assert [json.loads(part) for part in parts] == array
