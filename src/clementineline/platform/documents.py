"""JSON text that any writer may have stored, in parts.

A decoder of JSON gives up a whole text for one value that it cannot represent.
The functions here find the parts of an object or array without decoding them,
so that such a value costs nothing but itself. They take no recursion, whatever
the nesting.
"""

import re

import msgspec

__all__ = ['DEPTH_MAX', 'decode_dict', 'split_array', 'split_object']

# Nesting of the values that the service reads and writes is below 10.
DEPTH_MAX = 64
INTEGER_MIN, INTEGER_MAX = -(2**63), 2**63 - 1

_STRING = rb'"(?:[^"\\]++|\\.)*+"'
# Runs of brackets; what is between them, and all strings, are passed over.
_BRACKETS = re.compile(
    rb'(?:[^"\[\]{}]++|%s)*+([\[{]++|[\]}]++)' % _STRING, re.DOTALL
)
_TOKENS = re.compile(rb'%s|[\[{]++|[\]}]++|[:,]' % _STRING, re.DOTALL)
# Only a number with as many digits may exceed 64 bits.
_LONG_NUMBER = re.compile(rb'[0-9]{19}')

_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


def _is_too_deep(raw):
    if raw.count(b'[') + raw.count(b'{') <= DEPTH_MAX:
        return False
    depth = 0
    for match in _BRACKETS.finditer(raw):
        run = match.group(1)
        if run[:1] in b'[{':
            depth += len(run)
            if depth > DEPTH_MAX:
                return True
        else:
            depth -= len(run)
    return False


def _has_large_integer(value):
    """Return whether a value contains an integer of over 64 bits."""
    left = [value]
    while left:
        found = left.pop()
        if isinstance(found, dict):
            left.extend(found.values())
        elif isinstance(found, list):
            left.extend(found)
        elif isinstance(found, int):
            if not INTEGER_MIN <= found <= INTEGER_MAX:
                return True
    return False


def decode_dict(raw):
    """Decode a JSON object that can be encoded again.

    :param raw: JSON text, bytes
    :returns: ``(value, fault)``: the dict and '', or an empty dict and why
        the text is not such an object
    """
    if _is_too_deep(raw):
        return {}, f'nested deeper than {DEPTH_MAX}'
    try:
        value = msgspec.json.decode(raw)
    except _ERRORS as error:
        return {}, f'not JSON: {error}'
    if not isinstance(value, dict):
        return {}, f'not an object but {type(value).__name__}'
    if _LONG_NUMBER.search(raw) and _has_large_integer(value):
        return {}, 'an integer of over 64 bits'
    return value, ''


def _split(raw):
    """Return the parts between the commas of an object or array.

    :returns: list of pairs of a part and the offset in it after the first
        colon, 0 if it has none
    """
    parts = []
    depth = 0
    start = colon = position = 0
    while True:
        # Inside the parts, only brackets matter.
        pattern = _TOKENS if depth == 1 else _BRACKETS
        match = pattern.search(raw, position)
        if match is None:
            return parts
        position = match.end()
        token = match.group(match.lastindex or 0)
        first = token[:1]
        if first == b'"':
            continue
        if first in b'[{':
            if not depth:
                start = position - len(token) + 1
            depth += len(token)
        elif first in b']}':
            depth -= len(token)
            if depth > 0:
                continue
            part = raw[start : position + depth - 1]
            if part.strip():
                parts.append((part, colon))
            return parts
        elif first == b':':
            colon = colon or position - start
        else:
            parts.append((raw[start : match.start()], colon))
            start, colon = position, 0


def split_array(raw):
    """Return the elements of a JSON array, none if it is no array.

    :param raw: JSON text, bytes
    :returns: list of the JSON texts of the elements
    """
    if not raw.lstrip().startswith(b'['):
        return []
    return [part.strip() for part, _ in _split(raw)]


def split_object(raw):
    """Return the members of a JSON object, none if it is no object.

    Members whose names cannot be decoded are left out.

    :param raw: JSON text, bytes
    :returns: dict from name to the JSON text of the member
    """
    members = {}
    if not raw.lstrip().startswith(b'{'):
        return members
    for part, colon in _split(raw):
        try:
            name = msgspec.json.decode(part[: max(0, colon - 1)], type=str)
        except _ERRORS:
            continue
        members[name] = part[colon:].strip()
    return members
