"""Sends requests in background threads."""

import concurrent.futures
import json

from berylrock.standins import caller, record

ORGANISATIONS = {"ferrante": "infusion", "taurex": "hire-desk"}
LOOKUP_PATHS = {"ferrante": "/stock/{}", "taurex": "/bulls/{}"}
ORDERS = {"ferrante": "/orders/dispatch", "taurex": "/bookings"}
THREADS = 128
EVENTS_TIMEOUT_SECONDS = 60.0


def make_caller(context, entry, organisation=None):
    """Return a caller that sends requests to an entry process.

    Args:
      context: The behave context.
      entry: Name of the entry process.
      organisation: Name of the caller's organisation; None for the deployment's usual one.
    """
    name = organisation or ORGANISATIONS[context.deployment]
    return caller.Caller(context.fleet.caller_url(entry), f"{context.deployment}-key-{name}")


def start(context, count, send, entries=None):
    """Send several requests at once in the background, spread over entry processes.

    Args:
      context: The behave context.
      count: Number of requests.
      send: Function that sends one request, given a caller and the request's index, and returns
        the result with its idempotency key; the key is empty if the request has none.
      entries: Names of the entry processes; None for all.
    """
    if not hasattr(context, "pool"):
        context.pool = concurrent.futures.ThreadPoolExecutor(THREADS)
        context.tasks = []
    entries = entries or context.fleet.entries()
    for index in range(count):
        sender = make_caller(context, entries[index % len(entries)])
        context.tasks.append(context.pool.submit(send, sender, index))


def finish(context):
    """Wait for the background requests and add their results to ``context.results``."""
    context.results.extend(task.result() for task in getattr(context, "tasks", []))
    context.tasks = []


def next_base(context):
    """Return a number that makes the ids of the next requests unique."""
    context.base = getattr(context, "base", 0) + 1000
    return context.base


def start_chats(context, count, tokens, entries=None, **options):
    """Send chat requests in the background.

    Args:
      context: The behave context.
      count: Number of requests.
      tokens: Number of tokens that each request asks for.
      entries: Names of the entry processes; None for all.
      **options: Options of the caller's ``chat``.

    Returns:
      The ids of the requests.
    """
    base = next_base(context)

    def send(sender, index):
        name = f"chat-{base + index}"
        return sender.chat(f"dossier {name}", tokens, name, **options), ""

    start(context, count, send, entries)
    return [f"chat-{base + index}" for index in range(count)]


def start_orders(context, count, entries=None, **options):
    """Send service calls that are not idempotent in the background, each with a key.

    Args:
      context: The behave context.
      count: Number of calls.
      entries: Names of the entry processes; None for all.
      **options: Options of the caller's ``call``.
    """
    base = next_base(context)

    def send(sender, index):
        name = f"order-{base + index}"
        body = json.dumps({"order": name})
        path = ORDERS[context.deployment]
        return sender.call(context.service, "POST", path, body, name, name, **options), name

    start(context, count, send, entries)


def start_lookups(context, count, entries=None, **options):
    """Send idempotent service calls in the background.

    Args:
      context: The behave context.
      count: Number of calls.
      entries: Names of the entry processes; None for all.
      **options: Options of the caller's ``call``.
    """
    base = next_base(context)
    path = LOOKUP_PATHS[context.deployment]

    def send(sender, index):
        name = f"lookup-{base + index}"
        target = path.format(base + index)
        return sender.call(context.service, "GET", target, request_id=name, **options), ""

    start(context, count, send, entries)


def count_events(context, event):
    """Return the number of events of a kind in the stand-ins' record."""
    return sum(row["event"] == event for row in record.read(context.fleet.record))


def wait_for_events(context, event, before, count):
    """Wait until the stand-ins' record has more events of a kind than before.

    Args:
      context: The behave context.
      event: Kind of the events.
      before: Earlier number of such events, from ``count_events``.
      count: Number of additional events to wait for.
    """
    context.fleet.wait(
        lambda: count_events(context, event) - before >= count,
        f"{count} more events in the stand-ins' record",
        EVENTS_TIMEOUT_SECONDS,
    )
