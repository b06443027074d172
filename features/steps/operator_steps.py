"""Steps about the operators' commands and about bad input."""

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

FAULTY = """{
  // Six faults.
  "deployment": "x",
  "zones": [{"name": "a", "region": "r", "colour": "red"}],
  "pools": [{"name": "p", "kind": "engin"}],
  "models": [{"name": "m", "pool": 3, "versions": []}],
  "organisations": [{"name": "o", "key_sha256": [], "quality": {"default": "high"}}],
  "withdrawals": "none"
}
"""
RANDOM_BYTES = 2000
TOO_BIG_BYTES = 1_200_000


@when("a document with 6 faults is checked")
def step_check(context):
    """Run the command on a faulty document."""
    path = context.root / "faulty.jsonc"
    path.write_text(FAULTY)
    command = [sys.executable, "-m", "berylrock", "check", str(path), "--json"]
    context.ran = subprocess.run(command, capture_output=True, text=True, check=False)


@then("{count:d} errors are reported, each with its line and remedy")
def step_errors(context, count):
    """The command lists all errors and says so by its exit code."""
    assert context.ran.returncode == 2, context.ran
    found = json.loads(context.ran.stdout)["errors"]
    assert len(found) == count, found
    assert all(item["line"] > 0 and item["message"] and item["place"] for item in found), found


@when("an operator runs {words}")
def step_operator(context, words):
    """Run a command; it must end well."""
    context.ran = operators.run_command(context, *words.split())
    assert context.ran.returncode == 0, context.ran


@then("the document in force keeps its comments")
def step_comments(context):
    """Commands that change one value leave the rest of the text."""
    body = context.fleet.fetch(f"{context.fleet.platform_url}/objects/config/production")
    assert b"// A cold engine holds two requests" in body, body[:500]


@then('the operator reads "{text}"')
def step_reads(context, text):
    """The command's output has a text."""
    assert text in context.ran.stdout, context.ran


@when("an operator asks what became of the first request")
def step_explain(context):
    """Run explain."""
    request = context.results[0][0].request_id
    context.ran = operators.run_command(context, "explain", request)


@when("an operator draws the time line")
def step_draw(context):
    """Run timeline with a picture."""
    context.picture = context.root / "line.html"
    context.ran = operators.run_command(context, "timeline", "--html", str(context.picture))
    assert context.ran.returncode == 0, context.ran


@then("the picture shows the processes")
def step_picture(context):
    """The picture has a row for each process."""
    text = context.picture.read_text()
    assert "<svg" in text and "entry-1" in text and "engine-1" in text


@when("a document is tried in the trial environment")
def step_trial(context):
    """Store a document for the trial environment."""
    context.trial = context.fleet.text.replace("garzone", "garzoncello").encode()
    url = f"{context.fleet.platform_url}/objects/config/trial"
    urllib3.request("PUT", url, body=context.trial)


def promote(context, *words):
    """Run promote with the trial environment in the settings."""
    path = pathlib.Path(context.fleet.operator_settings())
    cfg = json.loads(path.read_text())
    cfg["trial"] = {**cfg["platform"], "environment": "trial"}
    path.write_text(json.dumps(cfg))
    command = [sys.executable, "-m", "berylrock", "promote", "--settings", str(path), *words]
    return subprocess.run(command, capture_output=True, text=True, check=False)


@when("an operator promotes it")
def step_promote(context):
    """Promote."""
    context.ran = promote(context)
    assert context.ran.returncode == 0, context.ran


@then("production has the same bytes")
def step_same_bytes(context):
    """Nothing was changed on the way."""
    body = context.fleet.fetch(f"{context.fleet.platform_url}/objects/config/production")
    assert body == context.trial


@when("production moves on while an operator promotes again")
def step_moves_on(context):
    """The operator names the version that was in force before."""
    before = context.fleet.config_version
    context.fleet.put_config(context.fleet.text)
    context.ran = promote(context, "--if-version", str(before))


@then("the operator is refused with exit code {code:d}")
def step_refused(context, code):
    """The command says why."""
    assert context.ran.returncode == code, context.ran
    assert "is in force" in context.ran.stderr, context.ran


def build_fault(context, fault):
    """The method, path, headers and body of a faulty request."""
    key = f"{context.deployment}-key-infusion"
    headers = {"Authorization": f"Bearer {key}"}
    body = json.dumps({"messages": [{"role": "user", "content": "x"}]}).encode()
    path = "/v1/chat/completions"
    if fault == "no key":
        headers = {}
    elif fault == "an unknown key":
        headers = {"Authorization": "Bearer stolen"}
    elif fault == "a body that is no JSON":
        body = b"{"
    elif fault == "a bad request id":
        headers["X-Request-Id"] = "no spaces"
    elif fault == "a bad timeout":
        headers["X-Timeout-Ms"] = "soon"
    elif fault == "a body that is too big":
        body = b"x" * TOO_BIG_BYTES
    elif fault == "an unknown service":
        path = "/services/nowhere/"
    return path, headers, body


@when("a caller sends a request with {fault}")
def step_fault(context, fault):
    """Send a faulty request."""
    path, headers, body = build_fault(context, fault)
    url = context.fleet.caller_url("entry-1") + path
    context.answer = urllib3.request("POST", url, headers=headers, body=body, retries=False)


@then("it is refused with status {status:d} as {outcome:Word}")
def step_fault_refused(context, status, outcome):
    """The refusal is typed and names a remedy, and no log has the key."""
    assert context.answer.status == status, (context.answer.status, context.answer.data)
    assert context.answer.headers["X-Berylrock-Outcome"] == outcome
    assert json.loads(context.answer.data)["error"]["message"]
    log = context.fleet.processes["entry-1"].log.read_text()
    assert "stolen" not in log and "key-infusion" not in log


@when("random bytes are sent to each listening port")
def step_random_bytes(context):
    """Send what is no protocol at all."""
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
        context.intruder = None
    except errors.LinkLost as exc:
        context.intruder = exc


@then("the peer without the secret was refused")
def step_intruder(context):
    """It got no connection, and all processes live."""
    assert context.intruder is not None
    for process in context.fleet.processes.values():
        assert process.popen.poll() is None, process.name


@then("some requests are refused as not-run for their quota")
def step_quota(context):
    """The quota holds, and the rest is answered."""
    traffic.finish(context)
    statuses = [result.status for result, _ in context.results]
    assert 429 in statuses and 200 in statuses and set(statuses) <= {200, 429}, statuses
