"""Records of the write-ahead log: encoding of changes. Module ``log_replayer`` reads them.

A record is a list that starts with its kind. A kind is a single letter, since each byte
counts against the limits of the key-value store. Tasks are encoded as ranges, in flat
lists of [first, last] pairs, and jobs by their index. Fields in brackets are optional::

    J job, submitted, submission [, 1: a partition]   a job was accepted
    A job, attempt, machine, agent epoch, tasks [, time] tasks may be on a machine
    F job, tasks [, time]                             tasks are certainly on no machine
    D job, tasks [, time]                             tasks succeeded
    P job, [[shard, first task, count], ...]          other shards run these tasks
    K job                                             cancellation was requested
    C job                                             the job is cancelled
    E job, final state                                the job has ended and is removed
    W job id, final state                             final state of an id without a job here
    N job                                             the next job index
    T machine type                                    a type with its price
    G groups                                          groups of spot machines
    M name, address, type, zone, spot [, transfer count, fencing token]
    X name                                            the machine is deleted
    V fields of HandedOffMachine                      a machine was handed off to a shard
    S time, name, definition or None                  a counted resource; None: no longer
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import astuple
from typing import Any

import msgspec

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine
from appleshift.state.handed_off_machines import HandedOffMachine
from appleshift.state.states import CANCELLED
from appleshift.state.task_set import to_ranges

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

SPEC_FIELDS = Submission.__struct_fields__
_MAX_RANGES_PER_RECORD = 100
"""This many ranges fit in the smallest value."""


def job_record(job: Job) -> Record:
    """Return the record of an accepted job, or of a partition of another shard's job."""
    values = [getattr(job.spec, name) for name in SPEC_FIELDS]
    if job.spec.counted_resources is None:
        # Versions without counted resources must be able to read the record; they lack
        # this field, which is the last.
        values.pop()
    record = [JOB, job.index, round(job.submitted, 3), values]
    return [*record, 1] if job.key != job.spec.id else record


def assign_records(
    job: Job,
    attempt: int,
    machine: Machine,
    agent_epoch: int,
    tasks: Iterable[int],
    wall: float | None = None,
) -> list[Record]:
    """Return records that tasks may be on a machine; ``wall``: seconds since 1970."""
    return [
        [ASSIGN, job.index, attempt, machine.name, agent_epoch, ranges, *_time(job, wall)]
        for ranges in _batches(tasks)
    ]


def free_records(job: Job, tasks: Iterable[int], wall: float | None = None) -> list[Record]:
    """Return the records of tasks that are certainly on no machine any more."""
    return [[FREE, job.index, ranges, *_time(job, wall)] for ranges in _batches(tasks)]


def done_records(job: Job, tasks: Iterable[int], wall: float | None = None) -> list[Record]:
    """Return the records of tasks that succeeded."""
    return [[DONE, job.index, ranges, *_time(job, wall)] for ranges in _batches(tasks)]


def counted_resource_record(name: str, definition: dict[str, Any] | None, wall: float) -> Record:
    """Return the record of a counted resource's new definition; None: no longer counted."""
    return [COUNTED_RESOURCE, round(wall, 3), name, definition]


def _time(job: Job, wall: float | None) -> tuple[float, ...]:
    """Return the time when counted resources were assigned or released, if the job has any."""
    return () if wall is None or not job.counted_needs else (round(wall, 3),)


def cancel_record(job: Job) -> Record:
    """Return the record of a job's cancellation."""
    return [CANCEL, job.index]


def partitions_record(job: Job) -> Record:
    """Return the record of the tasks of a job that other shards run."""
    return [PARTITIONS, job.index, [[*partition] for partition in job.partitions]]


def cancel_requested_record(job: Job) -> Record:
    """Return the record that the user cancelled a job of which other shards run tasks.

    No further task of the job starts, and the other shards are asked to end their tasks.
    The job is cancelled once all of them have ended.
    """
    return [CANCEL_REQUESTED, job.index]


def final_state_record(job_id: str, final: int) -> Record:
    """Return the record of the final state of a job id without a job in this shard.

    The job belongs to another shard, or it ended before it was submitted here.
    """
    return [FINAL_STATE, job_id, final]


def end_record(job: Job) -> Record:
    """Return the record that a job has ended and none of its tasks is on a machine."""
    return [END, job.index, job.status]


def machine_type_records(types: list[MachineType]) -> list[Record]:
    """Return records of machine types with their prices."""
    return [[MACHINE_TYPE, msgspec.to_builtins(machine_type)] for machine_type in types]


def machine_record(cluster: ClusterState, machine: Machine) -> Record:
    """Return the record of a machine whose address is known."""
    type_name, zone = cluster.type_names.names[machine.type], cluster.zones.names[machine.zone]
    record = [MACHINE, machine.name, machine.addr, type_name, zone, machine.spot]
    return (
        [*record, machine.transfer_count, machine.min_fencing_token]
        if machine.transfer_count
        else record
    )


def handed_off_record(handed_off: HandedOffMachine) -> Record:
    """Return the record that a machine without tasks was handed off to another shard."""
    return [HANDED_OFF, *astuple(handed_off)]


def machine_deleted_record(machine: Machine) -> Record:
    """Return the record that a machine is deleted."""
    return [MACHINE_DELETED, machine.name]


def _batches(tasks: Iterable[int]) -> list[list[int]]:
    """Return the ranges of tasks, divided into the lists of single records."""
    flat = to_ranges(tasks)
    numbers_per_record = 2 * _MAX_RANGES_PER_RECORD
    return [
        flat[start : start + numbers_per_record]
        for start in range(0, len(flat), numbers_per_record)
    ]


def live_records(
    cluster: ClusterState, groups: Any, counted_resources: list[Record] | None = None
) -> list[Record]:
    """Return the records of a snapshot, which rebuild the live state."""
    # Definitions of counted resources come first, since the replay of jobs depends on them.
    records = (counted_resources or []) + machine_type_records(cluster.types)
    if groups is not None:
        records.append([SPOT_GROUPS, groups])
    # Indices of ended jobs are not reused: the log after the snapshot may refer to them.
    records.append([NEXT_JOB_INDEX, cluster.next_job_index])
    records += [
        machine_record(cluster, machine) for machine in cluster.machines.values() if machine.addr
    ]
    records += [handed_off_record(handed_off) for handed_off in cluster.handed_off.values()]
    for job in cluster.jobs.values():
        records += _live_job_records(job)
    return records


def _live_job_records(job: Job) -> list[Record]:
    records = [job_record(job)]
    if job.partitions:
        records.append(partitions_record(job))
    records += _location_records(job)
    records += done_records(job, job.done_tasks)
    if job.cancel_requested:
        records.append(cancel_requested_record(job))
    elif job.status == CANCELLED:
        records.append(cancel_record(job))
    return records


def _location_records(job: Job) -> list[Record]:
    """Return records of the machines that a job's tasks may be on."""
    records: list[Record] = []
    tasks_by_location: dict[tuple[int, int, int], list[int]] = {}
    for task, run in job.runs.items():
        location = (run.attempt, run.machine.index, run.agent_epoch)
        tasks_by_location.setdefault(location, []).append(task)
    for (attempt, _, agent_epoch), tasks in tasks_by_location.items():
        records += assign_records(job, attempt, job.runs[tasks[0]].machine, agent_epoch, tasks)
    if job.last_attempt > max((attempt for attempt, _, _ in tasks_by_location), default=0):
        # Numbers of finished attempts are not reused either: if two attempts had the same
        # number, two holders of a counted resource would be indistinguishable.
        records.append([ASSIGN, job.index, job.last_attempt, "", 0, []])
    return records
