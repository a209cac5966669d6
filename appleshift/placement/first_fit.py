"""First-fit placement: which pending tasks go to which machines.

Only decides; the scheduler logs each decision durably before any worker learns of it.
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


class FirstFitPlacer:
    """One placement pass over the cluster's state."""

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

        Only machines whose last heartbeat is not before ``min_last_heartbeat`` (monotonic) get
        tasks. ``counted_resources`` is None where none are defined.
        """
        self.placement_pass = PlacementPass(
            cluster, now, wall, min_last_heartbeat, objectives or Objectives(), counted_resources
        )
        self._tasks = TaskPlacer(self.placement_pass)
        self._gangs = GangPlacer(self.placement_pass)

    def run(self, preempt: bool) -> PlacementResult:
        """Place what fits; with ``preempt``, choose victims for what does not.

        May be called once.
        """
        shared = self.placement_pass
        shared.preempt = preempt
        if shared.counted_resources is not None:
            shared.result.preempted += shared.counted_resources.runs_to_stop()
        order = shared.urgency.pending_jobs()
        for turn in placement_turns(
            order,
            shared.cluster,
            shared.machines.pools,
            shared.objectives,
            shared.now,
            shared.wall,
        ):
            self._place(turn)
        if shared.counted_resources is not None:
            shared.counted_resources.close()
        return shared.result

    def _place(self, turn: PlacementTurn) -> None:
        shared = self.placement_pass
        job = turn.job
        shared.turn_rank = turn.rank
        missing = self._gangs.place(job) if job.gang else self._tasks.place(job, turn.max_tasks)
        if missing and turn.max_tasks is None:
            shared.result.shortages.append(Shortage(job, missing))
            if shared.preempt and shared.preemption_delay_is_over(job):
                shared.result.preempted += shared.preemption.victims(job, missing)
