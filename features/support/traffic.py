"""Sends requests in the background."""

import concurrent.futures
import json

from berylrock.standins import caller, record

ORGANISATIONS = {"ferrante": "infusion", "taurex": "hire-desk"}
LOOKUPS = {"ferrante": "/stock/{}", "taurex": "/bulls/{}"}
ORDERS = {"ferrante": "/orders/dispatch", "taurex": "/bookings"}
THREADS = 128
UNDER_WAY_SECONDS = 60.0


def make_caller(context, entry, organisation=None):
    """A caller of one organisation at one entry process."""
    name = organisation or ORGANISATIONS[context.deployment]
    return caller.Caller(context.fleet.caller_url(entry), f"{context.deployment}-key-{name}")


def start(context, count, send, entries=None):
    """Send requests over the entry processes at once, in the background."""
    if not hasattr(context, "pool"):
        context.pool = concurrent.futures.ThreadPoolExecutor(THREADS)
        context.tasks = []
    entries = entries or context.fleet.entries()
    for index in range(count):
        sender = make_caller(context, entries[index % len(entries)])
        context.tasks.append(context.pool.submit(send, sender, index))


def finish(context):
    """Wait for the requests in the background and keep their results."""
    context.results.extend(task.result() for task in getattr(context, "tasks", []))
    context.tasks = []


def next_base(context):
    """A number that makes the names of the next requests new."""
    context.base = getattr(context, "base", 0) + 1000
    return context.base


def start_chats(context, count, tokens, entries=None, **options):
    """Send requests for models in the background; returns their names."""
    base = next_base(context)

    def send(sender, index):
        name = f"chat-{base + index}"
        return sender.chat(f"dossier {name}", tokens, name, **options), ""

    start(context, count, send, entries)
    return [f"chat-{base + index}" for index in range(count)]


def start_orders(context, count, entries=None, **options):
    """Send calls that may not be repeated, in the background."""
    base = next_base(context)

    def send(sender, index):
        name = f"order-{base + index}"
        body = json.dumps({"order": name})
        path = ORDERS[context.deployment]
        return sender.call(context.service, "POST", path, body, name, name, **options), name

    start(context, count, send, entries)


def start_lookups(context, count, entries=None, **options):
    """Send calls that may be repeated, in the background."""
    base = next_base(context)
    path = LOOKUPS[context.deployment]

    def send(sender, index):
        name = f"lookup-{base + index}"
        where = path.format(base + index)
        return sender.call(context.service, "GET", where, request_id=name, **options), ""

    start(context, count, send, entries)


def count_events(context, event):
    """How often the stand-ins' record has an event."""
    return sum(row["event"] == event for row in record.read(context.fleet.record))


def wait_under_way(context, event, before, count):
    """Wait until so many more requests have reached a backend server."""
    context.fleet.wait(
        lambda: count_events(context, event) - before >= count,
        f"{count} requests under way",
        UNDER_WAY_SECONDS,
    )
