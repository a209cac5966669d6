"""Whom to stop so that more urgent work finds room.

A pass asks for one short job after the other. What stops already under way
will free counts before new victims are chosen, and is promised only once.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Protocol

from appleshift.placement.fit import (
    FailedNeeds,
    lost_work_s,
    remaining_per_zone,
    stop_grace_s,
    tasks_that_fit,
)
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import (
    ASSIGNED,
    EPSILON,
    EXITED,
    ClusterState,
    Job,
    Machine,
    TaskRun,
)


@dataclass(slots=True)
class _FreeableRoom:
    """What a machine has free or will have, and whom it could stop."""

    cpus: float
    gpus: float
    memory_gb: float
    runs: list[TaskRun] = field(default_factory=list)
    stopping: bool = False
    least: int = -1
    """The rank of its least urgent work; a larger rank is less urgent."""

    def add(self, job: Job) -> None:
        self.cpus += job.spec.cpus
        self.gpus += job.spec.gpus
        self.memory_gb += job.spec.memory_gb

    def take(self, job: Job) -> bool:
        """Promise room for a task, if there is any."""
        spec = job.spec
        if (
            self.cpus + EPSILON < spec.cpus
            or self.gpus + EPSILON < spec.gpus
            or self.memory_gb + EPSILON < spec.memory_gb
        ):
            return False
        self.cpus -= spec.cpus
        self.gpus -= spec.gpus
        self.memory_gb -= spec.memory_gb
        return True


class PlacementPassView(Protocol):
    """The placement pass that asks whom to stop."""

    cluster: ClusterState
    now: float
    pools: dict[tuple[int, int, bool], list[Machine]]

    def placement_key(self, job: Job) -> tuple[object, ...]: ...

    def allowed(self, job: Job, cards: bool = False) -> Iterator[Machine]: ...

    def first_fit(self, job: Job, machines: list[Machine]) -> list[Machine]: ...

    def within_guarantee(self, job: Job) -> bool: ...

    def is_late(self, job: Job) -> int: ...


class Preemption:
    """The victims of one placement pass."""

    def __init__(self, placer: PlacementPassView) -> None:
        self._placer = placer
        self._cluster = placer.cluster
        self._rooms: dict[int, _FreeableRoom] = {}
        self._least_beside: int | None = None
        self._failed = FailedNeeds()

    def _least_urgent(self, cards: bool) -> int:
        """No task that could be stopped is less urgent than this rank."""
        if not cards:
            return self._cluster.max_rank_on_machines()
        if self._least_beside is None:
            self._least_beside = max(
                (
                    run.rank
                    for machine in self._with_cards()
                    for run in machine.runs.values()
                    if (run.job.spec.gpus > 0 or machine.free_gpus > EPSILON)
                    and run.stop_grace_s is None
                    and run.state not in (ASSIGNED, EXITED)
                ),
                default=-1,
            )
        return self._least_beside

    def _with_cards(self) -> Iterator[Machine]:
        for (kind, _, _), machines in self._placer.pools.items():
            if self._cluster.types[kind].gpus > 0:
                yield from machines

    def _room(self, machine: Machine) -> _FreeableRoom:
        room = self._rooms.get(machine.index)
        if room is None:
            room = _FreeableRoom(machine.free_cpus, machine.free_gpus, machine.free_memory)
            for run in machine.runs.values():
                if run.state == EXITED:
                    continue
                if run.stop_grace_s is not None:
                    # Already being stopped: its room comes without a new victim.
                    room.stopping = True
                    room.add(run.job)
                elif run.state != ASSIGNED:
                    room.runs.append(run)
                    room.least = max(room.least, run.rank)
            self._rooms[machine.index] = room
        return room

    def placed(self, job: Job, machine: Machine, tasks: int) -> None:
        """This pass put tasks there: that room is no longer free."""
        room = self._rooms.get(machine.index)
        if room is not None:
            room.cpus -= job.spec.cpus * tasks
            room.gpus -= job.spec.gpus * tasks
            room.memory_gb -= job.spec.memory_gb * tasks

    def victims(self, job: Job, missing: int) -> list[TaskRun]:
        """Just enough less urgent work to make room for what is missing."""
        borrowers = self._borrowers(job)
        if not self._guaranteed(job) and self._least_urgent(job.spec.gpus > 0) <= job.rank:
            return []
        # Whom two jobs may stop is the same if all of this is.
        key = (job.rank, job.gang, frozenset(borrowers), *self._placer.placement_key(job))
        if self._hopeless(job, key, missing):
            return []
        if job.gang:
            whole = self._gang_victims(job, missing, borrowers)
            if whole is None and not job.avoided_machines:
                self._failed.add(key, job.spec, missing)
            return whole or []
        rooms = remaining_per_zone(self._cluster, job)
        useful: list[Machine] = []
        for machine in self._placer.allowed(job):
            room = self._room(machine)
            if room.stopping or room.least > job.rank or (borrowers and room.runs):
                useful.append(machine)
        chosen: list[TaskRun] = []
        for machine in self._placer.first_fit(job, useful):
            if missing <= 0:
                break
            left = missing if rooms is None else min(missing, rooms[machine.zone])
            if left <= 0:
                continue
            made, some = self._make_room(job, machine, left, borrowers)
            chosen += some
            missing -= made
            if rooms is not None:
                rooms[machine.zone] -= made
        if missing > 0 and rooms is None and not job.avoided_machines:
            self._failed.add(key, job.spec)
        return chosen

    def make_room_on(
        self, job: Job, machines: list[Machine], missing: int
    ) -> tuple[int, list[TaskRun]]:
        """Room for replicas on some of these machines, one on each, and who stops."""
        if self._cluster.max_rank_on_machines() <= job.rank:
            return 0, []
        rooms = remaining_per_zone(self._cluster, job)
        made = 0
        chosen: list[TaskRun] = []
        for machine in self._placer.first_fit(job, machines):
            if made >= missing:
                break
            room = self._room(machine)
            if not room.stopping and room.least <= job.rank:
                continue
            if rooms is not None and rooms[machine.zone] <= 0:
                continue
            found, some = self._make_room(job, machine, 1, set())
            made += found
            chosen += some
            if rooms is not None:
                rooms[machine.zone] -= found
        return made, chosen

    def _hopeless(self, job: Job, key: tuple[object, ...], missing: int) -> bool:
        """Nobody could be stopped for as urgent work that needs no more."""
        return self._failed.covers(key, job.spec, missing if job.gang else 1)

    def _guaranteed(self, job: Job) -> bool:
        """Might a guarantee, too, make room for this job or for one after it?

        If so, what this job waits for must be set aside even if it stops nobody.
        """
        teams = self._cluster.teams
        if job.spec.gpus > 0:
            return len(teams) > 1
        return any(team.limits.cpus > 0 for team in teams)

    def _borrowers(self, job: Job) -> set[int]:
        """Teams that run beyond their guarantee what this job's team is owed."""
        if not self._placer.within_guarantee(job):
            return set()
        owed = set()
        for number, team in enumerate(self._cluster.teams):
            if number == job.team:
                continue
            if job.spec.gpus > 0:
                over = team.gpus > team.limits.gpus + EPSILON
            else:
                over = team.limits.cpus > 0 and team.cpus > team.limits.cpus + EPSILON
            if over:
                owed.add(number)
        return owed

    def _gang_victims(self, job: Job, missing: int, borrowers: set[int]) -> list[TaskRun] | None:
        """Room for a whole gang, at the least cost; nobody stops for a part of it.

        None if no stops would make enough.
        """
        zones: dict[int, list[Machine]] = {}
        for machine in self._placer.allowed(job):
            zones.setdefault(machine.zone if job.spec.together else -1, []).append(machine)
        plans: list[tuple[float, list[TaskRun], list[Machine]]] = []
        for machines in zones.values():
            some = self._gang_plan(job, machines, missing, borrowers)
            if some is not None:
                plans.append(
                    (sum(lost_work_s(run, self._placer.now) for run in some), some, machines)
                )
        if not plans:
            return None
        _, chosen, machines = min(plans, key=lambda plan: plan[0])
        for run in chosen:
            run.stop_grace_s = stop_grace_s(run)
            room = self._room(run.machine)
            if run in room.runs:
                room.runs.remove(run)
                room.stopping = True
                room.add(run.job)
        for machine in machines:
            while missing > 0 and self._room(machine).take(job):
                missing -= 1
        return chosen

    def _gang_plan(
        self, job: Job, machines: list[Machine], missing: int, borrowers: set[int]
    ) -> list[TaskRun] | None:
        """Whom to stop so that the whole gang fits on these machines; None: it cannot."""
        spec = job.spec

        def fit(room: _FreeableRoom) -> int:
            return tasks_that_fit(room.cpus, room.gpus, room.memory_gb, spec)

        # A gang that loses one task stops whole: count all of it, once.
        groups: dict[tuple[int, int], list[TaskRun]] = {}
        for machine in machines:
            room = self._room(machine)
            if room.gpus + EPSILON >= spec.gpus:
                # Most machines have no card to spare: their CPUs do not matter.
                missing -= fit(room)
            if room.least <= job.rank and not borrowers:
                continue
            for run in room.runs:
                if self._may_preempt(job, run, borrowers):
                    whole = (run.job.index, -1 if run.job.gang else run.task)
                    groups.setdefault(whole, []).append(run)
        if missing <= 0:
            return []
        if not groups:
            return None
        rooms = {
            run.machine.index: replace(self._room(run.machine), runs=[])
            for some in groups.values()
            for run in some
        }
        now = self._placer.now

        def cost(some: list[TaskRun]) -> tuple[int, float]:
            victim = some[0].job
            whole = victim.runs.values() if victim.gang else some
            return (-victim.rank, sum(lost_work_s(run, now) for run in whole) / len(some))

        chosen: list[TaskRun] = []
        for some in sorted(groups.values(), key=cost):
            for run in some:
                room = rooms[run.machine.index]
                before = fit(room)
                room.add(run.job)
                missing -= fit(room) - before
            chosen += some
            if missing <= 0:
                return chosen
        return None

    def _make_room(
        self, job: Job, machine: Machine, most: int, borrowers: set[int]
    ) -> tuple[int, list[TaskRun]]:
        """Room for up to ``most`` tasks on one machine, and who stops for it."""
        room = self._room(machine)
        able = [run for run in room.runs if self._may_preempt(job, run, borrowers)]
        # Of the least urgent work, what loses least; if equal, what is late anyway.
        now, late = self._placer.now, self._placer.is_late
        able.sort(key=lambda run: (-run.rank, lost_work_s(run, now), -late(run.job)))
        made = 0
        stopped: list[TaskRun] = []
        while made < most:
            if room.take(job):
                made += 1
                continue
            # What one more task needs; nobody is stopped for less than that.
            some: list[TaskRun] = []
            cpus, gpus, memory = room.cpus, room.gpus, room.memory_gb
            spec = job.spec
            for run in able:
                some.append(run)
                cpus += run.job.spec.cpus
                gpus += run.job.spec.gpus
                memory += run.job.spec.memory_gb
                if (
                    cpus + EPSILON >= spec.cpus
                    and gpus + EPSILON >= spec.gpus
                    and memory + EPSILON >= spec.memory_gb
                ):
                    break
            else:
                break
            for run in some:
                run.stop_grace_s = stop_grace_s(run)
                able.remove(run)
                room.runs.remove(run)
                room.stopping = True
                room.add(run.job)
            stopped += some
        return made, stopped

    @staticmethod
    def _may_preempt(job: Job, run: TaskRun, borrowers: set[int]) -> bool:
        other = run.job
        if does_not_block(job.spec, run):
            return False
        return run.rank > job.rank or other.team in borrowers


def does_not_block(spec: Submission, run: TaskRun) -> bool:
    """Work beside cards leaves them what they need: while no card is free,
    ending it gives work with cards nothing."""
    return spec.gpus > 0 and run.job.spec.gpus <= 0 and run.machine.free_gpus + EPSILON < spec.gpus
