"""Steps that send requests and judge how they ended."""

import asyncio
import concurrent.futures
import json

from behave import then, when

from berylrock.adapters import platform
from berylrock.core import metrics
from berylrock.ops import ledger
from berylrock.standins import caller, judging, record

ORGANISATIONS = {"ferrante": "infusion", "taurex": "hire-desk"}
LOOKUPS = {"ferrante": "/stock/{}", "taurex": "/bulls/{}"}
ORDERS = {"ferrante": "/orders/dispatch", "taurex": "/bookings"}
BILLS_SECONDS = 20.0


def make_caller(context, entry, organisation=None):
    """A caller of one organisation at one entry process."""
    name = organisation or ORGANISATIONS[context.deployment]
    return caller.Caller(context.fleet.caller_url(entry), f"{context.deployment}-key-{name}")


def spread(context, count, send):
    """Send requests over all entry processes at once and keep the results."""
    entries = context.fleet.entries()
    with concurrent.futures.ThreadPoolExecutor(max_workers=count) as pool:
        tasks = []
        for index in range(count):
            sender = make_caller(context, entries[index % len(entries)])
            tasks.append(pool.submit(send, sender, index))
        context.results.extend(task.result() for task in tasks)


@when("{count:d} chats of {tokens:d} tokens are sent")
def step_chats(context, count, tokens):
    """Send requests for models at once."""
    base = len(context.results)

    def send(sender, index):
        name = f"chat-{base + index}"
        return sender.chat(f"dossier {name}", tokens, name), ""

    spread(context, count, send)


@when("{count:d} lookups are sent")
def step_lookups(context, count):
    """Send calls that may be repeated."""
    path = LOOKUPS[context.deployment]

    def send(sender, index):
        name = f"lookup-{index}"
        return sender.call(context.service, "GET", path.format(index), request_id=name), ""

    spread(context, count, send)


@when("{count:d} orders are sent")
def step_orders(context, count):
    """Send calls that may not be repeated, each with a key of its own."""

    def send(sender, index):
        name = f"order-{index}"
        body = json.dumps({"order": index})
        path = ORDERS[context.deployment]
        return sender.call(context.service, "POST", path, body, name, name), name

    spread(context, count, send)


@then("all requests are answered")
def step_all_answered(context):
    """Every caller got the whole answer to its own request."""
    bad = [result for result, _ in context.results if not result.whole]
    assert not bad, bad


def read_bills(context):
    """Wait until all bills are stored and read the ledger."""

    def stored():
        pages = [context.fleet.status(name) for name in context.fleet.entries()]
        return all(page.get("unstored_bills", 0) == 0 for page in pages)

    context.fleet.wait(stored, "all bills to be stored", BILLS_SECONDS)
    objects = platform.HttpObjects(context.fleet.platform_url, metrics.Metrics("", "test"))
    return asyncio.run(ledger.read_all(objects)).values()


@then("the records agree")
def step_records_agree(context):
    """Callers', stand-ins' and the ledger's records show no breach."""
    ran = record.read(context.fleet.record)
    verdict = judging.judge(context.results, ran, read_bills(context))
    assert not verdict.breaches, verdict.breaches
