"""First-fit placement of pending tasks on machines.

Placement only decides. The scheduler makes each decision durable in the write-ahead log
before it sends a command to a worker.
"""

from __future__ import annotations

from appleshift.objectives.objectives import Objectives
from appleshift.placement.counted_resource_interfaces import CountedResourcePass
from appleshift.placement.fair_share import PlacementTurn, placement_turns
from appleshift.placement.gang_placement import GangPlacer
from appleshift.placement.placement_pass import PlacementPass
from appleshift.placement.result import PlacementResult, Shortage
from appleshift.placement.task_placement import TaskPlacer
from appleshift.state.cluster_state import ClusterState

LIMITED_TURN_RETRY_S = 1.0
"""Time after which tasks that a share of the CPUs kept from their turn are tried again."""


class FirstFitPlacer:
    """Runs one placement pass over the state of the cluster."""

    def __init__(
        self,
        cluster: ClusterState,
        now: float,
        wall: float,
        min_last_heartbeat: float,
        objectives: Objectives | None = None,
        counted_resources: CountedResourcePass | None = None,
    ) -> None:
        """Prepare a pass at monotonic time ``now`` and wall time ``wall``, in seconds.

        Only machines with a heartbeat at monotonic time ``min_last_heartbeat`` or later get
        tasks. ``counted_resources`` is None if none are defined.
        """
        self.placement_pass = PlacementPass(
            cluster, now, wall, min_last_heartbeat, objectives or Objectives(), counted_resources
        )
        self._tasks = TaskPlacer(self.placement_pass)
        self._gangs = GangPlacer(self.placement_pass)

    def run(self, preempt: bool) -> PlacementResult:
        """Place the pending tasks that fit, in order of urgency.

        With ``preempt``, also chooses tasks to stop so that others fit later. Tasks whose
        counted resource was lowered are stopped in any case. May be called only once.
        """
        placement_pass = self.placement_pass
        placement_pass.preempt = preempt
        if placement_pass.counted_resources is not None:
            placement_pass.result.preempted += placement_pass.counted_resources.runs_to_stop()
        order = placement_pass.urgency.pending_jobs()
        for turn in placement_turns(
            order,
            placement_pass.cluster,
            placement_pass.machines.pools,
            placement_pass.objectives,
            placement_pass.now,
            placement_pass.wall,
        ):
            self._place(turn)
        if placement_pass.counted_resources is not None:
            placement_pass.counted_resources.close()
        self._retry_at(placement_pass.urgency.next_backoff_end)
        return placement_pass.result

    def _retry_at(self, time: float) -> None:
        """Ask for a pass at a monotonic time, or earlier."""
        result = self.placement_pass.result
        result.next_pass_at = min(result.next_pass_at, time)

    def _place(self, turn: PlacementTurn) -> None:
        placement_pass = self.placement_pass
        job = turn.job
        placement_pass.turn_rank = turn.rank
        missing = 0
        if turn.max_tasks != 0:
            missing = self._gangs.place(job) if job.gang else self._tasks.place(job, turn.max_tasks)
        if turn.max_tasks is not None and job.pending:
            # The share that limits the turn changes as time passes.
            self._retry_at(placement_pass.now + LIMITED_TURN_RETRY_S)
        if missing and turn.max_tasks is None:
            placement_pass.result.shortages.append(Shortage(job, missing))
            if placement_pass.preempt and placement_pass.preemption_delay_is_over(job):
                placement_pass.result.preempted += placement_pass.preemption.victims(job, missing)
