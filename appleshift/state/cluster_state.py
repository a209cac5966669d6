"""Jobs, tasks, machines and teams as the leader knows them.

Inside, everything is a small integer: jobs, machines, teams, zones, types and
images have an index each, and tasks are positions in their job's arrays.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import Any, Protocol

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.settings import TeamLimits
from appleshift.protocol.users import GANG, RANKS, SERVICE, Submission
from appleshift.state.name_index import NameIndex

ORDERED, FETCHING, WAITING, RUNNING, SAVING, EXITED = range(6)
"""States of a run. ORDERED: assigned, not yet seen on its machine."""

STATES = {
    "fetching": FETCHING,
    "waiting": WAITING,
    "running": RUNNING,
    "saving": SAVING,
    "exited": EXITED,
}

BOOTING, UP, GONE = range(3)

OPEN, FINISHED, CANCELLED = range(3)
ELSEWHERE = 8
"""Among final states: another share decides for the job, this one plus its number."""

EPSILON = 1e-6
RATIO_WEIGHT = 0.02
"""Weight of one finished task in its class's correction of estimates."""
OWN_WEIGHT = 3.0
"""How many finished tasks of a job weigh as much as what its owner and class say."""


def portion_key(job_id: str) -> str:
    """No user can choose such an id."""
    return f"{job_id}+"


class Run:
    """One attempt of a task on one session of a machine.

    It stands from the assignment until there is proof that the worker holds
    nothing of it any more; ``job.runs[task]`` refers to it only as long as the
    task may be on the machine.
    """

    __slots__ = (
        "attempt",
        "durable",
        "exit_durable",
        "grace",
        "job",
        "machine",
        "mine",
        "name",
        "pushed",
        "rank",
        "running_since",
        "session",
        "state",
        "stopped_at",
        "task",
        "uncertain",
    )

    def __init__(self, job: Job, task: int, attempt: int, machine: Machine, session: int) -> None:
        self.job = job
        self.task = task
        self.attempt = attempt
        self.machine = machine
        self.session = session
        self.name = f"{job.spec.id}/{task}"
        self.state = ORDERED
        # By how urgent work it was placed: that of its job, or more urgent if it was the
        # job's turn before others. As urgent work does not stop it.
        self.rank = job.rank
        self.durable = False
        self.exit_durable = False
        self.pushed = False
        # Set while a direct start got no answer: it may still arrive, so the
        # worker must keep remembering the attempt and is not told to clear it.
        self.uncertain = 0
        # Ordered in this term. Starts of earlier terms are fenced off once the
        # worker has seen this term's token.
        self.mine = True
        self.grace: float | None = None
        self.stopped_at = 0.0
        self.running_since = 0.0


class Job:
    """An accepted job that is not over yet, or whose tasks may still be somewhere."""

    __slots__ = (
        "accepted",
        "attempt",
        "avoid",
        "away",
        "backoff_s",
        "called_off",
        "cancel_durable",
        "done",
        "done_count",
        "done_durable",
        "errors_on",
        "gathers_in",
        "held_since",
        "image",
        "index",
        "key",
        "not_before",
        "pending",
        "portions",
        "ran_count",
        "ran_s",
        "rank",
        "running_away",
        "runs",
        "seats",
        "spec",
        "status",
        "submitted",
        "team",
        "type_ok",
        "zone",
    )

    def __init__(
        self, index: int, spec: Submission, submitted: float, portion: bool = False
    ) -> None:
        self.index = index
        self.spec = spec
        # By what it is found. A portion of another share's job is no job that users
        # may ask for here: when the map changed, one that was done once passed for
        # the whole of its job.
        self.key = portion_key(spec.id) if portion else spec.id
        self.submitted = submitted
        self.rank = RANKS[spec.priority]
        self.done = bytearray(spec.tasks)
        self.done_count = 0
        self.runs: dict[int, Run] = {}
        self.pending: set[int] = set(range(spec.tasks))
        self.attempt = 0
        self.status = OPEN
        self.accepted = False
        self.done_durable = False
        self.cancel_durable = False
        self.errors_on: set[int] = set()
        self.avoid: dict[int, float] = {}
        self.backoff_s = 0.0
        self.not_before = 0.0
        # The zone in which it gathers machines; -1: none yet.
        self.gathers_in = -1
        # Since when its replicas wait for room where their image is.
        self.held_since = 0.0
        # Run times of its finished tasks, to compare machines by.
        self.ran_s = 0.0
        self.ran_count = 0
        self.team = -1
        self.image = -1
        self.zone = -1
        self.type_ok: list[bool] | None = None
        # What each task holds of counted resources: (resource, count).
        self.seats: tuple[tuple[int, int], ...] = ()
        # Tasks that other shares run: where they went, as (share, start, count),
        # which of them are not done, and how many run by what was told last.
        self.portions: tuple[tuple[int, int, int], ...] = ()
        self.away: set[int] = set()
        self.running_away = 0
        # Its user wants it cancelled; the other shares have not all ended it.
        self.called_off = False

    @property
    def gang(self) -> bool:
        return self.spec.shape == GANG

    @property
    def service(self) -> bool:
        return self.spec.shape == SERVICE

    def running(self) -> int:
        here = sum(1 for run in self.runs.values() if run.state in (RUNNING, SAVING))
        return here + self.running_away

    def left(self) -> int:
        """Tasks that are still to be done in this share."""
        return self.spec.tasks - self.done_count - len(self.away)

    def send_away(self, portions: list[list[int]]) -> None:
        """From now on other shares run these tasks: (share, start, count) each."""
        self.portions = tuple((share, start, count) for share, start, count in portions)
        for _, start, count in self.portions:
            for task in range(start, start + count):
                if not self.done[task]:
                    self.pending.discard(task)
                    self.away.add(task)


class Machine:
    """A rented machine, from the answer to the rental until it is surely gone."""

    __slots__ = (
        "addr",
        "asked_gone",
        "beat",
        "beat_at",
        "cell",
        "cordoned",
        "cpus",
        "deaf_beats",
        "deaf_since",
        "delete_at",
        "draining",
        "errors",
        "failed_until",
        "floor",
        "foreign",
        "free_cpus",
        "free_gpus",
        "free_memory",
        "idle_since",
        "images",
        "index",
        "last_heard",
        "lease_until",
        "listed_addr",
        "listed_at",
        "moves",
        "mute",
        "name",
        "notice_at",
        "probe",
        "probing",
        "pushing",
        "rented_at",
        "runs",
        "seq",
        "session",
        "sick",
        "slow_count",
        "slowness",
        "spot",
        "status",
        "strays",
        "type",
        "zone",
    )

    def __init__(
        self, index: int, name: str, kind: int, spec: MachineType, zone: int, spot: bool
    ) -> None:
        self.index = index
        self.name = name
        self.addr = ""
        self.type = kind
        self.zone = zone
        self.spot = spot
        self.status = BOOTING
        # Another share's: rented and counted here, used and known there.
        self.foreign = False
        # How often it was handed on from one share to another, and the token that
        # its worker may have seen there: with a lower one nobody gives it orders.
        self.moves = 0
        self.floor = 0
        self.session = 0
        self.seq = -1
        self.cpus = spec.cpus
        self.free_cpus = spec.cpus
        self.free_gpus = spec.gpus
        self.free_memory = spec.memory_gb
        self.runs: dict[tuple[str, int], Run] = {}
        self.strays: dict[tuple[str, int], bool] = {}
        self.images: OrderedDict[int, float] = OrderedDict()
        self.last_heard = 0.0
        # Session and number of its newest report, and when it came; answers to direct
        # commands count in ``seq`` and ``last_heard`` as well.
        self.beat = (0, -1)
        self.beat_at = -math.inf
        # Since when nothing shows that it hears what it is told (0: it does), and how many
        # reports came meanwhile.
        self.deaf_since = 0.0
        self.deaf_beats = 0
        # It may answer, but no report of it comes.
        self.mute = False
        self.lease_until = 0.0
        self.listed_at: float | None = None
        self.listed_addr = ""
        self.rented_at = 0.0
        self.idle_since = 0.0
        self.notice_at: float | None = None
        self.draining = False
        self.cordoned = False
        self.asked_gone = False
        self.delete_at = 0.0
        self.pushing = False
        self.probe = 0
        self.probing = False
        # Where reports that say nothing new leave their time; the core's.
        self.cell: Any = None
        self.errors: dict[int, float] = {}
        self.failed_until = 0.0
        self.sick = False
        self.slowness = 1.0
        self.slow_count = 0

    def usable(self) -> bool:
        leaving = self.draining or self.cordoned or self.asked_gone
        unsure = self.sick or self.mute or self.deaf_since
        return self.status == UP and not (leaving or unsure or self.foreign)

    def steady(self) -> bool:
        """Nothing is to be told, whatever is on it stays until it says so itself."""
        return not self.strays and all(
            run.grace is None and run.state in (FETCHING, WAITING, RUNNING)
            for run in self.runs.values()
        )

    def empty(self) -> bool:
        """No task can be on it; exited ones may still be in its reports."""
        return all(run.state == EXITED for run in self.runs.values())

    def take(self, spec: Submission) -> None:
        self.free_cpus -= spec.cpus
        self.free_gpus -= spec.gpus
        self.free_memory -= spec.memory_gb

    def give(self, spec: Submission) -> None:
        self.free_cpus += spec.cpus
        self.free_gpus += spec.gpus
        self.free_memory += spec.memory_gb

    def remember_image(self, image: int, size_gb: float, cache_gb: float) -> None:
        """Follow the worker's cache: it keeps the most recently used images."""
        self.images[image] = size_gb
        self.images.move_to_end(image)
        while len(self.images) > 1 and sum(self.images.values()) > cache_gb:
            self.images.popitem(last=False)


@dataclass(frozen=True, slots=True)
class Given:
    """A machine that was handed on, as its former share keeps it in mind for good."""

    name: str
    addr: str
    type: str
    zone: str
    spot: bool
    share: int
    """Where it went."""
    moves: int
    token: int


@dataclass(slots=True)
class Team:
    """What a team's tasks take of machines that they may be on."""

    limits: TeamLimits
    cpus: float = 0.0
    gpus: float = 0.0

    def room_for(self, cpus: float, gpus: float) -> bool:
        limits = self.limits
        cpus_ok = limits.cpus_max <= 0 or self.cpus + cpus <= limits.cpus_max + EPSILON
        gpus_ok = limits.gpus_max <= 0 or self.gpus + gpus <= limits.gpus_max + EPSILON
        return cpus_ok and gpus_ok

    def ever_fits(self, cpus: float, gpus: float) -> bool:
        limits = self.limits
        return not (
            (limits.cpus_max > 0 and cpus > limits.cpus_max + EPSILON)
            or (limits.gpus_max > 0 and gpus > limits.gpus_max + EPSILON)
        )


class Counted(Protocol):
    """Resources that are counted across the whole cluster, where any are defined."""

    def need(self, spec: Submission) -> tuple[tuple[int, int], ...]:
        """What each task of a job holds: (resource, count)."""
        ...

    def seated(self, spec: Submission) -> int:
        """How many of a job's tasks can ever hold what they need at once."""
        ...

    def took(self, run: Run) -> None: ...

    def gave(self, run: Run) -> None: ...


class Tables:
    """All that the leader knows, by index."""

    def __init__(self, zones: list[str], teams: list[TeamLimits]) -> None:
        self.zones = NameIndex()
        for zone in zones:
            self.zones.add(zone)
        self.team_names = NameIndex()
        self.teams: list[Team] = []
        for limits in teams:
            self.team_names.add(limits.name)
            self.teams.append(Team(limits))
        self.images = NameIndex()
        self.type_names = NameIndex()
        self.types: list[MachineType] = []
        self.jobs: dict[int, Job] = {}
        self.job_by_id: dict[str, Job] = {}
        self.finals: dict[str, int] = {}
        self.next_job = 0
        self.machine_names = NameIndex()
        self.machines: dict[int, Machine] = {}
        self.gone: set[str] = set()
        # Machines handed on to other shares: none of them is taken for ours again
        # unless it is handed back.
        self.given: dict[str, Given] = {}
        # How many tasks of each rank may be on machines.
        self._placed = [0] * len(RANKS)
        # By class of jobs: how long tasks ran, measured in their estimates.
        self.run_ratios: dict[str, float] = {}
        # The most CPUs and memory that work with cards took for one card.
        self.card_needs: tuple[float, float] | None = None
        # Has work with cards come that may use spot machines?
        self._cards_on_spot = False
        self.counted: Counted | None = None

    def set_types(self, types: list[MachineType]) -> bool:
        """Take in prices; true if anything but a price is new."""
        fresh = False
        for spec in types:
            number = self.type_names.add(spec.name)
            for zone in spec.zones:
                self.zones.add(zone)
            if number == len(self.types):
                self.types.append(spec)
                fresh = True
            else:
                self.types[number] = spec
        if fresh:
            for job in self.jobs.values():
                job.type_ok = None
        return fresh

    def add_job(self, index: int, spec: Submission, submitted: float, portion: bool = False) -> Job:
        job = Job(index, spec, submitted, portion)
        job.team = self.team_names.get(spec.team)
        job.image = self.images.add(spec.image)
        job.zone = -1 if spec.zone is None else self.zones.add(spec.zone)
        if self.counted is not None and spec.seats is not None:
            job.seats = self.counted.need(spec)
        self.jobs[index] = job
        self.job_by_id[job.key] = job
        if spec.gpus > 0:
            self._cards_on_spot = self._cards_on_spot or spec.spot
            cpus, memory = self.card_needs or (0.0, 0.0)
            self.card_needs = (
                max(cpus, spec.cpus / spec.gpus),
                max(memory, spec.memory_gb / spec.gpus),
            )
        self.next_job = max(self.next_job, index + 1)
        return job

    def types_for(self, job: Job) -> list[bool]:
        if job.type_ok is None:
            allowed = job.spec.types
            job.type_ok = [
                (allowed is None or kind.name in allowed) and type_fits(kind, job.spec)
                for kind in self.types
            ]
        return job.type_ok

    def machine(self, name: str) -> Machine | None:
        return self.machines.get(self.machine_names.get(name))

    def add_machine(self, name: str, type_name: str, zone: str, spot: bool) -> Machine | None:
        """A machine by name; None if its type is not known (yet)."""
        known = self.machine(name)
        if known is not None or name in self.gone:
            return known
        kind = self.type_names.get(type_name)
        if kind < 0:
            return None
        index = self.machine_names.add(name)
        machine = Machine(index, name, kind, self.types[kind], self.zones.add(zone), spot)
        self.machines[index] = machine
        return machine

    def assign(self, job: Job, task: int, attempt: int, machine: Machine, session: int) -> Run:
        """Put a task on a machine: from here on it counts as being there."""
        run = Run(job, task, attempt, machine, session)
        job.runs[task] = run
        job.pending.discard(task)
        job.attempt = max(job.attempt, attempt)
        machine.runs[(run.name, attempt)] = run
        machine.take(job.spec)
        self._placed[job.rank] += 1
        team = self.teams[job.team]
        team.cpus += job.spec.cpus
        team.gpus += job.spec.gpus
        if job.seats and self.counted is not None:
            self.counted.took(run)
        return run

    def free(self, run: Run) -> None:
        """The task is certainly no longer on its machine."""
        job = run.job
        if job.runs.get(run.task) is not run:
            return
        del job.runs[run.task]
        if not job.done[run.task]:
            job.pending.add(run.task)
        run.machine.give(job.spec)
        self._placed[job.rank] -= 1
        team = self.teams[job.team]
        team.cpus -= job.spec.cpus
        team.gpus -= job.spec.gpus
        if job.seats and self.counted is not None:
            self.counted.gave(run)

    def least_urgent(self) -> int:
        """The largest rank of which a task may be on some machine; -1 without any."""
        return max((rank for rank, tasks in enumerate(self._placed) if tasks), default=-1)

    def finish_task(self, job: Job, task: int) -> bool:
        if job.done[task]:
            return False
        job.done[task] = 1
        job.done_count += 1
        job.pending.discard(task)
        job.away.discard(task)
        return True

    def ran(self, job: Job, seconds: float) -> None:
        """Learn how far off a class's estimates are."""
        if job.spec.estimate_s <= 0:
            return
        ratio = min(10.0, seconds / job.spec.estimate_s)
        known = self.run_ratios.get(job.spec.job_class, 1.0)
        self.run_ratios[job.spec.job_class] = known + (ratio - known) * RATIO_WEIGHT

    def beside_cards(self, kind: int) -> tuple[float, float]:
        """CPUs and memory of a type that work with cards will not need."""
        spec = self.types[kind]
        if self.card_needs is None:
            return 0.0, 0.0
        cpus, memory = self.card_needs
        return spec.cpus - cpus * spec.gpus, spec.memory_gb - memory * spec.gpus

    def spot_cards_unclaimed(self) -> bool:
        """Work with cards is known, and none of it may use spot machines."""
        return self.card_needs is not None and not self._cards_on_spot

    def expected_s(self, job: Job) -> float:
        """A task's run time: the owner's estimate, corrected by what was seen.

        First of its class, then of the job itself, whose tasks are more alike.
        """
        known = job.spec.estimate_s * self.run_ratios.get(job.spec.job_class, 1.0)
        weight = job.ran_count / (job.ran_count + OWN_WEIGHT)
        mean = job.ran_s / job.ran_count if job.ran_count else 0.0
        return known + (mean - known) * weight

    def retire(self, job: Job) -> None:
        """Shrink an ended job to its final state."""
        self.finals[job.key] = job.status
        self.jobs.pop(job.index, None)
        self.job_by_id.pop(job.key, None)

    def drop_machine(self, machine: Machine) -> None:
        self.forget_machine(machine)
        self.gone.add(machine.name)

    def forget_machine(self, machine: Machine) -> None:
        """It is not known here any more, and may be again."""
        machine.status = GONE
        self.machines.pop(machine.index, None)


def type_fits(kind: MachineType, spec: Submission) -> bool:
    return (
        kind.cpus + EPSILON >= spec.cpus
        and kind.gpus + EPSILON >= spec.gpus
        and kind.memory_gb + EPSILON >= spec.memory_gb
    )
