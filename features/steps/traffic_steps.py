"""Steps that send requests."""

import json

from behave import then, when
from support import traffic


@when("{count:d} chats of {tokens:d} tokens are sent")
def step_chats(context, count, tokens):
    """Send requests for models at once and wait for their ends."""
    traffic.start_chats(context, count, tokens)
    traffic.finish(context)


@when("{count:d} chats of {tokens:d} tokens are sent to {entry:Word}")
def step_chats_to(context, count, tokens, entry):
    """Send requests for models to one entry process."""
    traffic.start_chats(context, count, tokens, [entry])
    traffic.finish(context)


@when("{count:d} chats of {tokens:d} tokens ask {entry:Word} for {model:Word}")
def step_chats_for(context, count, tokens, entry, model):
    """Ask one entry process for a model or version."""
    traffic.start_chats(context, count, tokens, [entry], model=model)
    traffic.finish(context)


@when("{count:d} chats of {tokens:d} tokens are under way")
def step_chats_under_way(context, count, tokens):
    """Send requests for models and wait until all have reached an engine."""
    before = traffic.count_events(context, "start")
    context.names = traffic.start_chats(context, count, tokens)
    traffic.wait_for_events(context, "start", before, count)


@when("{count:d} chats of {tokens:d} tokens are on their way")
def step_chats_on_their_way(context, count, tokens):
    """Send requests for models without waiting for anything."""
    traffic.start_chats(context, count, tokens)


@when("{count:d} lookups are sent")
def step_lookups(context, count):
    """Send calls that may be repeated."""
    traffic.start_lookups(context, count)
    traffic.finish(context)


@when("{count:d} lookups are under way")
def step_lookups_under_way(context, count):
    """Send calls that may be repeated and wait until they have reached the service."""
    before = traffic.count_events(context, "ran")
    traffic.start_lookups(context, count)
    traffic.wait_for_events(context, "ran", before, count)


@when("{count:d} orders are sent")
def step_orders(context, count):
    """Send calls that may not be repeated, each with a key of its own."""
    traffic.start_orders(context, count)
    traffic.finish(context)


@when("{count:d} orders are under way")
def step_orders_under_way(context, count):
    """Send calls that may not be repeated and wait until they have reached the service."""
    before = traffic.count_events(context, "ran")
    traffic.start_orders(context, count)
    traffic.wait_for_events(context, "ran", before, count)


@when("{count:d} orders are on their way")
def step_orders_on_their_way(context, count):
    """Send calls that may not be repeated without waiting for anything."""
    traffic.start_orders(context, count)


@when("all have ended")
def step_all_ended(context):
    """Wait for the requests in the background."""
    traffic.finish(context)


@when("the callers send the same orders again through the other entry")
def step_again(context):
    """Send each order again with its key, elsewhere."""
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


@when("the same order is sent {count:d} times at once")
def step_same_order(context, count):
    """Send one order many times with one key, through all entry processes."""
    key = f"same-{traffic.next_base(context)}"

    def send(sender, index):
        path = traffic.ORDERS[context.deployment]
        body = json.dumps({"order": key})
        return sender.call(context.service, "POST", path, body, key, f"{key}-{index}"), key

    traffic.start(context, count, send)


@then("all requests are answered")
def step_all_answered(context):
    """Every caller got the whole answer to its own request."""
    traffic.finish(context)
    bad = [result for result, _ in context.results if not result.complete]
    assert context.results and not bad, bad
