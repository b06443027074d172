"""Makes documents, headers and bytes as no sound writer sends them."""

import json

import hypothesis.strategies as st

from berylrock.platform import names

from .platform import fleet

# Numbers that JSON allows and few readers expect.
ODD_NUMBERS = ("1e999", "-1e999", "1" * 400, "-0", "1e-999", "18446744073709551616", "0.1")
ODD_TEXTS = (
    "",
    " ",
    "\x00",
    "\ud800",
    "a\r\nb: c",
    "é",
    "x" * 3000,
    "[::1]:80",
    "a:b:c",
    ":",
    "a:99999",
)
ODD_HEADERS = (
    *(b"", b" ", b"\x00", b"\xff\xfe", b"-1", b"1e999", b"nan", b"inf", b"0x1", b"1_0", b"+1"),
    *(b"9" * 400, b"a:1,b", b"a:1,,b:2", b"timeout=", b"timeout=9" + b"9" * 400, b",;=", b"1,1"),
    *("٣".encode(), b"close, keep-alive", b"None", b"1.5", b"5/7", b"5,7"),
)
HEADER_NAMES = tuple(
    value
    for key, value in sorted(vars(names).items())
    if key.isupper() and isinstance(value, bytes)
)


class _Raw:
    """A number that is written as it is."""

    def __init__(self, text):
        self.text = text


odd_leaves = st.one_of(
    st.sampled_from(ODD_TEXTS),
    st.sampled_from(ODD_NUMBERS).map(_Raw),
    st.sampled_from((None, True, -1, 2**63)),
    st.integers(),
)
odd_values = st.one_of(
    odd_leaves,
    odd_leaves,
    st.lists(odd_leaves, max_size=3),
    st.dictionaries(st.sampled_from(ODD_TEXTS), odd_leaves, max_size=3),
)


def write(value):
    """Return a value as JSON text."""
    if isinstance(value, _Raw):
        return value.text
    if isinstance(value, dict):
        members = [f"{json.dumps(key)}:{write(item)}" for key, item in value.items()]
        return "{" + ",".join(members) + "}"
    if isinstance(value, (list, tuple)):
        return "[" + ",".join(map(write, value)) + "]"
    return json.dumps(value)


def _places(value, path=()):
    """Return the paths of all values in a document."""
    found = [path]
    items = value.items() if isinstance(value, dict) else ()
    items = enumerate(value) if isinstance(value, list) else items
    for key, item in items:
        found += _places(item, (*path, key))
    return found


def _replace(value, path, new):
    """Return a document with another value at a path."""
    if not path:
        return new
    changed = dict(value) if isinstance(value, dict) else list(value)
    changed[path[0]] = _replace(value[path[0]], path[1:], new)
    return changed


@st.composite
def spoilt(draw, documents):
    """Draw one of some documents, with up to three odd values in it."""
    value = draw(st.sampled_from(documents))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(_places(value)))
        value = _replace(value, path, draw(odd_values))
    return value


@st.composite
def spoilt_bytes(draw, documents):
    """Draw the bytes of a spoilt document, of which some may be cut out, twice there or others."""
    data = write(draw(spoilt(documents))).encode("utf-8", "surrogatepass")
    for _ in range(draw(st.sampled_from((0, 0, 1, 2)))):
        begin = draw(st.integers(0, len(data)))
        end = draw(st.integers(begin, len(data)))
        more = draw(st.one_of(st.just(b""), st.binary(max_size=8), st.just(data[begin:end] * 2)))
        data = data[:begin] + more + data[end:]
    return data


def _make_object(name, spec, status=None):
    meta = {"name": name, "revision": 7, "created": 1, "finalizers": [], "deletion-pending": False}
    return {"metadata": meta, "spec": spec, "status": status}


OBJECTS = (
    _make_object("e1", fleet.make_entry("models", "127.0.0.1:80")),
    _make_object("main", fleet.make_config(3)),
    _make_object(
        "models",
        {"backend": "models", "target": "v2", "duration_s": 20.0},
        {"state": "in_progress", "target": "v2", "stage": 1, "began_ms": 1},
    ),
    _make_object("g1", {"address": "127.0.0.1", "zone": "a", "heartbeat": 1, "evidence": {}}),
    _make_object(
        "usage", {"gateway": "g1", "process": 1, "token": 1, "unreported": [[1, {"o": 2}]]}
    ),
)
LISTS = tuple({"entries": [item, *OBJECTS[:1]], "has-more": False, "at": 9} for item in OBJECTS)
CHANGES = tuple({"events": [{"object": item, "deleted": False}], "at": 9} for item in OBJECTS)

headers = st.lists(
    st.tuples(
        st.sampled_from(
            (*HEADER_NAMES, b"connection", b"keep-alive", b"host", b"content-encoding")
        ),
        st.one_of(st.sampled_from(ODD_HEADERS), st.binary(max_size=12)),
    ),
    max_size=8,
)
