"""The resources that a team uses, and its limits."""

from __future__ import annotations

from dataclasses import dataclass

from appleshift.protocol.settings import TeamLimits
from appleshift.state.resources import EPSILON


@dataclass(slots=True)
class Team:
    """A team's limits, and the CPUs and GPUs of its tasks that may be on machines."""

    limits: TeamLimits
    cpus: float = 0.0
    gpus: float = 0.0

    def within_limits(self, cpus: float, gpus: float) -> bool:
        """Return whether the team may use this much more now; a limit of 0 means unlimited."""
        limits = self.limits
        cpus_ok = limits.cpus_max <= 0 or self.cpus + cpus <= limits.cpus_max + EPSILON
        gpus_ok = limits.gpus_max <= 0 or self.gpus + gpus <= limits.gpus_max + EPSILON
        return cpus_ok and gpus_ok

    def can_ever_fit(self, cpus: float, gpus: float) -> bool:
        """Return whether the team's limits allow this much while the team uses nothing else."""
        limits = self.limits
        return not (
            (limits.cpus_max > 0 and cpus > limits.cpus_max + EPSILON)
            or (limits.gpus_max > 0 and gpus > limits.gpus_max + EPSILON)
        )
