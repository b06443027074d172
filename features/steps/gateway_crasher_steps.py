"""Steps that send requests which crash the stand-in engines, and others beside them."""

import time

from behave import then, when
from support.platform import engine


@when("a read that crashes engines is sent repeatedly between other reads")
def step_send_crasher(context):
    """Let one caller repeat the same request while others send their own."""
    gateway = context.gateway
    context.results = []
    for number in range(12):
        gateway.send(path="/read/crasher")
        time.sleep(0.5)
        context.results.append((number, gateway.send(path=f"/read/{number}")))


@then("the crashing read has run at most {count:d} times and has been refused")
def step_crasher_runs(context, count):
    """Check that the request is refused.

    Three crashes identify it, and a retry that is already in progress may add some runs.
    """
    runs = [run for run in context.gateway.runs("plain") if run.target.endswith("crasher")]
    assert 0 < len(runs) <= count, len(runs)
    assert gateway_refused(context), context.gateway.log()[-3000:]


def gateway_refused(context):
    """Return whether the gateway has refused the request that crashes engines."""
    return "reason=crashes_engines" in context.gateway.log()


@then("all other reads, except at most one, are answered")
def step_other_reads_answered(context):
    """Check the other reads; an engine that restarts may fail one of them."""
    answered = [answer for _, answer in context.results if answer.status == 200]
    assert len(answered) >= len(context.results) - 1, context.results


def send_chat_with_parts(context, number, shared):
    """Send a chat whose prompt begins like all others; the last part is its own."""
    headers = [
        ("X-Berylrock-Model", "*"),
        ("X-Berylrock-Token-Usage", "100,20"),
        ("X-Berylrock-Prefix-Hash", f"aa:50,{shared}:30,{number:04x}{shared}:20"),
    ]
    body = f"{shared} {number}".encode()
    return context.gateway.send("POST", "/chat/a", headers=headers, body=body)


@when("chats with a prompt part that crashes engines are sent between others, no two alike")
def step_send_crashing_parts(context):
    """Send one of each, and wait until the engines listen again."""
    context.crashing, context.results = [], []
    for number in range(10):
        context.results.append((number, send_chat_with_parts(context, number, "bb")))
        context.crashing.append(send_chat_with_parts(context, number, engine.CRASHING_PART))
        time.sleep(2.0 * engine.RESTART_DELAY_S)


@then("at most {count:d} of them have run, and the last ones have been refused")
def step_crashing_part_refused(context, count):
    """Check how many engines ended, and that the refusals say that the request did not run."""
    crashed = [
        run
        for run in context.gateway.runs("models")
        if engine.CRASHING_PART in run.headers["x-berylrock-prefix-hash"].split(",")[1]
    ]
    assert 0 < len(crashed) <= count, len(crashed)
    assert {answer.status for answer in context.crashing[-3:]} == {503}, context.crashing


@then("all other chats, except at most two, are answered")
def step_other_chats_answered(context):
    """Check the others; an engine that restarts may fail one of them."""
    answered = [answer for _, answer in context.results if answer.status == 200]
    assert len(answered) >= len(context.results) - 2, context.results
