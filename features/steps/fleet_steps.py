"""Steps that start fleets and break them."""

from behave import given, when

from berylrock.standins import fleet

APPS = {"ferrante": "gestionale", "taurex": "ledger-app"}


def start_fleet(context, deployment, **options):
    """Start a fleet and keep it in the context."""
    shape = {"engines": 3, "services": 2, **options}
    context.deployment = deployment
    context.service = APPS[deployment]
    document = f"examples/{deployment}.jsonc"
    context.fleet = fleet.Fleet(fleet.FleetOptions(document, context.root, **shape))
    context.fleet.start()


@given("the {deployment} deployment")
def step_deployment(context, deployment):
    """Start a fleet with a deployment's document."""
    start_fleet(context, deployment)


@when("{name} is killed")
def step_kill(context, name):
    """End a process at once."""
    context.fleet.processes[name].kill()
