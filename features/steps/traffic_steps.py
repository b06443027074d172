"""Steps that send requests."""

import json

from behave import then, when
from support import traffic


@when("{count:d} chats of {tokens:d} tokens are sent")
def step_chats(context, count, tokens):
    """Send requests for models concurrently and wait until they end."""
    traffic.start_chats(context, count, tokens)
    traffic.finish(context)


@when("{count:d} chats of {tokens:d} tokens are sent to {entry:Word}")
def step_chats_to(context, count, tokens, entry):
    """Send requests for models to one entry process and wait until they end."""
    traffic.start_chats(context, count, tokens, [entry])
    traffic.finish(context)


@when("{count:d} chats of {tokens:d} tokens for {model:Word} are sent to {entry:Word}")
def step_chats_for(context, count, tokens, entry, model):
    """Send requests for a model or version to one entry process."""
    traffic.start_chats(context, count, tokens, [entry], model=model)
    traffic.finish(context)


@when("{count:d} chats of {tokens:d} tokens are running")
def step_chats_running(context, count, tokens):
    """Send requests for models and wait until all have reached an engine."""
    before = traffic.count_events(context, "start")
    context.names = traffic.start_chats(context, count, tokens)
    traffic.wait_for_events(context, "start", before, count)


@when("{count:d} chats of {tokens:d} tokens are started")
def step_chats_started(context, count, tokens):
    """Send requests for models without waiting."""
    traffic.start_chats(context, count, tokens)


@when("{count:d} lookups are sent")
def step_lookups(context, count):
    """Send calls that may be repeated and wait until they end."""
    traffic.start_lookups(context, count)
    traffic.finish(context)


@when("{count:d} lookups are running")
def step_lookups_running(context, count):
    """Send calls that may be repeated and wait until all have reached a service."""
    before = traffic.count_events(context, "ran")
    traffic.start_lookups(context, count)
    traffic.wait_for_events(context, "ran", before, count)


@when("{count:d} orders are sent")
def step_orders(context, count):
    """Send calls that must not be repeated, each with its own idempotency key, and wait."""
    traffic.start_orders(context, count)
    traffic.finish(context)


@when("{count:d} orders are running")
def step_orders_running(context, count):
    """Send calls that must not be repeated and wait until all have reached a service."""
    before = traffic.count_events(context, "ran")
    traffic.start_orders(context, count)
    traffic.wait_for_events(context, "ran", before, count)


@when("{count:d} orders are started")
def step_orders_started(context, count):
    """Send calls that must not be repeated, without waiting."""
    traffic.start_orders(context, count)


@when("all requests have ended")
def step_all_ended(context):
    """Wait for the requests in the background."""
    traffic.finish(context)


@when("the callers repeat the same orders through another entry process")
def step_repeat_orders(context):
    """Send each order again with its idempotency key, through other entry processes first."""
    entries = context.fleet.entries()
    keys = sorted({key for _, key in context.results if key})
    context.first_results = list(context.results)

    def send(sender, index):
        key = keys[index]
        body = json.dumps({"order": key})
        path = traffic.ORDERS[context.deployment]
        return sender.call(context.service, "POST", path, body, key, f"again-{key}"), key

    alive = [name for name in entries if context.fleet.processes[name].popen.poll() is None]
    traffic.start(context, len(keys), send, list(reversed(alive)))
    traffic.finish(context)


@when("the same order is sent {count:d} times concurrently")
def step_same_order(context, count):
    """Send one order many times with one idempotency key through all entry processes."""
    key = f"same-{traffic.next_base(context)}"

    def send(sender, index):
        path = traffic.ORDERS[context.deployment]
        body = json.dumps({"order": key})
        return sender.call(context.service, "POST", path, body, key, f"{key}-{index}"), key

    traffic.start(context, count, send)


@then("all requests are answered")
def step_all_answered(context):
    """Check that every caller got the complete answer to its own request."""
    traffic.finish(context)
    unanswered = [result for result, _ in context.results if not result.complete]
    assert context.results and not unanswered, unanswered


@when("{count:d} {kind:Word} are started whose callers leave after {seconds:g} s")
def step_leave_early(context, count, kind, seconds):
    """Send calls whose callers wait for a short time only."""
    start = traffic.start_orders if kind == "orders" else traffic.start_lookups
    start(context, count, timeout=seconds)


@then("only the last of the {kind:Word} have run")
def step_only_last(context, kind):
    """Check the record of what the services ran; all but one of the callers had left."""
    traffic.finish(context)
    statuses = [result.status for result, _ in context.results]
    assert statuses[-1] == 200 and not any(statuses[:-1]), context.results
    assert traffic.count_events(context, "ran") == 1, traffic.count_events(context, "ran")
