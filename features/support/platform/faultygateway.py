"""Runs a gateway with a fault of its own code at one place, mostly an error that is raised there.

Run it as ``python faultygateway.py PLACE SETTINGS``; the places are the keys of ``PLACES``.
"""

import sys

from berylrock.adapters import http1
from berylrock.daemons.gateway import admitting, attempt, forwarding, process, responding
from berylrock.ops import answers, selection, timeouts
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


def break_answer():
    """Raise an error that looks like one of a connection, before a response is sent."""

    async def raise_timeout(self, head, body):
        raise TimeoutError("raised before a response is sent")

    responding.Responder.send_response = raise_timeout


def believe_any_refusal():
    """Take each refusal for the answer to the request that it meets."""
    judge = answers.ConnectionHistory.judge

    def judge_as_own(self, claim):
        verdict = judge(self, claim)
        return answers.Verdict(answers.Meaning.REFUSAL) if claim.not_run else verdict

    answers.ConnectionHistory.judge = judge_as_own
    read = translating.read_response_head

    def read_without_id(status, raw):
        head = read(status, raw)
        return head._replace(request_id="") if head.not_run else head

    translating.read_response_head = read_without_id


def believe_copied_refusal():
    """Use addresses and connections that refused a request again for it, and believe copies there.

    The second answer that names the request and says that it did not run may be the first one's
    copy.
    """
    history, choose = answers.ConnectionHistory, selection.choose
    begin, judge = history.begin, history.judge

    def begin_and_note(self, request_id, method):
        self.due_id = request_id
        begin(self, request_id, method)

    def judge_by_id(self, claim):
        is_of_due = claim.not_run and claim.names == self.due_id
        return answers.Verdict(answers.Meaning.REFUSAL) if is_of_due else judge(self, claim)

    def choose_any_address(states, criteria, *more):
        return choose(states, criteria._replace(left=frozenset()), *more)

    history.begin, history.judge = begin_and_note, judge_by_id
    history.has_carried = lambda self, request_id: False
    selection.choose = choose_any_address


def _end_as_not_run(is_wanted):
    """Let failed attempts with some reasons count as not run."""
    fail = attempt.Attempt._fail

    def fail_or_not(self, reason):
        failure = fail(self, reason)
        return failure._replace(may_have_run=False) if is_wanted(reason) else failure

    attempt.Attempt._fail = fail_or_not


def retry_after_reset():
    """Take a connection that breaks after a request was written for one that did not carry it."""
    _end_as_not_run(lambda reason: reason.startswith("broken"))


def retry_after_timeout():
    """Take an engine that is silent until the deadline, or for too long, for one that did not run.

    A tenth of the time is left for the next one.
    """
    _end_as_not_run(lambda reason: reason == attempt.TIMED_OUT)
    wait = forwarding.Forwarding.response_start_timeouts

    def wait_for_all(self):
        limits = timeouts.response_start_timeouts(self.req.route.latency_target_s)
        return wait(self) or limits

    forwarding.Forwarding.response_start_timeouts = wait_for_all
    begin = attempt.Attempt.__init__

    def begin_anyhow(self, *args, **options):
        begin(self, *args, **options | {"can_fail_over": lambda: True})

    attempt.Attempt.__init__ = begin_anyhow


PLACES = {
    "no close": leave_open,
    "any refusal": believe_any_refusal,
    "copied refusal": believe_copied_refusal,
    "retry after a reset": retry_after_reset,
    "retry after a timeout": retry_after_timeout,
    "before the write": break_before_write,
    "after the write": lambda: break_read(1),
    "in the body": lambda: break_read(2),
    "while a request is admitted": break_admission,
    "while a failed end is answered": break_failed_end,
    "before an answer is sent": break_answer,
}


if __name__ == "__main__":
    PLACES[sys.argv[1]]()
    process.run(sys.argv[2])
