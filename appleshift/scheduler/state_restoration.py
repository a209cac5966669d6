"""Restores the cluster state of a new term from the records of earlier leaders."""

from __future__ import annotations

from appleshift.scheduler.scheduler_interfaces import FullSchedulerView
from appleshift.state.cluster_state import ClusterState
from appleshift.state.states import CANCELLED, UP
from appleshift.storage.log_replayer import LogReplayer


def restore_state(scheduler: FullSchedulerView, replayer: LogReplayer, wall_time: float) -> None:
    """Initialize a new term's scheduler with the recovered state.

    ``wall_time`` is the current time in seconds since the Unix epoch. Recorded task
    assignments remain valid until there is proof that the tasks ended.
    """
    cluster = scheduler.cluster
    counted = scheduler.counted_resources
    if counted is not None:
        counted.begin_recovery()
    _restore_assignments(cluster, replayer)
    if counted is not None:
        counted.end_recovery()
    for submitted, spec in sorted(replayer.submissions, key=lambda entry: entry[0]):
        # Submissions of earlier terms are part of the arrival history for capacity planning.
        scheduler.fleet.job_arrived(spec, scheduler.now - max(0.0, wall_time - submitted))
    _restore_machines(scheduler)
    for job in list(cluster.jobs.values()):
        if job.status == CANCELLED:
            scheduler.stop_job(job)
        scheduler.retire_if_ended(job)


def _restore_assignments(cluster: ClusterState, replayer: LogReplayer) -> None:
    for index, locations in replayer.task_locations.items():
        job = cluster.jobs.get(index)
        if job is None:
            continue
        for task, location in locations.items():
            machine = cluster.machine(location.machine)
            if task in job.done_tasks or machine is None:
                # Without the machine, its deletion was recorded, and the task ended with it.
                continue
            machine.agent_epoch = max(machine.agent_epoch, location.agent_epoch)
            run = cluster.assign(job, task, location.attempt, machine, location.agent_epoch)
            run.assignment_durable = run.start_sent = True
            run.ordered_this_term = False


def _restore_machines(scheduler: FullSchedulerView) -> None:
    """Mark all recorded machines as up, and assume the latest possible end of their leases.

    A machine is recorded only once it has sent a heartbeat, so none of them is booting.
    """
    for machine in scheduler.cluster.machines.values():
        machine.status = UP
        # The previous leader may have renewed the worker's lease until this term's election.
        machine.lease_until = scheduler.now + scheduler.worker_lease_s
        machine.idle_since = scheduler.now
        machine.rented_at = scheduler.now
