"""First-fit placement: which pending tasks go to which machines.

Only decides; the core writes the decision down before anyone is told.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from appleshift.objectives.objectives import GATHER_ALWAYS_AFTER_S, Objectives
from appleshift.placement.counted_resources import CountedResourcePass
from appleshift.placement.fair_share import placement_turns
from appleshift.placement.fit import (
    FailedNeeds,
    may_run_beside_gpus,
    remaining_per_zone,
    tasks_that_fit,
)
from appleshift.placement.preemption import Preemption
from appleshift.state.cluster_state import EPSILON, OPEN, ClusterState, Job, Machine, TaskRun

SLOW_FETCH = 4 / 3
"""Machines fetch images at their rate, give or take a third."""
HOLD_S = 1.5
"""So long may a replica wait for room that is being made where its image is."""
HOLD_AGAIN_S = 10.0
"""A later loss of the same job's replicas is another matter."""


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
class PlacementResult:
    placements: list[Placement] = field(default_factory=list)
    shortages: list[Shortage] = field(default_factory=list)
    preempted: list[TaskRun] = field(default_factory=list)
    waiting_for_room: int = 0
    """Replicas for which room is being made on a machine with their image."""


class FirstFitPlacer:
    """One placement pass over the tables."""

    def __init__(
        self,
        cluster: ClusterState,
        now: float,
        wall: float,
        heard_after: float,
        objectives: Objectives | None = None,
        seats: CountedResourcePass | None = None,
    ) -> None:
        self.cluster = cluster
        self.counted_resources = seats
        self.objectives = objectives or Objectives()
        self.now = now
        self.wall = wall
        # Usable machines by (type, zone, spot); a job may use whole such pools.
        self.pools: dict[tuple[int, int, bool], list[Machine]] = {}
        for machine in cluster.machines.values():
            if (
                machine.last_heard >= heard_after
                and machine.avoid_until <= now
                and machine.schedulable()
            ):
                key = (machine.type, machine.zone, machine.spot)
                pool = self.pools.get(key)
                if pool is None:
                    pool = self.pools[key] = []
                pool.append(machine)
        self.result = PlacementResult()
        self._no_room = FailedNeeds()
        # Machines whose room is kept for a gang that gathers, for this pass.
        self.reserved_machines: set[int] = set()
        self._gathering: set[tuple[object, ...]] = set()
        # Teams that save up what their limit leaves for a large gang.
        self._saving: set[int] = set()
        # Tasks of waiting gangs that can still be in time.
        self._gang_tasks = 0
        self._cpus_beside_gpus: dict[int, tuple[float, float]] | None = None
        self._none_beside = FailedNeeds()
        self._late: dict[int, int] = {}
        self._preempt = False
        self._rank: int | None = None
        self.preemption = Preemption(self)

    def order(self) -> list[Job]:
        """Open jobs with pending tasks, most urgent first."""
        jobs = [
            job
            for job in self.cluster.jobs.values()
            if job.pending and job.status == OPEN and job.accepted and job.not_before <= self.now
        ]
        self._gang_tasks = sum(
            len(job.pending) for job in jobs if job.gang and not job.runs and not self.is_late(job)
        )
        return sorted(jobs, key=self._urgency)

    def _urgency(self, job: Job) -> tuple[int, bool, bool, bool, int, float, float]:
        """Within a priority: what can still be in time, and of that the least work;
        last what nobody waits for by any time.

        When there is more work than room, somebody is late whatever the order;
        the least work first keeps the number of late jobs down. A team whose jobs
        are the largest would be the one that is late each time: once far too little
        of its work was served, what can still be in time of it goes first.
        """
        spec = job.spec
        borrowed = spec.gpus > 0 and not self.within_guarantee(job)
        if job.counted_needs and self.counted_resources is not None:
            borrowed = borrowed or self.counted_resources.would_borrow(job)
        if job.service:
            usual = job.team not in self.objectives.teams_behind
            return (job.rank, borrowed, False, usual, 0, 0.0, job.submitted)
        work = len(job.pending) * self.cluster.expected_run_s(job) * max(spec.cpus, spec.gpus)
        late = self.is_late(job)
        usual = late > 0 or job.team not in self.objectives.teams_behind
        if job.gang and self._gathers(job):
            work = 0.0
            if self._age(job) >= GATHER_ALWAYS_AFTER_S:
                # It would be late for good: small ones that come are never all in time.
                late, usual = 0, False
        return (
            job.rank,
            borrowed,
            self.objectives.is_best_effort(job),
            usual,
            late,
            work,
            job.submitted,
        )

    def _age(self, job: Job) -> float:
        return self.wall - job.submitted

    def _gathers(self, job: Job) -> bool:
        """Is it this gang's turn to keep the machines that fall free?"""
        if not self.objectives.should_gather(job, self._age(job)):
            return False
        if self._age(job) >= GATHER_ALWAYS_AFTER_S:
            return True
        # With more work than room, what is kept for one makes several late.
        others = self._gang_tasks - (0 if self.is_late(job) else len(job.pending))
        return others < len(job.pending)

    def is_late(self, job: Job) -> int:
        """How many of its aims a job misses of which a task starts now."""
        if job.service:
            return 0
        late = self._late.get(job.index)
        if late is None:
            end = self.wall + self.cluster.expected_run_s(job)
            late = self._late[job.index] = self.objectives.missed(job, self.wall, end)
        return late

    def within_guarantee(self, job: Job) -> bool:
        team = self.cluster.teams[job.team]
        spec = job.spec
        tasks = 1 if not job.gang else spec.tasks
        gpus_ok = team.gpus + spec.gpus * tasks <= team.limits.gpus + EPSILON
        cpus_ok = spec.gpus > 0 or team.cpus + spec.cpus * tasks <= team.limits.cpus + EPSILON
        return gpus_ok and cpus_ok and (spec.gpus > 0 or team.limits.cpus > 0)

    # -- which machines -----------------------------------------------------

    def placement_key(self, job: Job) -> tuple[object, ...]:
        """Jobs with the same key may use the same machines."""
        spec = job.spec
        cards = spec.gpus > 0 or spec.types is not None
        return (tuple(self.cluster.eligible_types(job)), job.zone, spec.spot, cards)

    def allowed(self, job: Job, cards: bool = False) -> Iterator[Machine]:
        """Machines that the job may use, whether they have room or not.

        Cards are dear, and work without them would block them: such work gets
        machines with cards only if it asks for the type, or with ``cards``.
        """
        spec = job.spec
        type_ok = self.cluster.eligible_types(job)
        for (kind, zone, spot), machines in self.pools.items():
            if not type_ok[kind] or (spot and not spec.spot):
                continue
            if job.zone >= 0 and zone != job.zone:
                continue
            if (
                spec.gpus <= 0
                and spec.types is None
                and cards != (self.cluster.types[kind].gpus > 0)
            ):
                continue
            for machine in machines:
                if (
                    not job.avoided_machines
                    or job.avoided_machines.get(machine.index, 0.0) <= self.now
                ):
                    yield machine

    def first_fit(self, job: Job, machines: list[Machine]) -> list[Machine]:
        """Machines with the image first, then spot before steady, then in order.

        Of machines without the image, those that fetch fastest come first: a
        replica that has to move is missed until it has its image again.
        """
        types = self.cluster.types

        def key(machine: Machine) -> tuple[bool, bool, bool, float, int]:
            kind = types[machine.type]
            missing = job.image not in machine.images
            speed = -kind.fetch_gb_per_s if missing else 0.0
            return (missing, kind.gpus > 0, not machine.spot, speed, machine.index)

        return sorted(machines, key=key)

    def candidates(self, job: Job) -> list[Machine]:
        """Machines with room for a task of the job, in the order of first fit."""
        cpus, gpus = job.spec.cpus - EPSILON, job.spec.gpus - EPSILON
        memory = job.spec.memory_gb - EPSILON
        return self.first_fit(
            job,
            [
                machine
                for machine in self.allowed(job)
                if machine.free_cpus >= cpus
                and machine.free_gpus >= gpus
                and machine.free_memory >= memory
                and machine.index not in self.reserved_machines
            ],
        )

    def cannot_fit(self, job: Job) -> bool:
        """Work that needs no more found no room in this pass."""
        return self._no_room.covers(self.placement_key(job), job.spec)

    # -- a pass ---------------------------------------------------------------

    def run(self, preempt: bool) -> PlacementResult:
        self._preempt = preempt
        if self.counted_resources is not None:
            self.result.preempted += self.counted_resources.runs_to_stop()
        order = self.order()
        for turn in placement_turns(
            order, self.cluster, self.pools, self.objectives, self.now, self.wall
        ):
            job = turn.job
            # What is placed before more urgent work must not be stopped for it, or both
            # take each other's room in every pass and neither ever runs.
            self._rank = turn.rank
            missing = self._place_gang(job) if job.gang else self._place_tasks(job, turn.max_tasks)
            if missing and turn.max_tasks is None:
                self.result.shortages.append(Shortage(job, missing))
                if preempt and self._age(job) >= self.objectives.patience_s(job):
                    self.result.preempted += self.preemption.victims(job, missing)
        if self.counted_resources is not None:
            self.counted_resources.close()
        return self.result

    def _limit_by_counted_resources(self, job: Job) -> int:
        """How many waiting tasks may hold the counted resources they need now.

        The others wait for seats alone: no machine is rented for them, and none
        is emptied. Only what they are owed of seats may be stopped.
        """
        waiting = len(job.pending)
        if not job.counted_needs or self.counted_resources is None:
            return waiting
        room = self.counted_resources.max_tasks(job, waiting)
        if room < waiting:
            urgent = self._preempt and self._age(job) >= self.objectives.patience_s(job)
            self.result.preempted += self.counted_resources.tasks_lacking(
                job, waiting - room, urgent
            )
        return room

    def _assign(self, job: Job, machine: Machine, attempt: int, tasks: list[int]) -> None:
        for task in tasks:
            run = self.cluster.assign(job, task, attempt, machine, machine.agent_epoch)
            run.rank = job.rank if self._rank is None else min(job.rank, self._rank)
        self.preemption.placed(job, machine, len(tasks))
        if (
            self._cpus_beside_gpus is not None
            and machine.index in self._cpus_beside_gpus
            and job.spec.gpus <= 0
        ):
            cpus, memory = self._cpus_beside_gpus[machine.index]
            self._cpus_beside_gpus[machine.index] = (
                cpus - job.spec.cpus * len(tasks),
                memory - job.spec.memory_gb * len(tasks),
            )
        self.result.placements.append(Placement(job, machine, attempt, tasks))

    def _place_tasks(self, job: Job, most: int | None = None) -> int:
        """Place what fits of an array or a service, up to ``most`` tasks if that is given;
        returns what does not."""
        spec = job.spec
        team = self.cluster.teams[job.team]
        if not team.within_limits(spec.cpus, spec.gpus):
            # What ends will make room within the limit; no machine could.
            return 0
        seated = self._limit_by_counted_resources(job)
        if most is not None:
            seated = min(seated, most)
        if not seated:
            return 0
        hopeless = self.cannot_fit(job)
        machines = [] if hopeless else self.candidates(job)
        if not machines and not hopeless and not job.avoided_machines:
            self._no_room.add(self.placement_key(job), spec)
        beside = self._may_run_beside_gpus(job)
        if not machines and not beside:
            return self._unplaced(job, seated)
        waiting = sorted(job.pending)[:seated]
        position = 0
        if job.service and self._preempt:
            prompt = [machine for machine in machines if self._should_wait_for_image(job, machine)]
            position = self._place_replicas(job, prompt, waiting)
            if position < len(waiting):
                held = self._hold(job, len(waiting) - position)
                waiting = waiting[: len(waiting) - held]
        if job.service:
            position += self._place_replicas(job, machines, waiting[position:])
        else:
            position += self._spread_round(job, machines, waiting, self._tasks_that_fit)
        if position < len(waiting) and beside:
            position += self._spread_round(job, beside, waiting[position:], self._room_beside)
        missing = len(waiting) - position
        if missing and not team.within_limits(spec.cpus, spec.gpus):
            return 0
        return missing if position or not missing else self._unplaced(job, missing)

    def _unplaced(self, job: Job, tasks: int) -> int:
        if job.counted_needs and self.counted_resources is not None:
            self.counted_resources.no_machine_for(job)
        return tasks

    def _place_replicas(self, job: Job, machines: list[Machine], waiting: list[int]) -> int:
        """One to a machine as long as there are others; returns how many found room."""
        position = 0
        while position < len(waiting):
            placed = self._spread_round(job, machines, waiting[position:], self._tasks_that_fit)
            if not placed:
                break
            position += placed
        return position

    def _should_wait_for_image(self, job: Job, machine: Machine) -> bool:
        """Would a replica start there within the wait that its users accept?"""
        within = self.objectives.wait_s(job.spec.job_class)
        if within is None or job.image in machine.images:
            return True
        speed = self.cluster.types[machine.type].fetch_gb_per_s
        return speed > 0 and job.spec.image_gb * SLOW_FETCH <= within * speed

    def _hold(self, job: Job, missing: int) -> int:
        """Rather stop less urgent work where the image is than fetch it elsewhere.

        A stop and a start take a moment, a fetch many seconds in which the
        replica is missed. Returns for how many replicas room is being made;
        they wait for it in this pass, though not for long.
        """
        if (
            job.waiting_for_image_since == 0.0
            or self.now - job.waiting_for_image_since > HOLD_AGAIN_S
        ):
            job.waiting_for_image_since = self.now
        if self.now - job.waiting_for_image_since > HOLD_S:
            return 0
        machines = [each for each in self.allowed(job) if job.image in each.images]
        made, victims = self.preemption.make_room_on(job, machines, missing)
        self.result.preempted += victims
        self.result.waiting_for_room += made
        return made

    def _may_run_beside_gpus(self, job: Job) -> list[Machine]:
        """Machines whose cards are in use and leave room that no cards will need, and spot
        machines whose cards nobody may use."""
        spec = job.spec
        if not may_run_beside_gpus(job) or self.cluster.needs_per_gpu is None:
            return []
        if self._cpus_beside_gpus is None:
            self._cpus_beside_gpus = self._left_beside()
        key = self.placement_key(job)
        if not self._cpus_beside_gpus or self._none_beside.covers(key, spec):
            return []
        found = [
            machine
            for machine in self.allowed(job, cards=True)
            if machine.index in self._cpus_beside_gpus and self._room_beside(machine, job) > 0
        ]
        if not found and not job.avoided_machines:
            self._none_beside.add(key, spec)
        return self.first_fit(job, found)

    def _left_beside(self) -> dict[int, tuple[float, float]]:
        """CPUs and memory left beside cards, by machine, where any are left."""
        left = {}
        for (kind, _, _), machines in self.pools.items():
            spec = self.cluster.types[kind]
            if spec.gpus <= 0:
                continue
            most = self.cluster.left_beside_gpus(kind)
            unclaimed = self.cluster.spot_gpus_unclaimed()
            for machine in machines:
                if machine.spot and unclaimed:
                    left[machine.index] = (machine.free_cpus, machine.free_memory)
                    continue
                if machine.free_gpus + EPSILON >= spec.gpus:
                    continue
                cpus, memory = most
                for run in machine.runs.values():
                    if run.job.spec.gpus <= 0 and run.job.runs.get(run.task) is run:
                        cpus -= run.job.spec.cpus
                        memory -= run.job.spec.memory_gb
                if cpus > EPSILON and memory > EPSILON:
                    left[machine.index] = (cpus, memory)
        return left

    def _room_beside(self, machine: Machine, job: Job) -> int:
        assert self._cpus_beside_gpus is not None
        cpus, memory = self._cpus_beside_gpus[machine.index]
        return tasks_that_fit(
            min(machine.free_cpus, cpus), 0.0, min(machine.free_memory, memory), job.spec
        )

    def _spread_round(
        self,
        job: Job,
        machines: list[Machine],
        waiting: list[int],
        fit: Callable[[Machine, Job], int],
    ) -> int:
        """Go over the machines once; returns how many tasks found room."""
        spec = job.spec
        team = self.cluster.teams[job.team]
        rooms = remaining_per_zone(self.cluster, job)
        zone = next((run.machine.zone for run in job.runs.values()), -1) if spec.together else -1
        attempt = job.last_attempt + 1
        if rooms is not None:
            # The emptiest zone first, so that the loss of one costs least.
            counts = rooms.copy()
            machines = sorted(machines, key=lambda machine: -counts[machine.zone])
        position = 0
        for machine in machines:
            if position == len(waiting):
                break
            if spec.together and zone >= 0 and machine.zone != zone:
                continue
            most = fit(machine, job)
            if job.service:
                # Replicas go to different machines where there is a choice.
                most = min(most, 1)
            if rooms is not None:
                most = min(most, rooms[machine.zone])
            tasks: list[int] = []
            while len(tasks) < most and position < len(waiting):
                count = len(tasks) + 1
                if not team.within_limits(spec.cpus * count, spec.gpus * count):
                    break
                tasks.append(waiting[position])
                position += 1
            if tasks:
                zone = machine.zone
                if rooms is not None:
                    rooms[zone] -= len(tasks)
                self._assign(job, machine, attempt, tasks)
        return position

    def _place_gang(self, job: Job) -> int:
        """Place a whole gang or nothing of it."""
        spec = job.spec
        team = self.cluster.teams[job.team]
        if job.runs or len(job.pending) < spec.tasks - job.done_count:
            # Tasks of the old attempt may still be on their machines.
            return 0
        left = len(job.pending)
        if job.team in self._saving:
            return 0
        if not team.within_limits(spec.cpus * left, spec.gpus * left):
            if self._age(job) >= GATHER_ALWAYS_AFTER_S:
                # What falls free of the limit goes to it, not to smaller ones that come.
                self._saving.add(job.team)
            return 0
        if not self._limit_by_counted_resources(job):
            return 0
        if self.cannot_fit(job):
            return self._unplaced(job, left)
        machines = self.candidates(job)
        if not machines and not job.avoided_machines:
            self._no_room.add(self.placement_key(job), spec)
        for some in self._by_zone(job, machines) if spec.together else [machines]:
            plan = self._gang_plan(job, some, left)
            if plan is None:
                continue
            attempt = job.last_attempt + 1
            tasks = sorted(job.pending)
            position = 0
            for machine, count in plan:
                self._assign(job, machine, attempt, tasks[position : position + count])
                position += count
            return 0
        self._gather(job, machines, left)
        return self._unplaced(job, left)

    def _by_zone(self, job: Job, machines: list[Machine]) -> list[list[Machine]]:
        """The zone with least room first, so that large gangs find room in another."""
        zones: dict[int, list[Machine]] = {}
        for machine in machines:
            zones.setdefault(machine.zone, []).append(machine)
        return sorted(
            zones.values(),
            key=lambda some: sum(self._tasks_that_fit(machine, job) for machine in some),
        )

    def _gather(self, job: Job, machines: list[Machine], left: int) -> None:
        """Keep what is free for the first gang that does not fit.

        Smaller gangs would take every machine that falls free, and a large one
        would never find enough at once. Only one gang for each kind of place
        gathers, in one zone, no more than it needs, and only where it could fit.
        """
        key = self.placement_key(job)
        if key in self._gathering or job.spec.spread:
            return
        if not self._gathers(job):
            return
        size: Counter[int] = Counter()
        free: Counter[int] = Counter()
        for machine in self.allowed(job):
            kind = self.cluster.types[machine.type]
            size[machine.zone] += tasks_that_fit(kind.cpus, kind.gpus, kind.memory_gb, job.spec)
        for machine in machines:
            free[machine.zone] += self._tasks_that_fit(machine, job)
        zones = [zone for zone, most in size.items() if most >= left]
        if job.spec.together and not zones:
            return
        self._gathering.add(key)
        # Machines fall free the sooner the more there are. What it has gathered is lost if
        # it turns to another zone: it does so only for half the time that is left.
        wait = {zone: max(0, left - free[zone]) / size[zone] for zone in zones}
        best = min(zones, key=lambda zone: (wait[zone], -size[zone]), default=-1)
        if job.gathering_zone in zones and wait[best] > wait[job.gathering_zone] / 2:
            best = job.gathering_zone
        job.gathering_zone = best
        for machine in machines:
            if left <= 0:
                break
            if not job.spec.together or machine.zone == best:
                self.reserved_machines.add(machine.index)
                left -= self._tasks_that_fit(machine, job)

    def _gang_plan(
        self, job: Job, machines: list[Machine], left: int
    ) -> list[tuple[Machine, int]] | None:
        rooms = remaining_per_zone(self.cluster, job)
        plan: list[tuple[Machine, int]] = []
        for machine in machines:
            if not left:
                break
            count = min(left, self._tasks_that_fit(machine, job))
            if rooms is not None:
                count = min(count, rooms[machine.zone])
                rooms[machine.zone] -= count
            if count > 0:
                plan.append((machine, count))
                left -= count
        return None if left else plan

    def _tasks_that_fit(self, machine: Machine, job: Job) -> int:
        return tasks_that_fit(machine.free_cpus, machine.free_gpus, machine.free_memory, job.spec)
