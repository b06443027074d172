"""Makes the parts of an entry process that its handlers need, without a process."""

import types

from berylrock.core import metrics
from berylrock.daemons.entry import request


def make_context():
    """Return what the handlers share, without backend servers."""
    log = types.SimpleNamespace(write=lambda name, **fields: None)
    runtime = types.SimpleNamespace(
        config=types.SimpleNamespace(doc=object()), log=log, meter=metrics.Metrics("", "test")
    )
    return types.SimpleNamespace(
        runtime=runtime,
        budget=types.SimpleNamespace(record_request=lambda: None),
        cfg=types.SimpleNamespace(max_body_bytes=1_000_000),
        server_links=None,
    )


def make_caller():
    """Return a caller of an organisation without a quota, who stays connected."""
    organisation = types.SimpleNamespace(requests_per_second=0.0, name="one")
    return request.Caller("r1", organisation, 1.0, 0, "", lambda: True)
