"""The log's records: how changes are written down and read back.

A record is a short list that starts with its kind, since every byte counts
against the state service's limits. Tasks are written as ranges.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import astuple
from typing import Any, Protocol

import msgspec

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import (
    CANCELLED,
    FINISHED,
    ClusterState,
    HandedOffMachine,
    Job,
    Machine,
)
from appleshift.state.name_index import from_ranges, to_ranges

Record = list[Any]

JOB = "J"
ASSIGN = "A"
FREE = "F"
DONE = "D"
CANCEL = "C"
END = "E"
MACHINE_TYPE = "T"
SPOT_GROUPS = "G"
MACHINE = "M"
MACHINE_DELETED = "X"
NEXT_JOB_INDEX = "N"
COUNTED_RESOURCE = "S"
PARTITIONS = "P"
CANCEL_REQUESTED = "K"
HANDED_OFF = "V"
FINAL_STATE = "W"

_SPEC_FIELDS = Submission.__struct_fields__
_MAX_TASKS_PER_RECORD = 100
"""Ranges of this many tasks fit the smallest value even if no two are neighbours."""


def job_record(job: Job) -> Record:
    values = [getattr(job.spec, name) for name in _SPEC_FIELDS]
    if job.spec.counted_resources is None:
        # As it was before there were seats: older versions read it, too.
        values.pop()
    record = [JOB, job.index, round(job.submitted, 3), values]
    return [*record, 1] if job.key != job.spec.id else record


def assign_records(
    job: Job,
    attempt: int,
    machine: Machine,
    agent_epoch: int,
    tasks: list[int],
    wall: float | None = None,
) -> list[Record]:
    return [
        [ASSIGN, job.index, attempt, machine.name, agent_epoch, to_ranges(some), *_at(job, wall)]
        for some in _slices(tasks)
    ]


def free_records(job: Job, tasks: list[int], wall: float | None = None) -> list[Record]:
    return [[FREE, job.index, to_ranges(some), *_at(job, wall)] for some in _slices(tasks)]


def done_records(job: Job, tasks: list[int], wall: float | None = None) -> list[Record]:
    return [[DONE, job.index, to_ranges(some), *_at(job, wall)] for some in _slices(tasks)]


def counted_resource_record(name: str, definition: dict[str, Any] | None, wall: float) -> Record:
    """A counted resource as it is from now on; None: no longer counted."""
    return [COUNTED_RESOURCE, round(wall, 3), name, definition]


def _at(job: Job, wall: float | None) -> tuple[float, ...]:
    """When seats changed hands; what holds none has no such time."""
    return () if wall is None or not job.counted_needs else (round(wall, 3),)


def cancel_record(job: Job) -> Record:
    return [CANCEL, job.index]


def partitions_record(job: Job) -> Record:
    """Which tasks of the job other shares run."""
    return [PARTITIONS, job.index, [[*portion] for portion in job.partitions]]


def cancel_requested_record(job: Job) -> Record:
    """Its user wants it cancelled: nothing of it starts any more, and other
    shares are asked to end what they have. It is cancelled once they did."""
    return [CANCEL_REQUESTED, job.index]


def final_state_record(job_id: str, final: int) -> Record:
    """The final state of an id that is no job here: it belongs elsewhere, or ended
    before it came."""
    return [FINAL_STATE, job_id, final]


def end_record(job: Job) -> Record:
    return [END, job.index, job.status]


def machine_type_records(types: list[MachineType]) -> list[Record]:
    return [[MACHINE_TYPE, msgspec.to_builtins(kind)] for kind in types]


def machine_record(cluster: ClusterState, machine: Machine) -> Record:
    kind, zone = cluster.type_names.names[machine.type], cluster.zones.names[machine.zone]
    record = [MACHINE, machine.name, machine.addr, kind, zone, machine.spot]
    return (
        [*record, machine.transfer_count, machine.min_fencing_token]
        if machine.transfer_count
        else record
    )


def handed_off_record(handed_off: HandedOffMachine) -> Record:
    """A machine without any task was handed on to another share."""
    return [HANDED_OFF, *astuple(handed_off)]


def machine_deleted_record(machine: Machine) -> Record:
    return [MACHINE_DELETED, machine.name]


def _slices(tasks: list[int]) -> list[list[int]]:
    ordered = sorted(tasks)
    return [
        ordered[start : start + _MAX_TASKS_PER_RECORD]
        for start in range(0, len(ordered), _MAX_TASKS_PER_RECORD)
    ]


class RecordFollower(Protocol):
    """Follows durable records, for the audit of counted resources."""

    def apply(self, record: Record) -> None: ...


class LogReplayer:
    """Rebuilds the tables from a snapshot and the log after it.

    ``make_trail`` is called once counted resources turn up in the log, with the
    number of entries that pages of the audit hold.
    """

    def __init__(
        self, cluster: ClusterState, make_audit_log: Callable[[int], RecordFollower] | None = None
    ) -> None:
        self.cluster = cluster
        self.make_audit_log = make_audit_log
        self.audit_log: RecordFollower | None = None
        self.audit_entries_written = 0
        # Counted resources in force, by name, as they were written down.
        self.counted_resources: dict[str, Any] = {}
        self.groups: Any = None
        self.unsaved_final_states: list[tuple[str, int]] = []
        # All submissions that the log still holds, jobs that are over included.
        self.arrivals: list[tuple[float, Submission]] = []
        # (job, task) -> (attempt, machine name, session): where a task may be.
        self.task_locations: dict[tuple[int, int], tuple[int, str, int]] = {}

    def apply_final_states(self, records: list[Record]) -> None:
        for job_id, status in records:
            self.cluster.final_states[job_id] = status

    def apply(self, records: list[Record]) -> None:
        for record in records:
            self._apply(record)

    def _apply(self, record: Record) -> None:
        kind = record[0]
        cluster = self.cluster
        if self.audit_log is not None:
            self.audit_log.apply(record)
        if kind == JOB:
            _, index, submitted, values, *portion = record
            spec = Submission(**dict(zip(_SPEC_FIELDS, values, strict=False)))
            job = cluster.add_job(index, spec, submitted, bool(portion))
            job.accepted = True
            if not portion:
                self.arrivals.append((submitted, spec))
            return
        if kind == MACHINE_TYPE:
            cluster.set_types([msgspec.convert(record[1], MachineType)])
            return
        if kind == SPOT_GROUPS:
            self.groups = record[1]
            return
        if kind == MACHINE:
            _, name, addr, type_name, zone, spot, *moved = record
            cluster.handed_off.pop(name, None)
            machine = cluster.add_machine(name, type_name, zone, spot)
            if machine is not None:
                machine.addr = addr
                machine.transfer_count, machine.min_fencing_token = moved or (0, 0)
            return
        if kind == HANDED_OFF:
            given = HandedOffMachine(*record[1:])
            machine = cluster.machine(given.name)
            if machine is not None:
                cluster.forget_machine(machine)
            cluster.handed_off[given.name] = given
            return
        if kind == MACHINE_DELETED:
            machine = cluster.machine(record[1])
            if machine is not None:
                cluster.drop_machine(machine)
            return
        if kind == COUNTED_RESOURCE:
            self._apply_counted_resource(record)
            return
        if kind == NEXT_JOB_INDEX:
            cluster.next_job_index = max(cluster.next_job_index, record[1])
            return
        if kind == FINAL_STATE:
            _, job_id, final = record
            cluster.final_states[job_id] = final
            self.unsaved_final_states.append((job_id, final))
            return
        index = record[1]
        known = cluster.jobs.get(index)
        if known is None:
            return
        job = known
        if kind == ASSIGN:
            _, _, attempt, machine, agent_epoch, ranges, *_ = record
            for task in from_ranges(ranges):
                self.task_locations[(index, task)] = (attempt, machine, agent_epoch)
            job.last_attempt = max(job.last_attempt, attempt)
        elif kind == FREE:
            for task in from_ranges(record[2]):
                self.task_locations.pop((index, task), None)
        elif kind == DONE:
            for task in from_ranges(record[2]):
                cluster.finish_task(job, task)
            if job.done_count == job.spec.tasks:
                job.status = FINISHED
                job.done_durable = True
        elif kind == PARTITIONS:
            job.assign_partitions(record[2])
        elif kind == CANCEL_REQUESTED:
            job.status = CANCELLED
            job.cancel_requested = True
        elif kind == CANCEL:
            if job.status != FINISHED:
                job.status = CANCELLED
                job.cancel_durable = True
                job.cancel_requested = False
        elif kind == END:
            job.status = record[2]
            for task in range(job.spec.tasks):
                self.task_locations.pop((index, task), None)
            self.unsaved_final_states.append((job.key, job.status))
            cluster.retire(job)

    def _apply_counted_resource(self, record: Record) -> None:
        if self.audit_log is None and self.make_audit_log is not None:
            self.audit_log = self.make_audit_log(self.audit_entries_written)
            self.audit_log.apply(record)
        _, _, name, definition = record
        if definition is None:
            self.counted_resources.pop(name, None)
        else:
            self.counted_resources[name] = definition


def live_records(
    cluster: ClusterState, groups: Any, counted_resources: list[Record] | None = None
) -> list[Record]:
    """Records that rebuild the live state, for a snapshot."""
    # What is counted comes first: jobs are read by it.
    records = (counted_resources or []) + machine_type_records(cluster.types)
    if groups is not None:
        records.append([SPOT_GROUPS, groups])
    # Ended jobs' numbers stay used: the log after the snapshot may name them.
    records.append([NEXT_JOB_INDEX, cluster.next_job_index])
    for machine in cluster.machines.values():
        if machine.addr:
            records.append(machine_record(cluster, machine))
    records += [handed_off_record(given) for given in cluster.handed_off.values()]
    for job in cluster.jobs.values():
        records.append(job_record(job))
        if job.partitions:
            records.append(partitions_record(job))
        # Where tasks may be, attempt by attempt and machine by machine.
        by_place: dict[tuple[int, int, int], list[int]] = {}
        for task, run in job.runs.items():
            key = (run.attempt, run.machine.index, run.agent_epoch)
            by_place.setdefault(key, []).append(task)
        for (attempt, _, agent_epoch), tasks in by_place.items():
            records += assign_records(job, attempt, job.runs[tasks[0]].machine, agent_epoch, tasks)
        if job.last_attempt > max((attempt for attempt, _, _ in by_place), default=0):
            # Attempts that are over stay used, too: a number that names two of
            # them names two holders of a seat.
            records.append([ASSIGN, job.index, job.last_attempt, "", 0, []])
        done = [task for task in range(job.spec.tasks) if job.done[task]]
        records += done_records(job, done)
        if job.cancel_requested:
            records.append(cancel_requested_record(job))
        elif job.status == CANCELLED:
            records.append(cancel_record(job))
    return records
