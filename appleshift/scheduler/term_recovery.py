"""Sets up a new term from what an earlier leader left in the write-ahead log."""

from __future__ import annotations

from appleshift.scheduler.interfaces import TermScheduler
from appleshift.state.cluster_state import ClusterState
from appleshift.state.states import CANCELLED, UP
from appleshift.storage.records import LogReplayer


def restore_term(scheduler: TermScheduler, replayer: LogReplayer, wall_time: float) -> None:
    """Take over the recovered state; ``wall_time`` is now, in seconds since the epoch.

    Recorded assignments stay where they are until there is proof that they ended.
    """
    cluster = scheduler.cluster
    counted = scheduler.counted_resources
    if counted is not None:
        counted.begin_recovery()
    _restore_assignments(cluster, replayer)
    if counted is not None:
        counted.end_recovery()
    for submitted, spec in sorted(replayer.submissions, key=lambda entry: entry[0]):
        # Arrivals under earlier leaders still tell how much work is to be expected.
        scheduler.fleet.job_arrived(spec, scheduler.now - max(0.0, wall_time - submitted))
    _restore_machines(scheduler)
    for job in list(cluster.jobs.values()):
        if job.status == CANCELLED:
            scheduler.stop_job(job)
        scheduler.retire_if_ended(job)


def _restore_assignments(cluster: ClusterState, replayer: LogReplayer) -> None:
    for (index, task), (attempt, name, agent_epoch) in replayer.task_locations.items():
        job = cluster.jobs.get(index)
        machine = cluster.machine(name)
        if job is None or job.done[task]:
            continue
        if machine is None:
            # The machine's deletion was recorded: the task ended with it.
            continue
        machine.agent_epoch = max(machine.agent_epoch, agent_epoch)
        run = cluster.assign(job, task, attempt, machine, agent_epoch)
        run.assignment_durable = run.start_sent = True
        run.ordered_this_term = False


def _restore_machines(scheduler: TermScheduler) -> None:
    for machine in scheduler.cluster.machines.values():
        machine.status = UP
        # The previous leader may have renewed the lease until this term's election.
        machine.lease_until = scheduler.now + scheduler.worker_lease_s
        machine.idle_since = scheduler.now
        machine.rented_at = scheduler.now
