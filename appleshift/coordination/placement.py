"""First-fit placement: which pending tasks go to which machines.

Only decides; the core writes the decision down before anyone is told.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from appleshift.bookkeeping.tables import (
    EPSILON,
    EXITED,
    OPEN,
    ORDERED,
    Job,
    Machine,
    Run,
    Tables,
)
from appleshift.protocol.users import Submission


@dataclass(slots=True)
class Placement:
    """Tasks of one job that go to one machine."""

    job: Job
    machine: Machine
    attempt: int
    tasks: list[int]


@dataclass(slots=True)
class Shortage:
    """Work that found no room in this pass."""

    job: Job
    tasks: int


@dataclass(slots=True)
class Pass:
    placements: list[Placement] = field(default_factory=list)
    shortages: list[Shortage] = field(default_factory=list)
    victims: list[Run] = field(default_factory=list)


def deadline(job: Job) -> float:
    due = job.spec.deadline_s
    return float("inf") if due is None else job.submitted + due


class Placer:
    """One placement pass over the tables."""

    def __init__(self, tables: Tables, now: float, wall: float, heard_after: float) -> None:
        self.tables = tables
        self.now = now
        self.wall = wall
        self.machines = [
            machine
            for machine in tables.machines.values()
            if machine.usable()
            and machine.last_heard >= heard_after
            and machine.failed_until <= now
        ]
        self.result = Pass()
        # Room that stops under way will free, promised to jobs of this pass.
        self.claims: dict[int, list[float]] = {}

    def order(self) -> list[Job]:
        """Open jobs with pending tasks, most urgent first."""
        jobs = [
            job
            for job in self.tables.jobs.values()
            if job.status == OPEN and job.accepted and job.pending and job.not_before <= self.now
        ]
        return sorted(jobs, key=self._urgency)

    def _urgency(self, job: Job) -> tuple[int, bool, bool, float, float]:
        """Within a priority: what can still be in time, and of that the least work.

        When there is more work than room, somebody is late whatever the order;
        the least work first keeps the number of late jobs down.
        """
        spec = job.spec
        borrowed = spec.gpus > 0 and not self.within_guarantee(job)
        if spec.deadline_s is None:
            return (job.rank, borrowed, False, float("inf"), job.submitted)
        work = len(job.pending) * self.tables.expected_s(job) * max(spec.cpus, spec.gpus)
        return (job.rank, borrowed, self.late(job), work, job.submitted)

    def late(self, job: Job) -> bool:
        """A task that starts now cannot be expected to end in time."""
        return deadline(job) < self.wall + self.tables.expected_s(job)

    def within_guarantee(self, job: Job) -> bool:
        team = self.tables.teams[job.team]
        spec = job.spec
        tasks = 1 if not job.gang else spec.tasks
        gpus_ok = team.gpus + spec.gpus * tasks <= team.limits.gpus + EPSILON
        cpus_ok = spec.gpus > 0 or team.cpus + spec.cpus * tasks <= team.limits.cpus + EPSILON
        return gpus_ok and cpus_ok and (spec.gpus > 0 or team.limits.cpus > 0)

    # -- which machines -----------------------------------------------------

    def candidates(self, job: Job) -> list[Machine]:
        """Machines that the job may use, in the order of first fit."""
        spec = job.spec
        type_ok = self.tables.types_for(job)
        found: list[tuple[tuple[bool, bool, bool, int], Machine]] = []
        for machine in self.machines:
            if not type_ok[machine.type] or (machine.spot and not spec.spot):
                continue
            if job.zone >= 0 and machine.zone != job.zone:
                continue
            if job.avoid and job.avoid.get(machine.index, 0.0) > self.now:
                continue
            has_gpus = self.tables.types[machine.type].gpus > 0
            if has_gpus and spec.gpus <= 0 and spec.types is None:
                # Cards are dear; work without them would block them.
                continue
            key = (job.image not in machine.images, has_gpus, not machine.spot, machine.index)
            found.append((key, machine))
        found.sort(key=lambda entry: entry[0])
        return [machine for _, machine in found]

    # -- a pass ---------------------------------------------------------------

    def run(self, preempt: bool) -> Pass:
        for job in self.order():
            missing = self._place_gang(job) if job.gang else self._place_tasks(job)
            if missing:
                self.result.shortages.append(Shortage(job, missing))
                if preempt:
                    self._preempt(job, missing)
        return self.result

    def _assign(self, job: Job, machine: Machine, attempt: int, tasks: list[int]) -> None:
        for task in tasks:
            self.tables.assign(job, task, attempt, machine, machine.session)
        self.result.placements.append(Placement(job, machine, attempt, tasks))

    def _place_tasks(self, job: Job) -> int:
        """Place what fits of an array or a service; returns what does not."""
        spec = job.spec
        team = self.tables.teams[job.team]
        waiting = sorted(job.pending)
        rooms = zone_room(self.tables, job)
        zone = next((run.machine.zone for run in job.runs.values()), -1) if spec.together else -1
        attempt = job.attempt + 1
        machines = self.candidates(job)
        if spec.spread:
            # The emptiest zone first, so that the loss of one costs least.
            assert rooms is not None
            machines.sort(key=lambda machine: -rooms[machine.zone])
        position = 0
        for machine in machines:
            if position == len(waiting):
                break
            if spec.together and zone >= 0 and machine.zone != zone:
                continue
            tasks: list[int] = []
            cpus, gpus, memory = machine.free_cpus, machine.free_gpus, machine.free_memory
            while position < len(waiting):
                if rooms is not None and rooms[machine.zone] <= 0:
                    break
                if (
                    cpus + EPSILON < spec.cpus
                    or gpus + EPSILON < spec.gpus
                    or memory + EPSILON < spec.memory_gb
                ):
                    break
                count = len(tasks) + 1
                if not team.room_for(spec.cpus * count, spec.gpus * count):
                    break
                tasks.append(waiting[position])
                position += 1
                cpus -= spec.cpus
                gpus -= spec.gpus
                memory -= spec.memory_gb
                if rooms is not None:
                    rooms[machine.zone] -= 1
                if job.service:
                    # Replicas go to different machines where there is a choice.
                    break
            if tasks:
                zone = machine.zone
                self._assign(job, machine, attempt, tasks)
        if job.service and 0 < position < len(waiting):
            return self._place_tasks(job)
        missing = len(waiting) - position
        if missing and not team.room_for(spec.cpus, spec.gpus):
            return 0
        return missing

    def _place_gang(self, job: Job) -> int:
        """Place a whole gang or nothing of it."""
        spec = job.spec
        team = self.tables.teams[job.team]
        if job.runs or len(job.pending) < spec.tasks - job.done_count:
            # Tasks of the old attempt may still be on their machines.
            return 0
        tasks = sorted(job.pending)
        if not team.room_for(spec.cpus * len(tasks), spec.gpus * len(tasks)):
            return 0
        machines = self.candidates(job)
        zones = list(dict.fromkeys(machine.zone for machine in machines))
        for zone in zones if spec.together else [None]:
            rooms = zone_room(self.tables, job)
            plan: list[tuple[Machine, int]] = []
            left = len(tasks)
            for machine in machines:
                if zone is not None and machine.zone != zone:
                    continue
                count = min(left, self._how_many(machine, job))
                if rooms is not None:
                    count = min(count, rooms[machine.zone])
                    rooms[machine.zone] -= count
                if count > 0:
                    plan.append((machine, count))
                    left -= count
                if not left:
                    break
            if left:
                continue
            attempt = job.attempt + 1
            position = 0
            for machine, count in plan:
                self._assign(job, machine, attempt, tasks[position : position + count])
                position += count
            return 0
        return len(tasks)

    def _how_many(self, machine: Machine, job: Job) -> int:
        return how_many(machine.free_cpus, machine.free_gpus, machine.free_memory, job.spec)

    # -- preemption -------------------------------------------------------------

    def _may_stop(self, job: Job, run: Run) -> bool:
        if run.grace is not None or run.state in (ORDERED, EXITED):
            return False
        other = run.job
        if other.rank > job.rank:
            return True
        if other.team == job.team or not self.within_guarantee(job):
            return False
        team = self.tables.teams[other.team]
        # Work that another team runs beyond its own guarantee.
        if job.spec.gpus > 0:
            return other.spec.gpus > 0 and team.gpus > team.limits.gpus + EPSILON
        return team.cpus > team.limits.cpus + EPSILON and team.limits.cpus > 0

    def _preempt(self, job: Job, missing: int) -> None:
        """Stop just enough less urgent work to make room for what is missing."""
        spec = job.spec
        rooms = zone_room(self.tables, job)
        for machine in self.candidates(job):
            if missing <= 0:
                return
            if rooms is not None and rooms[machine.zone] <= 0:
                continue
            claim = self.claims.setdefault(machine.index, [0.0, 0.0, 0.0])
            cpus = machine.free_cpus - claim[0]
            gpus = machine.free_gpus - claim[1]
            memory = machine.free_memory - claim[2]
            for run in machine.runs.values():
                if run.grace is not None and run.state != EXITED:
                    # Already being stopped: its room comes without a new victim.
                    cpus += run.job.spec.cpus
                    gpus += run.job.spec.gpus
                    memory += run.job.spec.memory_gb
            victims = [run for run in machine.runs.values() if self._may_stop(job, run)]
            # Of the least urgent work, what is late anyway, then the youngest.
            victims.sort(
                key=lambda run: (-run.job.rank, not self.late(run.job), -run.running_since)
            )
            chosen: list[Run] = []
            while missing > 0 and (rooms is None or rooms[machine.zone] > 0):
                if cpus + EPSILON >= spec.cpus and (
                    gpus + EPSILON >= spec.gpus and memory + EPSILON >= spec.memory_gb
                ):
                    cpus -= spec.cpus
                    gpus -= spec.gpus
                    memory -= spec.memory_gb
                    missing -= 1
                    claim[0] += spec.cpus
                    claim[1] += spec.gpus
                    claim[2] += spec.memory_gb
                    for victim in chosen:
                        victim.grace = stop_grace(victim)
                    self.result.victims += chosen
                    chosen = []
                    if rooms is not None:
                        rooms[machine.zone] -= 1
                    continue
                if not victims:
                    break
                run = victims.pop(0)
                chosen.append(run)
                cpus += run.job.spec.cpus
                gpus += run.job.spec.gpus
                memory += run.job.spec.memory_gb


def how_many(cpus: float, gpus: float, memory_gb: float, spec: Submission) -> int:
    """How many of a job's tasks fit into some room."""
    most = spec.tasks
    for free, need in ((cpus, spec.cpus), (gpus, spec.gpus), (memory_gb, spec.memory_gb)):
        if need > EPSILON:
            most = min(most, int((free + EPSILON) / need))
    return most


def zone_room(tables: Tables, job: Job) -> dict[int, int] | None:
    """How many more tasks each zone may take; None: no limit."""
    spec = job.spec
    if not spec.spread:
        return None
    most = (spec.tasks + 1) // 2
    taken = Counter(run.machine.zone for run in job.runs.values())
    return {zone: most - taken[zone] for zone in range(len(tables.zones))}


def stop_grace(run: Run) -> float:
    """Time that a task needs to save when it is stopped."""
    spec = run.job.spec
    return spec.save_s if spec.checkpoint_s > 0 else 0.0
