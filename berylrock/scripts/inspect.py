"""Subcommands that show the state of the fleet and the history of requests."""

import argparse
import asyncio
import concurrent.futures
import json
import sys
import time
from typing import Any

import urllib3

from berylrock.adapters import platform
from berylrock.core import eventlog, metrics
from berylrock.loader import settings
from berylrock.ops import chart, explaining, ledger, timeline

__all__ = ["add_commands"]

FETCH_TIMEOUT_SECONDS = 2.0
FETCH_THREADS = 16
EXIT_NOT_FOUND = 1


def add_commands(commands: Any) -> None:
    """Add the subcommands to the parser of the command line."""
    status = commands.add_parser("status", help="show the state of all processes on one screen")
    _add_common(status)
    status.set_defaults(run=_status)
    explain = commands.add_parser("explain", help="explain the routing decisions for a request")
    explain.add_argument("request", metavar="REQUEST-ID")
    _add_common(explain)
    explain.set_defaults(run=_explain)
    line = commands.add_parser("timeline", help="merge the events of all processes")
    line.add_argument("--request", default="", help="only this request")
    line.add_argument("--version", default="", help="only this model@version")
    line.add_argument("--zone", default="", help="only this availability zone")
    line.add_argument("--html", metavar="FILE", help="write the timeline as a single HTML file")
    _add_common(line)
    line.set_defaults(run=_timeline)
    bills = commands.add_parser("bills", help="print the ledger, one row for each billed step")
    _add_common(bills)
    bills.set_defaults(run=_bills)


def _add_common(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--settings", required=True, help="file with the operators' settings")
    parser.add_argument("--json", action="store_true", help="print JSON for programs")


def _load_settings(args: argparse.Namespace) -> settings.OperatorSettings:
    return settings.load(args.settings, settings.OperatorSettings)


def _fetch(url: str, key: str) -> bytes | None:
    try:
        resp = urllib3.request(
            "GET",
            url,
            headers={"Authorization": f"Bearer {key}"},
            timeout=FETCH_TIMEOUT_SECONDS,
            retries=False,
        )
    except urllib3.exceptions.HTTPError as exc:
        print(f"no answer from {url}: {exc}", file=sys.stderr)
        return None
    if resp.status != 200:
        print(f"{url} answered {resp.status}; check operator_key", file=sys.stderr)
        return None
    return resp.data


def _fetch_pages(cfg: settings.OperatorSettings, page: str) -> dict[str, bytes | None]:
    urls = [f"{base.rstrip('/')}/{page}" for base in cfg.admin_urls]
    with concurrent.futures.ThreadPoolExecutor(FETCH_THREADS) as pool:
        bodies = pool.map(lambda url: _fetch(url, cfg.operator_key), urls)
    return dict(zip(urls, bodies, strict=True))


def fetch_events(cfg: settings.OperatorSettings) -> list[eventlog.Event]:
    """Fetch the recent events of all processes that respond."""
    events = []
    for body in _fetch_pages(cfg, "events").values():
        for line in (body or b"").splitlines():
            if line:
                events.append(eventlog.Event(**json.loads(line)))
    return events


def _status(args: argparse.Namespace) -> int:
    pages = _fetch_pages(_load_settings(args), "status")
    rows = {url: json.loads(body) if body else None for url, body in pages.items()}
    if args.json:
        print(json.dumps(rows))
        return 0
    for line in explaining.describe_status(rows):
        print(line)
    return 0


def _explain(args: argparse.Namespace) -> int:
    events = timeline.merge(fetch_events(_load_settings(args)))
    found = timeline.filter_events(events, request=args.request)
    if args.json:
        print(json.dumps([event._asdict() for event in found], default=str))
    else:
        for line in explaining.explain_request(args.request, found):
            print(line)
    return 0 if found else EXIT_NOT_FOUND


def _timeline(args: argparse.Namespace) -> int:
    events = timeline.merge(fetch_events(_load_settings(args)))
    found = timeline.filter_events(events, args.request, args.version, args.zone)
    if args.html:
        with open(args.html, "w", encoding="utf-8") as file:
            file.write(chart.draw(found))
        print(f"wrote {args.html}", file=sys.stderr)
    if args.json:
        print(json.dumps([event._asdict() for event in found], default=str))
    else:
        print_events(found)
    return 0


def print_events(events: list[eventlog.Event]) -> None:
    """Print events, one per line."""
    for event in events:
        clock = time.strftime("%H:%M:%S", time.gmtime(event.time))
        fields = " ".join(f"{key}={value}" for key, value in event.fields.items())
        print(f"{clock}.{int(event.time % 1 * 1000):03d} {event.process:<12} {event.name} {fields}")


def _bills(args: argparse.Namespace) -> int:
    cfg = _load_settings(args)
    objects = platform.HttpObjectStore(cfg.platform.objects_url, metrics.Metrics("", "operator"))
    bills = asyncio.run(ledger.read_all(objects))
    if args.json:
        print(json.dumps([bill._asdict() for bill in bills.values()]))
        return 0
    for bill in bills.values():
        print(f"{bill.organisation:<14} {bill.request_id:<30} {bill.target:<16} {bill.tokens}")
    return 0
