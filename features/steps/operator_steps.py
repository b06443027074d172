"""Steps on the operators' commands and on invalid input."""

import asyncio
import json
import pathlib
import random
import socket
import subprocess
import sys

import urllib3
from behave import then, when
from support import operators, traffic

from berylrock.core import errors
from berylrock.standins import fleet
from berylrock.wire import link

FAULTY_DOCUMENT = """{
  // Six errors.
  "deployment": "x",
  "zones": [{"name": "a", "region": "r", "colour": "red"}],
  "pools": [{"name": "p", "kind": "engin"}],
  "models": [{"name": "m", "pool": 3, "versions": []}],
  "organisations": [{"name": "o", "key_sha256": [], "quality": {"default": "high"}}],
  "withdrawals": "none"
}
"""
RANDOM_BYTES = 2000
OVERSIZED_BYTES = 1_200_000


@when("a document with 6 errors is checked")
def step_check(context):
    """Run the check command on a faulty document."""
    path = context.root / "faulty.jsonc"
    path.write_text(FAULTY_DOCUMENT)
    command = [sys.executable, "-m", "berylrock", "check", str(path), "--json"]
    context.completed = subprocess.run(command, capture_output=True, text=True, check=False)


@then("{count:d} errors are reported, each with its line and remedy")
def step_errors(context, count):
    """Check that the command lists all errors and has the exit status for them."""
    assert context.completed.returncode == 2, context.completed
    found = json.loads(context.completed.stdout)["errors"]
    assert len(found) == count, found
    assert all(item["line"] > 0 and item["message"] and item["place"] for item in found), found


@when("an operator runs {words}")
def step_operator(context, words):
    """Run a command and check that it succeeds."""
    context.completed = operators.run_command(context, *words.split())
    assert context.completed.returncode == 0, context.completed


@then("the document in force keeps its comments")
def step_comments(context):
    """Check that commands that change one value keep the rest of the text."""
    body = context.fleet.fetch(f"{context.fleet.platform_url}/objects/config/production")
    assert b"// A cold engine holds two requests" in body, body[:500]


@then('the command prints "{text}"')
def step_command_prints(context, text):
    """Check that the command's output contains a text."""
    assert text in context.completed.stdout, context.completed


@when("an operator asks for an explanation of the first request")
def step_explain(context):
    """Run the explain command."""
    request = context.results[0][0].request_id
    context.completed = operators.run_command(context, "explain", request)


@when("an operator draws the timeline")
def step_draw(context):
    """Run the timeline command and write a picture."""
    context.picture = context.root / "line.html"
    context.completed = operators.run_command(context, "timeline", "--html", str(context.picture))
    assert context.completed.returncode == 0, context.completed


@then("the picture shows the processes")
def step_picture(context):
    """Check that the picture names an entry process and an engine."""
    text = context.picture.read_text()
    assert "<svg" in text and "entry-1" in text and "engine-1" in text


@when("a document is stored for the trial environment")
def step_trial(context):
    """Store a document for the trial environment."""
    context.trial = context.fleet.text.replace("garzone", "garzoncello").encode()
    url = f"{context.fleet.platform_url}/objects/config/trial"
    urllib3.request("PUT", url, body=context.trial)


def promote(context, *words):
    """Run the promote command with the trial environment in the settings and return its result."""
    path = pathlib.Path(context.fleet.operator_settings())
    cfg = json.loads(path.read_text())
    cfg["trial"] = {**cfg["platform"], "environment": "trial"}
    path.write_text(json.dumps(cfg))
    command = [sys.executable, "-m", "berylrock", "promote", "--settings", str(path), *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@when("an operator promotes it")
def step_promote(context):
    """Run the promote command and check that it succeeds."""
    context.completed = promote(context)
    assert context.completed.returncode == 0, context.completed


@then("production has the same bytes")
def step_same_bytes(context):
    """Check that the promotion did not change the document."""
    body = context.fleet.fetch(f"{context.fleet.platform_url}/objects/config/production")
    assert body == context.trial


@when("production changes before an operator promotes again")
def step_promote_outdated(context):
    """Store another document, and promote on condition of the version before it."""
    before = context.fleet.config_version
    context.fleet.put_config(context.fleet.text)
    context.completed = promote(context, "--if-version", str(before))


@then("the command is refused with exit code {code:d}")
def step_refused(context, code):
    """Check the exit status and that the message names the reason."""
    assert context.completed.returncode == code, context.completed
    assert "is in force" in context.completed.stderr, context.completed


def build_fault(context, fault):
    """Return the path, headers and body of a request with this fault."""
    key = f"{context.deployment}-key-infusion"
    headers = {"Authorization": f"Bearer {key}"}
    body = json.dumps({"messages": [{"role": "user", "content": "x"}]}).encode()
    path = "/v1/chat/completions"
    if fault == "no key":
        headers = {}
    elif fault == "an unknown key":
        headers = {"Authorization": "Bearer stolen"}
    elif fault == "a body that is not JSON":
        body = b"{"
    elif fault == "an invalid request id":
        headers["X-Request-Id"] = "no spaces"
    elif fault == "an invalid timeout":
        headers["X-Timeout-Ms"] = "soon"
    elif fault == "an oversized body":
        body = b"x" * OVERSIZED_BYTES
    elif fault == "an unknown service":
        path = "/services/nowhere/"
    return path, headers, body


@when("a caller sends a request with {fault}")
def step_send_faulty(context, fault):
    """Send a request with one fault."""
    path, headers, body = build_fault(context, fault)
    url = context.fleet.caller_url("entry-1") + path
    context.answer = urllib3.request("POST", url, headers=headers, body=body, retries=False)


@then("it is refused with status {status:d} as {outcome:Word}")
def step_fault_refused(context, status, outcome):
    """Check that the refusal has an outcome and a message, and that the log has no key."""
    assert context.answer.status == status, (context.answer.status, context.answer.data)
    assert context.answer.headers["X-Berylrock-Outcome"] == outcome
    assert json.loads(context.answer.data)["error"]["message"]
    log = context.fleet.processes["entry-1"].log.read_text()
    assert "stolen" not in log and "key-infusion" not in log


@when("random bytes are sent to each listening port")
def step_random_bytes(context):
    """Send bytes that follow no protocol."""
    rng = random.Random(1)
    ports = {fleet.CALLER_PORT, fleet.ADMIN_PORT, fleet.LINK_PORT}
    for name in (*context.fleet.entries(), *context.fleet.servers):
        for port in ports:
            address = (context.fleet.processes[name].address, port)
            for _ in range(5):
                try:
                    with socket.create_connection(address, 1.0) as sock:
                        sock.sendall(rng.randbytes(RANDOM_BYTES))
                except OSError:
                    continue


@when("a peer without the secret connects to {server:Server}")
def step_no_secret(context, server):
    """Try to connect as an entry process without the secret."""
    row = context.fleet.servers[server]

    async def connect():
        await link.connect(row["address"], row["port"], "wrong secret", "intruder", "zone")

    try:
        asyncio.run(connect())
        context.refusal = None
    except errors.LinkLost as exc:
        context.refusal = exc


@then("the peer without the secret was refused")
def step_peer_refused(context):
    """Check that the peer got no connection and that all processes run."""
    assert context.refusal is not None
    for process in context.fleet.processes.values():
        assert process.popen.poll() is None, process.name


@then("some requests are answered and the others are refused for the quota")
def step_quota(context):
    """Check that the quota is enforced and that the other requests are answered."""
    traffic.finish(context)
    statuses = [result.status for result, _ in context.results]
    assert 429 in statuses and 200 in statuses and set(statuses) <= {200, 429}, statuses
