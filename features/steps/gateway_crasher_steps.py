"""Steps that send requests which crash the stand-in engines, and others beside them."""

import re
import time
from typing import NamedTuple

from behave import given, then, when
from support.platform import engine, fleet, scenario, soakfleet

from berylrock.ops import crashblame, crashlog

# The scenarios end before what is blamed may be tried a second time.
LATER_TRIALS_S = 1000.0


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


class DirectFleet(soakfleet.SoakFleet):
    """Three gateways that notice by themselves when an engine accepts no connection."""

    address_of = fleet.GatewayFleet.address_of


@given("three gateways that connect to the engines directly")
def step_direct_fleet(context):
    """Start the gateways and the engines."""
    context.gateway = DirectFleet(context.root)
    context.cleanups.append(context.gateway.stop)
    for item in scenario.model_engines(context):
        item.restart_delay_s = crashlog.SAME_CRASH_S + 0.2
    context.gateway.start_all()
    context.names = sorted(context.gateway.gateways)
    context.sent = 0


@given("engines that send {count:d} events before a request crashes them")
def step_crash_after(context, count):
    """Let the engines send a part of their answers, or all but the end."""
    for item in scenario.model_engines(context):
        item.crash_after_events = count


class Chat(NamedTuple):
    """What a chat shares with others: the second part of its prompt, and its body if not empty."""

    part: str
    body: bytes = b""


BAD_PART, BAD_CHAT = Chat(engine.CRASHING_PART), Chat("bb", engine.CRASHING_BODY)
SOUND = Chat("bb")


def send_to(context, name, chat):
    """Send a chat to a gateway, and return its answer."""
    context.sent += 1
    running, item = context.gateway, context.gateway.gateways[name]
    body = chat.body or f"{context.sent:06x}".encode()
    own_part = body.hex()[:12] if chat.body else f"{context.sent:06x}"
    headers = [
        ("Host", fleet.HOST),
        ("X-Api-Key", fleet.KEY),
        ("X-Berylrock-Attempt-Id", f"{context.sent:016x}"),
        ("X-Berylrock-Model", "*"),
        ("X-Berylrock-Token-Usage", "100,20"),
        ("X-Berylrock-Prefix-Hash", f"aa:50,{chat.part}:30,{own_part}:20"),
        ("Content-Length", str(len(body))),
    ]
    request = fleet.exchange((item.host, item.port), "POST", "/chat/a", headers, body)
    return running.thread.run(request)


def crashes(context):
    """Return how many requests have crashed an engine."""
    runs = context.gateway.runs("models")
    parts = [run.headers["x-berylrock-prefix-hash"].split(",")[1] for run in runs]
    by_part = sum(part.startswith(engine.CRASHING_PART) for part in parts)
    return by_part + sum(run.body == engine.CRASHING_BODY for run in runs)


def send_in_turn(context, chat, count):
    """Send a chat to each gateway and a sound one after it; wait until all engines are back."""
    for number in range(count):
        send_to(context, context.names[number % len(context.names)], chat)
        send_to(context, context.names[(number + 1) % len(context.names)], SOUND)
        context.gateway.wait(lambda: all_listen(context), "all engines are back")


@when("{count:d} chats with a prompt part that crashes engines are sent to the gateways in turn")
def step_send_parts(context, count):
    """Send chats of which no two are alike."""
    context.bad = BAD_PART
    send_in_turn(context, BAD_PART, count)


@when("a chat that crashes engines is sent to the gateways in turn, {count:d} times")
def step_send_chat(context, count):
    """Send the same chat again and again."""
    context.bad = BAD_CHAT
    send_in_turn(context, BAD_CHAT, count)


def all_listen(context):
    """Return whether all engines of the models accept connections."""
    return all(item.server.is_serving() for item in scenario.model_engines(context))


@then("engines have crashed at most {count:d} times")
def step_at_most(context, count):
    """Count the requests that crashed one: two requests suffice, with three attempts each."""
    assert 0 < crashes(context) <= count, crashes(context)


def wait_heard(context, text):
    """Wait until each log has a text; returns when the first one may be tried again."""
    for item in context.gateway.gateways.values():
        context.gateway.wait(lambda item=item: text in item.log(), f"{item.name} knows")
    times = [
        float(re.search(rf"time=([\d.]+) .*{text}", item.log())[1])
        for item in context.gateway.gateways.values()
    ]
    return min(times) + crashblame.FIRST_TRIAL_MS / 1000


@when("every gateway has heard of the part")
def step_heard_part(context):
    """Wait until each log names the part."""
    context.trial_at = wait_heard(context, f"prompt_part_blamed part={engine.CRASHING_PART}")


@when("every gateway has heard of the chat")
def step_heard_chat(context):
    """Wait until each log names a request."""
    context.trial_at = wait_heard(context, "request_blamed fingerprint=")


def check_refused(context, names, count):
    """Send bad chats to some gateways; none runs but one that tries it, once that is due."""
    before = crashes(context)
    answers = [send_to(context, names[number % len(names)], context.bad) for number in range(count)]
    trials = int(time.time() >= context.trial_at)
    assert sum(answer.status != 503 for answer in answers) <= trials, answers
    assert crashes(context) <= before + trials
    context.trial_at += trials * LATER_TRIALS_S


@then("{count:d} more of them are refused by the gateways, and none runs")
@then("it is refused {count:d} more times by the gateways, and does not run")
def step_refused_by_all(context, count):
    """Send them to the gateways in turn."""
    check_refused(context, context.names, count)


@when("a gateway is killed and started again")
def step_kill(context):
    """Kill the first gateway once the store has the record of another one that names the cause."""
    running, item = context.gateway, context.gateway.gateways[context.names[0]]
    running.wait(lambda: stored_blame(context), "a record names what is blamed")
    item.stop()
    item.start()
    running.wait_ready()


def stored_blame(context):
    """Return whether a record of the other gateways in the store names what crashes engines."""
    records = [context.gateway.store.objects.get(("gateways", name)) for name in context.names[1:]]
    text = engine.CRASHING_PART if context.bad is BAD_PART else "request:"
    return any(text in str(record) for record in records)


@then("{count:d} more of them are refused by that gateway, and none runs")
@then("it is refused {count:d} more times by that gateway, and does not run")
def step_refused_after_restart(context, count):
    """Send them to the gateway that was killed."""
    check_refused(context, context.names[:1], count)


@then("sound chats are answered by every gateway")
def step_sound_answered(context):
    """Send chats to each until one is answered; one that was not run for seconds first refuses."""
    for name in context.names:
        context.gateway.wait(
            lambda name=name: send_to(context, name, SOUND).status == 200, f"{name} answers"
        )
