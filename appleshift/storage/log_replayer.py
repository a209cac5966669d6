"""Replay of the write-ahead log: rebuilds the state of a shard from its records.

Module ``records`` lists the kinds of records and writes them.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

import msgspec

from appleshift.protocol.cloud import MachineType
from appleshift.protocol.users import Submission
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job
from appleshift.state.handed_off_machines import HandedOffMachine
from appleshift.state.states import CANCELLED, FINISHED
from appleshift.state.task_set import TaskSet
from appleshift.storage.records import (
    ASSIGN,
    CANCEL,
    CANCEL_REQUESTED,
    COUNTED_RESOURCE,
    DONE,
    END,
    FINAL_STATE,
    FREE,
    HANDED_OFF,
    JOB,
    MACHINE,
    MACHINE_DELETED,
    MACHINE_TYPE,
    NEXT_JOB_INDEX,
    PARTITIONS,
    SPEC_FIELDS,
    SPOT_GROUPS,
    Record,
)


class TaskLocation(NamedTuple):
    """Where an attempt of a task may be, as recorded."""

    attempt: int
    machine: str
    agent_epoch: int


class RecordConsumer(Protocol):
    """Receives each durable record, for the audit of counted resources."""

    def apply(self, record: Record) -> None:
        """Process one record; called in the order of the log."""


class LogReplayer:
    """Rebuilds the state of a shard from a snapshot and the log after it."""

    def __init__(
        self, cluster: ClusterState, make_audit_log: Callable[[int], RecordConsumer] | None = None
    ) -> None:
        """Create a replayer that applies records to ``cluster``.

        ``make_audit_log`` is called at the first record of a counted resource, with the
        number of audit entries that were already written to pages.
        """
        self.cluster = cluster
        self.make_audit_log = make_audit_log
        self.audit_log: RecordConsumer | None = None
        self.audit_entries_written = 0
        # Current definitions of the counted resources, by name, as recorded.
        self.counted_resources: dict[str, Any] = {}
        self.spot_group_names: Any = None
        # Final states that are recorded in the log, but not yet on a page of final states.
        self.unsaved_final_states: list[tuple[str, int]] = []
        # Time and specification of all submissions in the log, including those of ended jobs.
        self.submissions: list[tuple[float, Submission]] = []
        # By job index and task: where the task may be.
        self.task_locations: dict[int, dict[int, TaskLocation]] = {}

    def apply_final_states(self, records: list[Record]) -> None:
        """Apply a page of final states, each as (job id, final state)."""
        self.cluster.final_states.add_page((job_id, status) for job_id, status in records)

    def apply(self, records: list[Record]) -> None:
        """Apply the records of a snapshot page or a log entry, in their order."""
        for record in records:
            self._apply(record)

    def _apply(self, record: Record) -> None:
        """Apply one record; ignore kinds of later versions and records of ended jobs."""
        if self.audit_log is not None:
            self.audit_log.apply(record)
        kind = record[0]
        apply_to_cluster = _CLUSTER_HANDLERS.get(kind)
        if apply_to_cluster is not None:
            apply_to_cluster(self, record)
            return
        job = self.cluster.jobs.get(record[1])
        apply_to_job = _JOB_HANDLERS.get(kind)
        if job is not None and apply_to_job is not None:
            apply_to_job(self, job, record)

    # -- records of the cluster ----------------------------------------------

    def _apply_submission(self, record: Record) -> None:
        _, index, submitted, values, *partition = record
        spec = Submission(**dict(zip(SPEC_FIELDS, values, strict=False)))
        job = self.cluster.add_job(index, spec, submitted, bool(partition))
        job.accepted = True
        if not partition:
            self.submissions.append((submitted, spec))

    def _apply_machine_type(self, record: Record) -> None:
        self.cluster.update_machine_types([msgspec.convert(record[1], MachineType)])

    def _apply_spot_groups(self, record: Record) -> None:
        self.spot_group_names = record[1]

    def _apply_machine(self, record: Record) -> None:
        _, name, addr, type_name, zone, spot, *transfer = record
        self.cluster.handed_off.pop(name, None)
        machine = self.cluster.add_machine(name, type_name, zone, spot)
        if machine is not None:
            machine.addr = addr
            machine.transfer_count, machine.min_fencing_token = transfer or (0, 0)

    def _apply_handed_off(self, record: Record) -> None:
        handed_off = HandedOffMachine(*record[1:])
        machine = self.cluster.machine(handed_off.name)
        if machine is not None:
            self.cluster.remove_machine(machine)
        self.cluster.handed_off[handed_off.name] = handed_off

    def _apply_machine_deleted(self, record: Record) -> None:
        machine = self.cluster.machine(record[1])
        if machine is not None:
            self.cluster.remove_deleted_machine(machine)

    def _apply_counted_resource(self, record: Record) -> None:
        if self.audit_log is None and self.make_audit_log is not None:
            self.audit_log = self.make_audit_log(self.audit_entries_written)
            self.audit_log.apply(record)
        _, _, name, definition = record
        if definition is None:
            self.counted_resources.pop(name, None)
        else:
            self.counted_resources[name] = definition

    def _apply_next_job_index(self, record: Record) -> None:
        self.cluster.next_job_index = max(self.cluster.next_job_index, record[1])

    def _apply_final_state(self, record: Record) -> None:
        """Apply a final state that is not yet on a page of final states."""
        _, job_id, final = record
        self.cluster.final_states[job_id] = final
        self.unsaved_final_states.append((job_id, final))

    # -- records of a job ----------------------------------------------------

    def _apply_assign(self, job: Job, record: Record) -> None:
        _, index, attempt, machine_name, agent_epoch, ranges, *_ = record
        location = TaskLocation(attempt, machine_name, agent_epoch)
        locations = self.task_locations.setdefault(index, {})
        locations.update(dict.fromkeys(TaskSet.from_ranges(ranges), location))
        job.last_attempt = max(job.last_attempt, attempt)

    def _apply_free(self, job: Job, record: Record) -> None:
        locations = self.task_locations.get(job.index, {})
        for task in TaskSet.from_ranges(record[2]):
            locations.pop(task, None)

    def _apply_done(self, job: Job, record: Record) -> None:
        job.mark_done(TaskSet.from_ranges(record[2]))
        if job.all_tasks_done():
            job.status = FINISHED
            job.done_durable = True

    def _apply_partitions(self, job: Job, record: Record) -> None:
        self.cluster.assign_partitions(job, record[2])

    def _apply_cancel_requested(self, job: Job, record: Record) -> None:
        job.status = CANCELLED
        job.cancel_requested = True
        job.cancel_request_durable = True

    def _apply_cancel(self, job: Job, record: Record) -> None:
        if job.status != FINISHED:
            job.status = CANCELLED
            job.cancel_durable = True
            job.cancel_requested = False

    def _apply_end(self, job: Job, record: Record) -> None:
        job.status = record[2]
        self.task_locations.pop(job.index, None)
        self.unsaved_final_states.append((job.key, job.status))
        self.cluster.remove_job(job)


_CLUSTER_HANDLERS: dict[str, Callable[[LogReplayer, Record], None]] = {
    JOB: LogReplayer._apply_submission,
    MACHINE_TYPE: LogReplayer._apply_machine_type,
    SPOT_GROUPS: LogReplayer._apply_spot_groups,
    MACHINE: LogReplayer._apply_machine,
    HANDED_OFF: LogReplayer._apply_handed_off,
    MACHINE_DELETED: LogReplayer._apply_machine_deleted,
    COUNTED_RESOURCE: LogReplayer._apply_counted_resource,
    NEXT_JOB_INDEX: LogReplayer._apply_next_job_index,
    FINAL_STATE: LogReplayer._apply_final_state,
}
_JOB_HANDLERS: dict[str, Callable[[LogReplayer, Job, Record], None]] = {
    ASSIGN: LogReplayer._apply_assign,
    FREE: LogReplayer._apply_free,
    DONE: LogReplayer._apply_done,
    PARTITIONS: LogReplayer._apply_partitions,
    CANCEL_REQUESTED: LogReplayer._apply_cancel_requested,
    CANCEL: LogReplayer._apply_cancel,
    END: LogReplayer._apply_end,
}
"""Handlers of records whose second field is a job index; ignored if the job has ended."""
