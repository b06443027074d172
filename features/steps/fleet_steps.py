"""Steps that start fleets, inject failures and change the configuration."""

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
    """Start a fleet with a deployment's document and other options."""
    fleets.start_fleet(context, deployment, fleets.read_options(options))


@when("{name:Word} is killed")
def step_kill(context, name):
    """Kill a process with SIGKILL."""
    context.fleet.processes[name].kill()


@when("{name:Word} is suspended")
def step_suspend(context, name):
    """Suspend a process with SIGSTOP."""
    fleets.suspend(context, name)


@when("{name:Word} is resumed")
def step_resume(context, name):
    """Resume a suspended process with SIGCONT."""
    fleets.resume(context, name)


@when("{name:Word} is restarted")
def step_restart(context, name):
    """Start a process that has ended and wait until it runs; time bounds on it begin then."""
    context.fleet.processes[name].restart()
    if name in (*context.fleet.servers, *context.fleet.entries()):
        url = f"{context.fleet.admin_url(name)}/health"
        context.fleet.wait(lambda: context.fleet.responds(url), f"{name} to run")


@when("all processes are ready again")
def step_ready(context):
    """Wait until every process serves."""
    context.fleet.wait_ready()


@when("{name:Word} receives SIGTERM")
def step_stop(context, name):
    """Request a graceful shutdown with SIGTERM."""
    context.fleet.processes[name].signal(signal.SIGTERM)


@when("{name:Word} has exited")
def step_stopped(context, name):
    """Wait until a process has ended and check its exit status."""
    popen = context.fleet.processes[name].popen
    context.fleet.wait(lambda: popen.poll() is not None, f"{name} to end")
    assert popen.returncode == 0, popen.returncode


@when("the open connections to {server:Server} go silent")
def step_silent(context, server):
    """Stop data on the open connections without closing them; new connections work."""
    context.fleet.set_path_fault(server, silent=True)


@when("the connections to {server:Server} are cut")
def step_cut(context, server):
    """Break the open connections and refuse new ones."""
    context.fleet.set_path_fault(server, cut=True, refuse=True)


@when("connections to {server:Server} work again")
def step_accept_connections(context, server):
    """Accept new connections again."""
    context.fleet.set_path_fault(server)


@when("the platform is unavailable")
def step_outage(context):
    """Let every call to the platform fail."""
    context.fleet.set_platform_faults(outage=True)


@when("the platform is available again")
def step_platform_available(context):
    """Let the platform work again."""
    context.fleet.set_platform_faults()


@when("the platform applies {count:d} changes of {kind:Word} without answering them")
def step_lose_answers(context, count, kind):
    """Let the platform apply changes without answering them."""
    context.fleet.set_platform_faults(lose={kind: count})


@when("the VM list marks {server:Server} as leaving")
def step_leaving(context, server):
    """Mark a VM as leaving and wait until every entry process has read the VM list."""
    context.fleet.servers[server]["leaving"] = True
    context.fleet.put_vms()
    for name in context.fleet.entries():
        context.fleet.wait(
            lambda name=name: fleets.sees_leaving(context, name, server), "the VM list to be read"
        )


@when("{version:Version} is withdrawn")
def step_withdraw(context, version):
    """Withdraw a version and wait until the change is in force at every process."""
    fleets.change_config(context, editing.add_withdrawal, version)
    fleets.wait_in_force(context)


@when("{version:Version} is withdrawn while {name:Word} is suspended")
def step_withdraw_suspended(context, version, name):
    """Withdraw a version while one process is suspended, and resume the process afterwards."""
    fleets.suspend(context, name)
    fleets.change_config(context, editing.add_withdrawal, version)
    others = [item for item in (*context.fleet.servers, *context.fleet.entries()) if item != name]
    context.fleet.wait_config(context.version, fleets.CONFIG_TIMEOUT_SECONDS, others)
    context.in_force_at = time.time()
    fleets.resume(context, name)


@when("zone {zone:Word} is taken out of service")
def step_zone_out(context, zone):
    """Take an availability zone out of service."""
    fleets.change_config(context, editing.set_zone, zone, False)
    fleets.wait_in_force(context)


@when("zone {zone:Word} is returned to service")
def step_zone_in(context, zone):
    """Return an availability zone to service."""
    fleets.change_config(context, editing.set_zone, zone, True)
    fleets.wait_in_force(context)


@when(
    "a rollout of {model:Word} from {old:Word} to {new:Word} starts "
    "in steps of {percent:d} percent every {seconds:g} s"
)
def step_rollout(context, model, old, new, percent, seconds):
    """Start a rollout and wait until it is in force at every process."""
    rollout = data.Rollout(model, old, new, 100.0, float(percent), float(seconds))
    fleets.change_config(context, editing.set_rollout, rollout)
    fleets.wait_in_force(context)


@when("the rollout of {version:Version} has reached {percent:g} percent")
def step_reached(context, version, percent):
    """Wait until every entry process knows that a rollout has reached a share."""
    for name in context.fleet.entries():
        context.fleet.wait(
            lambda name=name: context.fleet.status(name).get("progress", {}).get(version, 0)
            >= percent,
            f"{version} at {percent} percent",
        )


@when("{server:Server} becomes cold")
def step_cold(context, server):
    """Make a backend server cold without notice."""
    context.fleet.set_backend_options(server, cold=True)


@when("{server:Server} stalls")
def step_stall(context, server):
    """Make an engine stop sending, with its connections open."""
    context.fleet.set_backend_options(server, stall=True)


@when("{version:Version} becomes bad on all engines")
def step_bad(context, version):
    """Make all engines answer badly with a version."""
    for server in context.fleet.servers:
        if server.startswith("engine"):
            context.fleet.set_backend_options(server, bad=[version])


@when("the services take {seconds:g} s per call")
def step_slow_service(context, seconds):
    """Set the time that the plain services take for a call."""
    for server in context.fleet.servers:
        if server.startswith("service"):
            context.fleet.set_backend_options(server, seconds=seconds)


@when("the services crash after the next call that they run")
def step_crash_after(context):
    """Make the plain services run a call and crash before they answer."""
    for server in context.fleet.servers:
        if server.startswith("service"):
            context.fleet.set_backend_options(server, die_after_run=True)
