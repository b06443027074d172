"""Sessions and the lease."""

from support import traffic

FOUND_BAD_SECONDS = 30.0


def send_as(context, organisation, count, tokens, **options):
    """Send chats of one organisation in the background."""
    base = traffic.next_base(context)
    entries = context.fleet.entries()

    def send(_sender, index):
        sender = traffic.make_caller(context, entries[index % len(entries)], organisation)
        name = f"chat-{base + index}"
        return sender.chat(f"dossier {name}", tokens, name, **options), ""

    traffic.start(context, count, send)


def send_sessions(context, names, model, tokens=None):
    """Send a chat in each session; keeps the version that answered."""
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
    """The entry process that holds the lease, and its fencing number; or None."""
    for name in context.fleet.entries():
        controller = context.fleet.status(name).get("controller", {})
        if controller.get("held"):
            return name, controller["fence"]
    return None


def wait_holder(context):
    """Wait until some entry process holds the lease."""
    context.holder, context.fence = context.fleet.wait(
        lambda: find_holder(context), "a holder of the lease"
    )


def find_other_holder(context):
    """Another holder than the frozen one, or None."""
    for name in context.fleet.entries():
        if name != context.old_holder:
            controller = context.fleet.status(name).get("controller", {})
            if controller.get("held"):
                return controller["fence"]
    return None


def allow_cascade(text, doc, organisation):
    """The document with an organisation's cascade allowed."""
    return text.replace(f'"name": "{organisation}",', f'"name": "{organisation}", "cascade": true,')


def read_steps(result):
    """The versions that were asked for an answer."""
    alone = result.headers["X-Berylrock-Version"]
    return result.headers.get("X-Berylrock-Cascade", alone).split(",")
