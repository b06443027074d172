"""Steps that check a configuration of the users' platform with the command line."""

import copy
import json
import pathlib
import subprocess
import sys

from behave import given, then, when
from support.platform import fleet

NEW_KEY = "key-secret-two"


def make_sound():
    """Return a configuration without any finding."""
    config = fleet.make_config(7)
    models = [{"name": "small", "cost": 0.1}, {"name": "large", "cost": 0.9}]
    config["backends"][1]["engine"]["models"] = models
    return config


def _add_route(config):
    config["routes"].append(config["routes"][0] | {"name": "again"})


def _add_key(config):
    config["version"] += 1
    config["tenants"][0]["api-keys"].append(NEW_KEY)
    config["routes"][0]["timeout-ms"] = 4000


CHANGES = {
    "two routes have the same prefix": _add_route,
    "a prefix has no slash at its end": lambda c: c["routes"][0].update({"path-prefix": "/read"}),
    "a route names an unknown service": lambda c: c["routes"][0].update(backend="missing"),
    "a route has only weights of 0": lambda c: c["routes"][0].update(
        {"traffic-split": [{"backend": "plain", "weight": 0}]}
    ),
    "a route times out before its target": lambda c: c["routes"][0].update({"timeout-ms": 500}),
    "a route names a model that is missing": lambda c: c["routes"][2]["sizes"].append("huge"),
    "an order may be attempted twice": lambda c: c["routes"][1].update({"max-attempts": 2}),
    "no route names a service": lambda c: c["backends"].append({"name": "idle"}),
    "two organisations share a key": lambda c: c["tenants"].append(
        {"name": "two", "api-keys": [fleet.KEY]}
    ),
    "an organisation has no key": lambda c: c["tenants"].append({"name": "none", "api-keys": []}),
    "a limit is 0": lambda c: c["limits"].update({"max-header-bytes": 0}),
    "a number is a word": lambda c: c["routes"][0].update({"timeout-ms": "soon"}),
    "a route has no name": lambda c: c["routes"][0].pop("name"),
    "a key is added and a route times out later": _add_key,
}


def write(context, name, config):
    """Write a configuration to a file, with a comment as operators have them."""
    path = pathlib.Path(context.root) / name
    path.write_text("// written by hand\n" + json.dumps(config))
    return str(path)


def run_check(path, *options):
    """Run the command, and return its result and what it printed as JSON."""
    command = [sys.executable, "-m", "berylrock", "check", path, "--json", *options]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.stdout, result.stderr
    return result, json.loads(result.stdout)


@given("a configuration of the platform in a file")
def step_sound(context):
    """Write one without any finding."""
    context.checked = make_sound()
    context.path = write(context, "config.json", context.checked)


@given("a configuration of the platform in a file in which {what}")
def step_changed(context, what):
    """Write one with a change."""
    context.checked = make_sound()
    CHANGES[what](context.checked)
    context.path = write(context, "config.json", context.checked)


@when("it is checked")
def step_check(context):
    """Run the command."""
    context.result, context.printed = run_check(context.path)


@when("it is checked strictly")
def step_check_strictly(context):
    """Run the command with warnings as errors."""
    context.result, context.printed = run_check(context.path, "--strict")


@when("it is checked against the one in force")
def step_check_against(context):
    """Run the command with the configuration before the change."""
    context.in_force = write(context, "in-force.json", make_sound())
    context.result, context.printed = run_check(context.path, "--against", context.in_force)


@then("it is sound, with exit code {code:d}")
def step_is_sound(context, code):
    """Check that nothing was found, also in the text for people."""
    assert context.printed["findings"] == [] and context.result.returncode == code
    command = [sys.executable, "-m", "berylrock", "check", context.path]
    text = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert text.endswith(": sound\n"), text


@then('an {level} on "{place}" says "{words}", with exit code {code:d}')
def step_found(context, level, place, words, code):
    """Look for the finding."""
    found = context.printed.get("findings") or context.printed["errors"]
    assert any(
        item.get("level", "error") == level and item["place"] == place and words in item["message"]
        for item in found
    ), found
    assert context.result.returncode == code, context.result


@then(
    "the differences are the route's time-out, the limits not, and one key more, which is not shown"
)
def step_differences(context):
    """Compare what the command printed."""
    found = {item["place"]: item["details"] for item in context.printed["differences"]}
    assert found.keys() == {"route read", "organisation one"}, found
    assert found["route read"] == ["timeout_s: 3.0 -> 4.0"], found
    assert found["organisation one"] == ["keys: 1 added, 0 removed"], found
    assert NEW_KEY not in context.result.stdout + context.result.stderr
    assert context.result.returncode == 0


@then("a configuration whose version is not above that in force is an error")
def step_old_version(context):
    """Check the one in force against itself."""
    config = copy.deepcopy(make_sound())
    path = write(context, "same.json", config)
    result, printed = run_check(path, "--against", context.in_force)
    assert result.returncode == 2 and printed["findings"][0]["place"] == "version", printed
