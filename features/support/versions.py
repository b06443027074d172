"""Helpers for steps on sessions, the controller's lease and cascades."""

from support import traffic

BAD_VERSION_TIMEOUT_SECONDS = 30.0


def send_chats_as(context, organisation, count, tokens, **options):
    """Send chat requests of an organisation in the background, spread over all entry processes.

    Args:
      context: The behave context.
      organisation: Name of the organisation.
      count: Number of requests.
      tokens: Number of tokens that each request asks for.
      **options: Options of the caller's ``chat``.
    """
    base = traffic.next_base(context)
    entries = context.fleet.entries()

    def send(_sender, index):
        sender = traffic.make_caller(context, entries[index % len(entries)], organisation)
        name = f"chat-{base + index}"
        return sender.chat(f"dossier {name}", tokens, name, **options), ""

    traffic.start(context, count, send)


def send_sessions(context, names, model, tokens=None):
    """Send a chat request in each of several sessions and add the results to the sessions.

    Args:
      context: The behave context; its ``sessions`` has a list of results for each name.
      names: Names of the sessions.
      model: Name of the model.
      tokens: Values of the session header by name; None, or without an entry for a name, to send
        the name itself.
    """
    base = traffic.next_base(context)
    names = list(names)

    def send(sender, index):
        session = (tokens or {}).get(names[index], names[index])
        result = sender.chat(
            f"dossier {base + index}", 4, f"chat-{base + index}", model=model, X_Session=session
        )
        context.sessions[names[index]].append(result)
        return result, ""

    traffic.start(context, len(names), send)
    traffic.finish(context)


def find_holder(context):
    """Return the entry process that holds the lease and its fencing number, or None."""
    for name in context.fleet.entries():
        controller = context.fleet.status(name).get("controller", {})
        if controller.get("held"):
            return name, controller["fence"]
    return None


def wait_holder(context):
    """Wait until an entry process holds the lease, and store both it and its fencing number."""
    context.holder, context.fence = context.fleet.wait(
        lambda: find_holder(context), "a holder of the lease"
    )


def find_other_holder(context):
    """Return the fencing number of a holder other than ``context.old_holder``, or None."""
    for name in context.fleet.entries():
        if name != context.old_holder:
            controller = context.fleet.status(name).get("controller", {})
            if controller.get("held"):
                return controller["fence"]
    return None


def allow_cascade(text, doc, organisation):
    """Return the document's text with an organisation's cascades allowed."""
    return text.replace(f'"name": "{organisation}",', f'"name": "{organisation}", "cascade": true,')


def read_cascade(result):
    """Return the versions that a result's cascade asked, or its only version."""
    only_version = result.headers["X-Berylrock-Version"]
    return result.headers.get("X-Berylrock-Cascade", only_version).split(",")
