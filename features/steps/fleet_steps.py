"""Steps that start fleets and make things fail."""

import signal
import time

from behave import given, when
from support import fleets

from berylrock.core import data
from berylrock.loader import editing


@given("the {deployment:Word} deployment")
def step_deployment(context, deployment):
    """Start a fleet with a deployment's document."""
    fleets.start_fleet(context, deployment, fleets.read_options(""))


@given("the {deployment:Word} deployment with {options}")
def step_deployment_with(context, deployment, options):
    """Start a fleet of another shape."""
    fleets.start_fleet(context, deployment, fleets.read_options(options))


@when("{name:Word} is killed")
def step_kill(context, name):
    """End a process at once."""
    context.fleet.processes[name].kill()


@when("{name:Word} is frozen")
def step_freeze(context, name):
    """Stop a process without ending it."""
    fleets.suspend(context, name)


@when("{name:Word} is thawed")
def step_thaw(context, name):
    """Let a frozen process go on."""
    fleets.resume(context, name)


@when("{name:Word} is started again")
def step_restart(context, name):
    """Start a process that has ended, and wait until it runs: bounds on what it does begin then."""
    context.fleet.processes[name].restart()
    if name in (*context.fleet.servers, *context.fleet.entries()):
        url = f"{context.fleet.admin_url(name)}/health"
        context.fleet.wait(lambda: context.fleet.responds(url), f"{name} to run")


@when("all is ready again")
def step_ready(context):
    """Wait until every process serves."""
    context.fleet.wait_ready()


@when("{name:Word} is told to stop")
def step_stop(context, name):
    """Ask for a graceful shutdown."""
    context.fleet.processes[name].signal(signal.SIGTERM)


@when("{name:Word} has stopped by itself")
def step_stopped(context, name):
    """Wait until a process has ended."""
    popen = context.fleet.processes[name].popen
    context.fleet.wait(lambda: popen.poll() is not None, f"{name} to end")
    assert popen.returncode == 0, popen.returncode


@when("the path to {server:Server} goes silent")
def step_silent(context, server):
    """The open connections carry nothing any more; new ones work."""
    context.fleet.set_path_fault(server, silent=True)


@when("the path to {server:Server} is cut")
def step_cut(context, server):
    """The open connections break; new ones are refused."""
    context.fleet.set_path_fault(server, cut=True, refuse=True)


@when("the path to {server:Server} is whole")
def step_whole(context, server):
    """New connections work again."""
    context.fleet.set_path_fault(server)


@when("the platform is out")
def step_outage(context):
    """Every call of the platform fails."""
    context.fleet.set_platform_faults(outage=True)


@when("the platform is back")
def step_back(context):
    """The platform works again."""
    context.fleet.set_platform_faults()


@when("the platform loses the answers of {count:d} changes of {kind:Word}")
def step_lose(context, count, kind):
    """Changes take effect, but their answers never come."""
    context.fleet.set_platform_faults(lose={kind: count})


@when("the VM list says that {server:Server} leaves")
def step_leaving(context, server):
    """Mark a VM as leaving."""
    context.fleet.servers[server]["leaving"] = True
    context.fleet.put_vms()
    for name in context.fleet.entries():
        context.fleet.wait(
            lambda name=name: fleets.sees_leaving(context, name, server), "the VM list"
        )


@when("{version:Version} is withdrawn")
def step_withdraw(context, version):
    """Withdraw a version; it is in force everywhere within seconds."""
    fleets.change_config(context, editing.add_withdrawal, version)
    fleets.wait_in_force(context)


@when("{version:Version} is withdrawn while {name:Word} is frozen")
def step_withdraw_frozen(context, version, name):
    """Withdraw a version while a process cannot hear of it."""
    fleets.suspend(context, name)
    fleets.change_config(context, editing.add_withdrawal, version)
    others = [item for item in (*context.fleet.servers, *context.fleet.entries()) if item != name]
    context.fleet.wait_config(context.version, fleets.CONFIG_TIMEOUT_SECONDS, others)
    context.in_force_at = time.time()
    fleets.resume(context, name)


@when("zone {zone:Word} is taken out")
def step_zone_out(context, zone):
    """Take an availability zone out of service."""
    fleets.change_config(context, editing.set_zone, zone, False)
    fleets.wait_in_force(context)


@when("zone {zone:Word} is put in again")
def step_zone_in(context, zone):
    """Put an availability zone into service."""
    fleets.change_config(context, editing.set_zone, zone, True)
    fleets.wait_in_force(context)


@when(
    "a roll-out of {model:Word} from {old:Word} to {new:Word} starts "
    "in steps of {percent:d} each {seconds:g} s"
)
def step_rollout(context, model, old, new, percent, seconds):
    """Start a roll-out."""
    rollout = data.Rollout(model, old, new, 100.0, float(percent), float(seconds))
    fleets.change_config(context, editing.set_rollout, rollout)
    fleets.wait_in_force(context)


@when("the roll-out of {version:Version} has reached {percent:g} per cent")
def step_reached(context, version, percent):
    """Wait until every entry process knows that a roll-out has got so far."""
    for name in context.fleet.entries():
        context.fleet.wait(
            lambda name=name: context.fleet.status(name).get("progress", {}).get(version, 0)
            >= percent,
            f"{version} at {percent} per cent",
        )


@when("{server:Server} turns cold")
def step_cold(context, server):
    """A backend server turns cold without warning."""
    context.fleet.set_backend_options(server, cold=True)


@when("{server:Server} stalls")
def step_stall(context, server):
    """An engine sends nothing any more, with its connections open."""
    context.fleet.set_backend_options(server, stall=True)


@when("{version:Version} turns bad everywhere")
def step_bad(context, version):
    """All engines answer badly with a version."""
    for server in context.fleet.servers:
        if server.startswith("engine"):
            context.fleet.set_backend_options(server, bad=[version])


@when("the services take {seconds:g} s for a call")
def step_slow_service(context, seconds):
    """Plain services become slow."""
    for server in context.fleet.servers:
        if server.startswith("service"):
            context.fleet.set_backend_options(server, seconds=seconds)


@when("the services fall after the next call they run")
def step_die_after(context):
    """Plain services run a call and fall before they answer."""
    for server in context.fleet.servers:
        if server.startswith("service"):
            context.fleet.set_backend_options(server, die_after_run=True)
