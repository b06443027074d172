"""Steps on sessions in simulated rollouts, without a network."""

import asyncio
import random

from behave import given, then
from support import sessionsim, virtualtime

from berylrock.core import routing
from berylrock.daemons.gateway import gossipmessage, rolloutexchange
from berylrock.ops import heldsessions, rollouts

NEW = sessionsim.NEW
SOME_S = 5.0
TROUBLES = {
    "without trouble": sessionsim.Trouble(),
    "with a fifth of the datagrams lost and repeated": sessionsim.Trouble(lost=0.2, repeated=0.2),
    "with a third of the gateways told 3 s late": sessionsim.Trouble(late=0.34, late_s=3.0),
    "with half of the gateways restarted as planned": sessionsim.Trouble(restarts=0.5),
    "with half of the gateways restarted after the order": sessionsim.Trouble(
        restarts=0.5, restarts_before_s=-1.2
    ),
    "with no word of other gateways": sessionsim.Trouble(forgets_word=True),
}


@given(
    "{runs:d} simulated rollouts with {gateways:d} gateways and {sessions:d} sessions at a time,"
    " {trouble}"
)
def step_simulate(context, runs, gateways, sessions, trouble):
    """Simulate rollouts with different seeds."""
    context.outcomes = [
        sessionsim.Simulation(seed, gateways, sessions, TROUBLES[trouble]).run()
        for seed in range(runs)
    ]
    for item in context.outcomes:
        assert item.moved > 0.8 * item.followers > 1000, item


@then("new sessions reach the new version in the first half")
def step_first_stage(context):
    """Check that the first stage's share of the sessions that begin in it is on trial."""
    begun = sum(item.begun for item in context.outcomes)
    share = sum(item.begun_new for item in context.outcomes) / begun
    assert 0.7 < share / rollouts.STAGE_SHARES[0] < 1.3, (share, begun)


@then("at most {most:d} requests of a simulation change their session's version early or go back")
def step_no_change(context, most):
    """Check each simulation; the operators' pages allow three requests."""
    assert all(item.early + item.back <= most for item in context.outcomes), context.outcomes


@then("over {least:d} requests change their session's version early")
def step_many_changes(context, least):
    """Check that the simulation shows the fault."""
    assert all(item.early > least for item in context.outcomes), context.outcomes


class ManyRollouts(sessionsim.SimContext):
    """A gateway that follows rollouts of several services."""

    def rollouts_in_force(self):
        """Return the rollouts by service."""
        return self.rollouts


@given(
    "two gateways that follow rollouts of {count:d} services, of which one gateway holds a session"
    " each"
)
def step_many_rollouts(context, count):
    """Exchange datagrams for some seconds, in virtual time."""
    names = ["first", "second"]
    contexts = [ManyRollouts(name, names, random.Random(1)) for name in names]
    found = {
        f"s{number}": routing.Rollout(f"s{number}", NEW, 20.0, "running", 0, number + 1)
        for number in range(count)
    }

    async def play():
        exchanges = [rolloutexchange.RolloutExchange(ctx) for ctx in contexts]
        for ctx in contexts:
            ctx.rollouts = found
        for number, service in enumerate(found):
            key = heldsessions.RolloutKey(service, NEW)
            contexts[0].sessions.held.hold(key, bytes([number] * heldsessions.DIGEST_BYTES), 0.0)
        for _ in range(round(SOME_S / sessionsim.BROADCAST_S)):
            for sender, receiver in (exchanges, exchanges[::-1]):
                sender.begin_round()
                if sender.is_needed:
                    message = gossipmessage.RolloutGossipMessage("", [], [])
                    message.gateway = names[exchanges.index(sender)]
                    sender.prepare(message, [names[exchanges.index(receiver)]])
                    sender.finish(message, names[exchanges.index(receiver)])
                    receiver.receive(message)
            await asyncio.sleep(sessionsim.BROADCAST_S)

    virtualtime.run(play())
    context.held = [
        [ctx.sessions.held.summarise(heldsessions.RolloutKey(service, NEW)) for service in found]
        for ctx in contexts
    ]


@then("the other one knows all held sessions after {seconds:g} s of datagrams")
def step_all_known(context, seconds):
    """Compare the sets of both gateways."""
    assert seconds == SOME_S
    first, second = context.held
    assert first == second and all(item.size == 1 for item in first), context.held
