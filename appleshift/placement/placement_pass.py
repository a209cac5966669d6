"""State that is shared by the components of one placement pass."""

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
    """The state of one placement pass, and the decisions common to all job shapes."""

    def __init__(
        self,
        cluster: ClusterState,
        now: float,
        wall: float,
        min_last_heartbeat: float,
        objectives: Objectives,
        counted_resources: CountedResourcePass | None,
    ) -> None:
        """Start a pass; ``FirstFitPlacer`` documents the parameters."""
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
        """Priority rank of the current turn; None: the rank of the job."""

    def preemption_delay_is_over(self, job: Job) -> bool:
        """Return whether a job has waited long enough to preempt tasks for it."""
        return self.urgency.age_s(job) >= self.objectives.preemption_delay_s(job)

    def assign(self, job: Job, machine: Machine, attempt: int, count: int) -> None:
        """Assign a job's first ``count`` pending tasks to a machine and record the placement."""
        tasks = job.pending.first(count)
        for task in tasks:
            run = self.cluster.assign(job, task, attempt, machine, machine.agent_epoch)
            # A task placed ahead of more urgent jobs must not be preempted for them:
            # otherwise both would displace each other in every pass and neither would run.
            run.rank = job.rank if self.turn_rank is None else min(job.rank, self.turn_rank)
        self.preemption.record_placement(job, machine, len(tasks))
        self.spare_gpu_machine_capacity.record_placement(job, machine, len(tasks))
        self.result.placements.append(Placement(job, machine, attempt, tasks))

    def limit_by_counted_resources(self, job: Job) -> int:
        """Return how many pending tasks can get the counted resources that they need now.

        The other tasks wait for counted resources: no machine is rented for them, and
        only tasks that hold counted resources may be stopped for them.
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
        """Record that no task of a job found a machine although its counted resources are free."""
        if job.counted_needs and self.counted_resources is not None:
            self.counted_resources.no_machine_for(job)
