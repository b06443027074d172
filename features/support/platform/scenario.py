"""Helpers shared by the steps that test a gateway."""

from . import fleet


def start_gateway(context, **options):
    """Start a gateway fleet in the scenario's folder and stop the scenario's previous one.

    Args:
      context: The behave context; its ``gateway`` is set to the new fleet.
      **options: Options of ``fleet.GatewayFleet``.
    """
    if getattr(context, "gateway", None) is not None:
        context.gateway.stop()
    context.gateway = fleet.GatewayFleet(context.root, **options)
    context.cleanups.append(context.gateway.stop)
    context.gateway.start()


def plain_engines(context):
    """Return the engines of the plain service."""
    return [item for name, item in context.gateway.engines.items() if name.startswith("plain")]


def model_engines(context):
    """Return the engines of the model service."""
    return [item for name, item in context.gateway.engines.items() if name.startswith("models")]
