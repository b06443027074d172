"""Runs a gateway with a fault of its own code at one place, mostly an error that is raised there.

Run it as ``python faultygateway.py PLACE SETTINGS``; the places are the keys of ``PLACES``.
"""

import sys

from berylrock.adapters import http1
from berylrock.daemons.gateway import admitting, attempt, forwarding, process, responding
from berylrock.platform import translating

# Engines for whose requests the errors are raised.
FAULTY_ENGINES = ("plain-0", "models-0")


class RaisedByTest(Exception):
    """An error of a kind that no code of the gateway knows."""


def _raise_for(engine_id):
    if engine_id in FAULTY_ENGINES:
        raise RaisedByTest(f"raised for {engine_id}")


def break_before_write():
    """Raise while the headers for an engine are built."""
    build = translating.build_engine_headers

    def build_or_raise(req, options):
        _raise_for(options.engine_id)
        return build(req, options)

    translating.build_engine_headers = build_or_raise


def break_read(part):
    """Raise where the part of an answer with this number, from 1, is read."""
    read, read_counts = attempt.Attempt.next_part, {}

    async def read_or_raise(self, wait, since=None):
        read_counts[id(self)] = read_counts.get(id(self), 0) + 1
        if read_counts[id(self)] == part:
            _raise_for(self.state.engine.id)
        return await read(self, wait, since)

    attempt.Attempt.next_part = read_or_raise


def break_admission():
    """Raise while a request is admitted."""

    def admit(ctx, head, body, received_at):
        raise RaisedByTest("raised while a request was admitted")

    admitting.admit = admit


def break_failed_end():
    """Raise while a response is sent, and again while the error after that is answered."""

    async def raise_always(self, *args):
        raise RaisedByTest("raised while a request is answered")

    responding.Responder.send_response = raise_always
    forwarding.Forwarding.end_failed = raise_always


def leave_open():
    """Leave connections to engines open whose requests are given up, for as long as they last."""
    close = http1.EngineConnection.close

    def close_if_idle(self):
        if not self.has_open_request:
            close(self)

    http1.EngineConnection.close = close_if_idle


PLACES = {
    "no close": leave_open,
    "before the write": break_before_write,
    "after the write": lambda: break_read(1),
    "in the body": lambda: break_read(2),
    "while a request is admitted": break_admission,
    "while a failed end is answered": break_failed_end,
}


if __name__ == "__main__":
    PLACES[sys.argv[1]]()
    process.run(sys.argv[2])
