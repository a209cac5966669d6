"""What the parts of one placement pass share."""

from __future__ import annotations

from appleshift.objectives.objectives import Objectives
from appleshift.placement.counted_resource_interfaces import CountedResourcePass
from appleshift.placement.eligible_machines import EligibleMachines
from appleshift.placement.preemption import Preemption
from appleshift.placement.result import Placement, PlacementResult
from appleshift.placement.spare_gpu_machine_capacity import SpareGpuMachineCapacity
from appleshift.placement.urgency import UrgencyOrder
from appleshift.state.cluster_state import ClusterState
from appleshift.state.entities import Job, Machine


class PlacementPass:
    """The state of one pass, and the decisions that all kinds of jobs have in common."""

    def __init__(
        self,
        cluster: ClusterState,
        now: float,
        wall: float,
        min_last_heartbeat: float,
        objectives: Objectives,
        counted_resources: CountedResourcePass | None,
    ) -> None:
        """Begin a pass; parameters are those of ``FirstFitPlacer``."""
        self.cluster = cluster
        self.now = now
        self.wall = wall
        self.objectives = objectives
        self.counted_resources = counted_resources
        self.machines = EligibleMachines(cluster, now, min_last_heartbeat)
        self.spare_gpu_machine_capacity = SpareGpuMachineCapacity(cluster, self.machines)
        self.urgency = UrgencyOrder(cluster, now, wall, objectives, counted_resources)
        self.preemption = Preemption(cluster, self.machines, self.urgency, now)
        self.result = PlacementResult()
        self.preempt = False
        """Whether this pass may stop tasks."""
        self.turn_rank: int | None = None
        """The rank by which it is the present job's turn, if not its own."""

    def preemption_delay_is_over(self, job: Job) -> bool:
        """Whether a job has waited long enough for room that comes by itself."""
        return self.urgency.age_s(job) >= self.objectives.preemption_delay_s(job)

    def assign(self, job: Job, machine: Machine, attempt: int, tasks: list[int]) -> None:
        """Place tasks on a machine."""
        for task in tasks:
            run = self.cluster.assign(job, task, attempt, machine, machine.agent_epoch)
            # What is placed before more urgent work must not be stopped for it, or both
            # take each other's room in every pass and neither ever runs.
            run.rank = job.rank if self.turn_rank is None else min(job.rank, self.turn_rank)
        self.preemption.record_placement(job, machine, len(tasks))
        self.spare_gpu_machine_capacity.record_placement(job, machine, len(tasks))
        self.result.placements.append(Placement(job, machine, attempt, tasks))

    def limit_by_counted_resources(self, job: Job) -> int:
        """How many pending tasks may hold the counted resources that they need now.

        The others wait for counted resources alone: no machine is rented for them and
        none is emptied. Only tasks that hold counted resources may be stopped for them.
        """
        pending = len(job.pending)
        if not job.counted_needs or self.counted_resources is None:
            return pending
        allowed = self.counted_resources.max_tasks(job, pending)
        if allowed < pending:
            urgent = self.preempt and self.preemption_delay_is_over(job)
            self.result.preempted += self.counted_resources.tasks_lacking(
                job, pending - allowed, urgent
            )
        return allowed

    def record_no_machine(self, job: Job) -> None:
        """Note that counted resources are free for a job of which no task found a machine."""
        if job.counted_needs and self.counted_resources is not None:
            self.counted_resources.no_machine_for(job)
