"""Troubles thrown at the world at random times."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from functools import partial

from tests.sites import CANCEL_S
from tests.world import STATE, World


def _crash_one(world: World) -> None:
    world.hosts[world.rng.choice(world.site.nodes)].crash(world.rng.uniform(0.5, 10.0))


def _crash_leader(world: World) -> None:
    for host in world.leaders():
        host.crash(world.rng.uniform(0.5, 10.0))


def _crash_all(world: World) -> None:
    for host in world.hosts.values():
        host.crash(world.rng.uniform(1.0, 8.0))


def _state_outage(world: World) -> None:
    world.state.out = True
    world.sim.after(world.rng.uniform(1.0, 25.0), world.state.recover)


def _state_out_for_one(world: World) -> None:
    name = world.rng.choice(world.site.nodes)
    world.state.out_for.add(name)
    world.sim.after(world.rng.uniform(1.0, 25.0), lambda: world.state.out_for.discard(name))


def _outage_then_crash(world: World) -> None:
    """An outage, and somebody falls while the leader lives on pledges."""
    _state_outage(world)
    victim = world.rng.choice([_crash_leader, _crash_one, _crash_all, _cut_leader])
    world.sim.after(world.rng.uniform(0.0, 12.0), lambda: victim(world))


def _cloud_outage(world: World) -> None:
    world.cloud.out = True
    world.sim.after(world.rng.uniform(5.0, 30.0), lambda: setattr(world.cloud, "out", False))


def _cut(world: World, end: str) -> None:
    world.cuts.add(end)
    world.sim.after(world.rng.uniform(2.0, 30.0), lambda: world.cuts.discard(end))


def _cut_machine(world: World) -> None:
    if world.workers:
        _cut(world, world.rng.choice(sorted(world.workers)))


def _cut_leader(world: World) -> None:
    for host in world.leaders():
        _cut(world, host.name)


def _cut_node_from(world: World) -> None:
    """One node cannot reach one other end; everything else goes on."""
    source = world.rng.choice(world.site.nodes)
    target = world.rng.choice([*world.site.nodes, "10.2.0.1:2379", "10.2.0.2:8443"])
    world.blocked.add((source, target))
    world.sim.after(world.rng.uniform(2.0, 30.0), lambda: world.blocked.discard((source, target)))


def _hang(world: World) -> None:
    if world.workers:
        worker = world.workers[world.rng.choice(sorted(world.workers))]
        world.hang(worker, world.rng.uniform(1.0, 25.0))


def _die(world: World) -> None:
    if world.workers:
        world.die(world.workers[world.rng.choice(sorted(world.workers))])


def _sick(world: World) -> None:
    if world.workers:
        world.workers[world.rng.choice(sorted(world.workers))].sick = True


def _spot_wave(world: World) -> None:
    for rig in list(world.cloud.rigs.values()):
        if rig.spot and rig.gone_at is None and world.rng.random() < 0.5:
            world.take_back(rig, world.rng.choice([None, 3.0, 12.0]))


def _for_a_while(world: World, name: str, seconds: float, end: Callable[[], object]) -> None:
    """It ends by itself, and is written down as having happened."""
    world.met[name] += 1
    world.spans.append((name, world.sim.now, world.sim.now + seconds))
    world.sim.after(seconds, lambda: (end(), None)[1])


def late_writes(world: World) -> None:
    """Transactions without an answer, carried out after newer ones."""
    world.state.late_share = world.rng.uniform(0.05, 0.5)
    end = partial(setattr, world.state, "late_share", 0.0)
    _for_a_while(world, "late writes", world.rng.uniform(5.0, 30.0), end)


def late_reports(world: World) -> None:
    """Copies of reports, up to well over a lease later, at any node."""
    world.copies = world.rng.uniform(0.1, 0.6)
    end = partial(setattr, world, "copies", 0.0)
    _for_a_while(world, "late reports", world.rng.uniform(5.0, 40.0), end)


def deaf_machines(world: World) -> None:
    """Their reports arrive; nothing reaches them."""
    share = world.rng.choice([0.1, 0.3, 1.0])
    some = {address for address in sorted(world.workers) if world.rng.random() < share}
    world.deaf |= some
    end = partial(world.deaf.difference_update, some)
    _for_a_while(world, "deaf machines", world.rng.uniform(1.0, 25.0), end)


def lonely_leader(world: World) -> None:
    """Cut from the state service and its siblings, with its workers and users."""
    for host in world.leaders():
        others = [name for name in world.site.nodes if name != host.name]
        links = {(host.name, STATE)}
        links |= {pair for other in others for pair in ((host.name, other), (other, host.name))}
        world.blocked |= links
        end = partial(world.blocked.difference_update, links)
        _for_a_while(world, "lonely leader", world.rng.uniform(2.0, 30.0), end)


def slow_state(world: World) -> None:
    world.slow = world.rng.uniform(0.1, 0.7)
    end = partial(setattr, world, "slow", 0.0)
    _for_a_while(world, "slow state service", world.rng.uniform(5.0, 25.0), end)


def held_commands(world: World) -> None:
    world.held = world.rng.uniform(0.2, 0.9)
    end = partial(setattr, world, "held", 0.0)
    _for_a_while(world, "held commands", world.rng.uniform(5.0, 25.0), end)


def back_at_once(world: World) -> None:
    """Some or all controllers end, and are back within a fraction of a second."""
    names = world.rng.choice([world.site.nodes, [world.rng.choice(world.site.nodes)]])
    for name in names:
        world.hosts[name].crash(world.rng.uniform(0.05, 0.5))
    _for_a_while(world, "back at once", 1.0, lambda: None)


def standing_still(world: World) -> None:
    seconds = world.rng.choice([1.0, 5.0, 25.0])
    world.freeze(world.rng.choice(world.site.nodes), seconds)
    _for_a_while(world, "standing still", seconds, lambda: None)


def gap(world: World, alone_s: float | None = None, all_s: float | None = None) -> None:
    """The state service refuses the leader alone, then everybody."""
    alone = world.rng.uniform(0.2, 6.0) if alone_s is None else alone_s
    whole = world.rng.uniform(5.0, 1.4 * CANCEL_S) if all_s is None else all_s
    for host in world.leaders():
        world.state.out_for.add(host.name)
        end = partial(world.state.out_for.discard, host.name)
        _for_a_while(world, "leader refused", alone + min(whole, 10.0), end)
    world.sim.after(alone, lambda: setattr(world.state, "out", True))
    _for_a_while(world, "gap", alone + whole, world.state.recover)


MEETINGS: list[Callable[[World], None]] = [
    late_writes, late_reports, deaf_machines, lonely_leader, slow_state, held_commands,
    back_at_once, standing_still, gap,
]  # fmt: skip


TROUBLES: list[Callable[[World], None]] = [
    _crash_one, _crash_leader, _crash_all, _state_outage, _state_out_for_one,
    _outage_then_crash, _cloud_outage, _cut_machine, _cut_leader, _cut_node_from,
    _hang, _die, _sick, _spot_wave,
]  # fmt: skip


def unleash(
    world: World,
    until: float,
    gap_s: float,
    troubles: Sequence[Callable[[World], None]] = TROUBLES,
) -> None:
    """A trouble every so often, overlapping as luck has it."""
    at = world.rng.uniform(5.0, 15.0)
    while at < until:
        trouble = world.rng.choice(troubles)
        world.sim.after(at, lambda trouble=trouble: trouble(world))
        at += world.rng.expovariate(1.0 / gap_s)


def heal(world: World) -> None:
    """Everything works again; what is still under way ends by itself."""
    world.state.out_for.clear()
    world.cuts.clear()
    world.blocked.clear()
    world.deaf.clear()
    world.lossy = world.copies = world.held = world.slow = 0.0
    world.state.late_share = 0.0
    world.rules.healed_at = world.sim.now
    world.cloud.out = False
    if world.state.out:
        world.state.recover()


def outages(world: World, until: float) -> None:
    """Outages of every kind, one after the other, with falls and cuts inside them."""
    kinds = [_state_outage, _state_out_for_one, _outage_then_crash, _cut_leader, _crash_leader]
    at = 10.0
    while at < until:
        trouble = world.rng.choice(kinds)
        world.sim.after(at, lambda trouble=trouble: trouble(world))
        at += world.rng.uniform(2.0, 12.0)
