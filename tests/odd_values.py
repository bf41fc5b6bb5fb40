"""Draw values and bytes that no writer should leave, for tests of decoders."""

import json
import random
from collections.abc import Callable
from typing import Any

import msgspec

#: Literal JSON: numbers and texts at and beyond all limits.
JSON_TOKENS = (
    b'0',
    b'-1',
    b'1.5',
    b'65535',
    b'65536',
    b'%d' % (2**63 - 1),
    b'%d' % 2**63,
    b'%d' % 2**64,
    b'-%d' % 2**63,
    b'1e30',
    b'-1e308',
    b'1e308',
    b'1e999',
    b'NaN',
    b'Infinity',
    b'9' * 400,
    b'9' * 5000,
    b'0.' + b'3' * 400,
    b'true',
    b'null',
    b'""',
    b'" "',
    b'"ready"',
    b'"\\ud800"',
    b'"\\udc00\\ud800"',
    b'"\xed\xa0\x80"',
    b'"\\u0000"',
    b'"a\\r\\nb"',
    b'"\xff"',
    b'"%s"' % (b'q' * 100_000),
    b'"10.0.0.1:0"',
    b'"10.0.0.1:65536"',
    b'"[::1]:80"',
    b'"r99999999999999999999"',
    b'[' * 60 + b']' * 60,
    b'[' * 1_000 + b']' * 1_000,
    b'{"a":' * 1_000 + b'1' + b'}' * 1_000,
    b'[' * 100_000,
)
#: The same for MessagePack.
MSGPACK_TOKENS = (
    b'\xc0',
    b'\xc1',
    b'\xc3',
    b'\x00',
    b'\xff',
    b'\xcf' + b'\xff' * 8,
    b'\xd3\x80' + b'\x00' * 7,
    b'\xcb\x7f\xf0' + b'\x00' * 6,
    b'\xcb\x7f\xf8' + b'\x00' * 6,
    b'\xcb\x7f\xef' + b'\xff' * 6,
    b'\xa0',
    b'\xa2\xff\xff',
    b'\xa3\xed\xa0\x80',
    b'\xdb\xff\xff\xff\xff',
    b'\xdd\xff\xff\xff\xff',
    b'\xdf\xff\xff\xff\xff',
    b'\xd6\xff\x00\x00\x00\x01',
    b'\xc7\x0c\xff' + b'\xff' * 12,
    b'\x81\x81\x01\x02\x03',
    b'\x91' * 60 + b'\xc0',
    b'\x91' * 1_000 + b'\xc0',
    b'\x91' * 100_000,
    b'\xda\x40\x00' + b'q' * 16_384,
)
#: Texts of headers; bytes that are no UTF-8 become surrogates.
HEADER_TEXTS = (
    '',
    ' ',
    '0',
    '-1',
    '+1',
    '1_0',
    '\u0661',
    '9' * 20,
    '9' * 400,
    '9' * 5000,
    'nan',
    'inf',
    '1e308',
    '1e999',
    '1,2,3',
    '1,2,3,nan',
    '1,' * 4000,
    'a\udcff',
    '\udc80',
    'Mon, 01 Jan 0001 00:00:00 GMT',
    'Fri, 31 Dec 9999 23:59:59 -2359',
    'Mon, 01 Jan 2000 00:00:00 +9999',
    'Mon, 01 Jan 99999 00:00:00 GMT',
    'Sat, 99 Foo 2000',
    ', , ,',
    '0:0:0',
    '(',
    'q' * 8000,
)
_MARK = '@odd@'


def odd_json(rng: random.Random, sample: Any) -> bytes:
    """Return a document in which some values are odd, or bytes are wrong."""
    document = json.loads(json.dumps(sample))
    for _ in range(rng.randrange(1, 3)):
        _replace_one(rng, document)
    text = json.dumps(document).encode()
    marked = b'"%s"' % _MARK.encode()
    while marked in text:
        text = text.replace(marked, rng.choice(JSON_TOKENS), 1)
    return text if rng.random() < 0.7 else spoiled(rng, text, JSON_TOKENS)


def odd_msgpack(rng: random.Random, sample: bytes) -> bytes:
    """Return a message in which some values are odd, or bytes are wrong."""
    if rng.random() < 0.4:
        return spoiled(rng, sample, MSGPACK_TOKENS)
    document = {'root': msgspec.msgpack.decode(sample)}
    _replace_one(rng, document)
    text = msgspec.msgpack.encode(document.get('root', _MARK))
    marked = msgspec.msgpack.encode(_MARK)
    while marked in text:
        text = text.replace(marked, rng.choice(MSGPACK_TOKENS), 1)
    return text


def spoiled(
    rng: random.Random, content: bytes, tokens: tuple[bytes, ...]
) -> bytes:
    """Return bytes that are cut, changed or longer."""
    spoilt = bytearray(content)
    for _ in range(rng.randrange(1, 4)):
        position = rng.randrange(len(spoilt) + 1)
        change = rng.choice(('cut', 'flip', 'insert', 'drop'))
        if change == 'cut':
            del spoilt[position:]
        elif change == 'flip' and position < len(spoilt):
            spoilt[position] = rng.randrange(256)
        elif change == 'insert':
            spoilt[position:position] = rng.choice(tokens)
        else:
            del spoilt[position : position + rng.randrange(4)]
    return bytes(spoilt)


def odd_headers(
    rng: random.Random, sample: dict[str, str], names: tuple[str, ...]
) -> dict[str, str]:
    """Return headers of which some have an odd text, or are missing."""
    headers = dict(sample)
    for name in rng.sample(names, rng.randrange(1, 4)):
        if rng.random() < 0.1:
            headers.pop(name, None)
            continue
        headers[name] = rng.choice(HEADER_TEXTS)
    return headers


def _replace_one(rng: random.Random, document: Any) -> None:
    """Replace a value of a document by an odd one, or add or drop one."""
    holders: list[Callable[[str], None]] = []
    _collect(document, holders)
    rng.choice(holders)(_MARK)


def _collect(node: Any, holders: list[Callable[[str], None]]) -> None:
    if isinstance(node, dict):
        for key, child in node.items():
            holders.append(lambda odd, at=key: node.__setitem__(at, odd))
            _collect(child, holders)
        holders.append(lambda odd: node.__setitem__('x', odd))
        if node:
            first = next(iter(node))
            holders.append(lambda _: node.pop(first, None))
    if isinstance(node, list):
        for position, child in enumerate(node):
            holders.append(lambda odd, at=position: _put(node, at, odd))
            _collect(child, holders)
        holders.append(node.append)


def _put(node: list[Any], position: int, odd: str) -> None:
    if position < len(node):
        node[position] = odd
