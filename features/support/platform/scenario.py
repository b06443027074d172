"""What steps on a gateway share."""

from . import fleet


def start(context, **options):
    """Start a fleet in the scenario's folder, in place of an earlier one."""
    if getattr(context, "gateway", None) is not None:
        context.gateway.stop()
    context.gateway = fleet.GatewayFleet(context.root, **options)
    context.cleanups.append(context.gateway.stop)
    context.gateway.start()


def plain(context):
    """The plain engines."""
    return [item for name, item in context.gateway.engines.items() if name.startswith("plain")]


def models(context):
    """The model engines."""
    return [item for name, item in context.gateway.engines.items() if name.startswith("models")]
