"""Makes heads of responses of which each claims something else about a request."""

import hypothesis.strategies as st

OWN_ID = "9c41d07be2a35f68"
REFUSING = (400, 408, 421, 429, 503)
STATUSES = (200, 204, 206, 302, *REFUSING, 404, 413, 500, 502, 504)
IDS = (OWN_ID, "ffffffffffffffff", "", OWN_ID.upper())


@st.composite
def heads(draw):
    """Draw a status and headers, with up to three ids, in any spelling and order."""
    status = draw(st.sampled_from(STATUSES))
    ids = draw(st.lists(st.sampled_from(IDS), max_size=3))
    spelling = draw(st.sampled_from((str.lower, str.upper, str.title)))
    headers = [(spelling("X-Berylrock-Attempt-Id").encode(), item.encode()) for item in ids]
    if draw(st.booleans()):
        headers.append((spelling("X-Berylrock-Not-Executed").encode(), b"1"))
    if draw(st.booleans()):
        headers.append((b"X-Berylrock-Response-Signature", b"s"))
    return status, draw(st.permutations(headers))


def proves_not_run(status, headers):
    """Tell whether a response proves that the request ``OWN_ID`` did not run, from its headers."""
    ids = {value.decode() for name, value in headers if name.lower().endswith(b"-attempt-id")}
    says_so = any(name.lower().endswith(b"-not-executed") for name, _ in headers)
    return ids == {OWN_ID} and status in REFUSING and (says_so or status == 421)
