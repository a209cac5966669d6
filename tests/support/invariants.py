"""Checks the rules of PROTOCOL against the tasks on workers and the responses to users."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any


@dataclass
class ObservedJob:
    """One job as its user and the workers observe it.

    Its state was reported to the user as ``reported_state``, and its cancellation was confirmed at
    ``confirmed_at``. Times are in seconds on the clock of the test.
    """

    spec: dict[str, Any]
    accepted: bool = False
    accepted_at: float = 0.0
    tried_cancel: bool = False
    reported_state: str | None = None
    reported_at: float = 0.0
    cancelled_at: float | None = None
    confirmed_at: float | None = None
    unanswered_since: float | None = None
    submitted_at: float = 0.0
    started_at: float | None = None
    expected_rejection: int | None = None
    """HTTP status with which the nodes have to reject this invalid submission."""
    done: set[int] = field(default_factory=set)
    machines_by_task: dict[int, set[str]] = field(default_factory=dict)


class InvariantChecker:
    """Records each violation of an invariant; a run must end without any."""

    def __init__(self, cancel_s: float, teams: dict[str, tuple[float, float]]) -> None:
        self.cancel_s = cancel_s
        self.teams = teams
        self.jobs: dict[str, ObservedJob] = {}
        self.violations: list[str] = []
        self.team_usage: Counter[tuple[str, str]] = Counter()
        self.machines: dict[str, dict[str, Any]] = {}
        self.starts = 0
        # Time at which the last fault ended; None: faults are still possible.
        self.faults_ended_at: float | None = None
        self.max_end_after_cancel_s = 0.0
        """Longest time from the confirmation of a cancellation to the end of a task of the job."""
        self.renewals = 0
        self.starts_after_cancellation = 0
        """Starts of tasks whose job's cancellation had already been confirmed."""
        # Counted resources by name: total units, and units that tasks hold now.
        self.unit_totals: dict[str, int] = {}
        self.units_in_use: Counter[str] = Counter()

    def _record_violation(self, rule: str, now: float, details: str) -> None:
        self.violations.append(f"{rule} at {now:.3f}: {details}")

    # -- workers -------------------------------------------------------------

    def task_started(self, now: float, piece: str, machine: dict[str, Any]) -> None:
        """Record that a task has its image and occupies a machine."""
        job_id, number = piece.split("/")
        job, task, name = self.jobs[job_id], int(number), machine["name"]
        self.machines[name] = machine
        self.starts += 1
        others = job.machines_by_task.setdefault(task, set())
        if others - {name}:
            self._record_violation("ran_twice", now, f"{piece} on {name} and {sorted(others)}")
        self._check_placement(now, job, piece, task, machine)
        if job.cancelled_at is not None and now > job.cancelled_at + self.cancel_s:
            self._record_violation("ran_cancelled", now, f"{piece} starts on {name}")
        self.starts_after_cancellation += job.confirmed_at is not None
        if job.started_at is None:
            job.started_at = now
        others.add(name)
        spec = job.spec
        team = spec["owner"]
        self.team_usage[team, "cpus"] += spec["vcpus"]
        self.team_usage[team, "gpus"] += spec["cards"]
        for kind, limit in zip(("cpus", "gpus"), self.teams[team], strict=True):
            if limit > 0 and self.team_usage[team, kind] > limit + 1e-6:
                self._record_violation(
                    "quota", now, f"{team} uses {self.team_usage[team, kind]} {kind}"
                )
        for resource, count in (spec.get("seats") or {}).items():
            self.units_in_use[resource] += count
            limit = self.unit_totals.get(resource)
            if limit is not None and self.units_in_use[resource] > limit:
                self._record_violation(
                    "seats", now, f"{piece}: {self.units_in_use[resource]} {resource}"
                )

    def _check_placement(
        self, now: float, job: ObservedJob, piece: str, task: int, machine: dict[str, Any]
    ) -> None:
        spec = job.spec
        violated = (
            (spec["rig_kinds"] is not None and machine["type"] not in spec["rig_kinds"])
            or (spec["yard"] is not None and machine["zone"] != spec["yard"])
            or (machine["spot"] and not spec["loaners"])
        )
        zones = [
            self.machines[name]["zone"]
            for other, names in job.machines_by_task.items()
            if other != task
            for name in names
        ]
        if spec["together"] and any(zone != machine["zone"] for zone in zones):
            violated = True
        if spec["spread"] and zones.count(machine["zone"]) + 1 > (spec["pieces"] + 1) // 2:
            violated = True
        if violated:
            self._record_violation("wrong_place", now, f"{piece} on {machine['name']}")

    def task_ended(self, now: float, piece: str, name: str, done: bool) -> None:
        job_id, number = piece.split("/")
        job, task = self.jobs[job_id], int(number)
        if done:
            job.done.add(task)
            if job.spec["shape"] == "ensemble":
                job.done.update(range(job.spec["pieces"]))
        if name not in job.machines_by_task.get(task, set()):
            return
        if job.confirmed_at is not None:
            self.max_end_after_cancel_s = max(self.max_end_after_cancel_s, now - job.confirmed_at)
        job.machines_by_task[task].discard(name)
        team = job.spec["owner"]
        self.team_usage[team, "cpus"] -= job.spec["vcpus"]
        self.team_usage[team, "gpus"] -= job.spec["cards"]
        for resource, count in (job.spec.get("seats") or {}).items():
            self.units_in_use[resource] -= count

    def step(self, now: float) -> None:
        """Check that no cancelled job still runs after ``cancel_s``; called after each step."""
        for job_id, job in self.jobs.items():
            if job.cancelled_at is None or now <= job.cancelled_at + self.cancel_s:
                continue
            for task, names in job.machines_by_task.items():
                if names:
                    self._record_violation(
                        "ran_cancelled", now, f"{job_id}/{task} on {sorted(names)}"
                    )
                    job.cancelled_at = None
                    break

    def record_lease_renewal(
        self, now: float, sent: float, report: dict[str, Any], alive: set[tuple[str, int]]
    ) -> None:
        """Check a lease renewal: a worker accepted a response to the heartbeat sent at ``sent``.

        The node that renews the lease knows every cancellation that was confirmed before
        ``sent``. So no task of such a job that the heartbeat listed may be in ``alive`` after the
        response. A task therefore outlives the confirmation of its cancellation by at most the
        lease that was valid at the confirmation.
        """
        for entry in report["pieces"]:
            job = self.jobs[entry["piece"].split("/")[0]]
            if job.confirmed_at is None or sent <= job.confirmed_at:
                continue
            self.renewals += 1
            if (entry["piece"], entry["try"]) in alive:
                details = f"{entry['piece']} on {report['rig']}, confirmed {job.confirmed_at:.3f}"
                self._record_violation("renewed_unknowing", now, details)

    # -- users ------------------------------------------------------------------

    def record_poll(self, now: float, job_id: str, status: int) -> None:
        """Record the HTTP status of a poll of a job; 0: there was no response."""
        job = self.jobs[job_id]
        if status in (200, 404) or self.faults_ended_at is None or job.tried_cancel:
            job.unanswered_since = None
            return
        if job.unanswered_since is None:
            job.unanswered_since = now
        if now - job.unanswered_since > 75.0:
            self._record_violation("forgotten", now, f"{job_id}: no answer for 75 s")

    def record_response(
        self,
        now: float,
        sent: float,
        job_id: str,
        call: str,
        status: int,
        state: str | None,
        given: float | None = None,
    ) -> None:
        """Check a response to ``submit``, ``poll`` or ``cancel``.

        The response must be at least as new as any state reported to a user before ``given``,
        by default the time at which the request was sent.
        """
        given = sent if given is None else given
        job = self.jobs.get(job_id)
        if job is None:
            if status == 200:
                self._record_violation("invented", now, job_id)
            return
        if (
            job.accepted
            and given > job.accepted_at
            and (status == 404 or (call == "submit" and status in (400, 422)))
        ):
            self._record_violation("forgotten", now, f"{job_id}: {call} got {status}")
        if job.expected_rejection is not None:
            self._check_refusal(now, job_id, call, status, job.expected_rejection)
            return
        if status not in (200, 201):
            return
        if not job.accepted:
            job.accepted, job.accepted_at = True, now
        if state == "done" and len(job.done) < job.spec["pieces"]:
            self._record_violation(
                "not_done", now, f"{job_id}: {len(job.done)} of {job.spec['pieces']}"
            )
        if (
            job.reported_state in ("done", "aborted")
            and state != job.reported_state
            and given > job.reported_at
        ):
            self._record_violation(
                "went_back", now, f"{job_id} from {job.reported_state} to {state}"
            )
        if state == "aborted" and not job.tried_cancel:
            self._record_violation("went_back", now, f"{job_id} cancelled by nobody")
        if state == "aborted" and job.reported_state != "aborted":
            job.cancelled_at = job.confirmed_at = now
        if state in ("done", "aborted") and job.reported_state is None:
            job.reported_state, job.reported_at = state, now

    def _check_refusal(
        self, now: float, job_id: str, call: str, status: int, expected: int
    ) -> None:
        if status in (200, 201):
            self._record_violation("accepted_invalid", now, f"{job_id}: {call} got {status}")
        elif call == "submit" and status in (400, 422) and status != expected:
            self._record_violation(
                "wrong_refusal", now, f"{job_id}: {status} instead of {expected}"
            )

    # -- at the end ---------------------------------------------------------------

    def unserved_groups(self, now: float, begin_s: float) -> list[str]:
        """Return the groups of jobs that were starved.

        A group is a job class, a team, or the largest jobs of either. It is starved if less than
        half of its jobs have started, or if one of its largest jobs did not start within
        ``begin_s`` of its acceptance.
        """
        groups: dict[str, list[ObservedJob]] = {}
        uncancelled = [job for job in self.jobs.values() if job.accepted and not job.tried_cancel]
        for job in uncancelled:
            groups.setdefault(f"class {job.spec['workload']}", []).append(job)
            groups.setdefault(f"team {job.spec['owner']}", []).append(job)
        found = []
        for name, jobs in sorted(groups.items()):
            most_tasks = max(job.spec["pieces"] for job in jobs)
            largest = [job for job in jobs if job.spec["pieces"] == most_tasks]
            for group, members in ((name, jobs), (f"largest of {name}", largest)):
                begun = sum(1 for job in members if job.started_at is not None)
                if begun * 2 < len(members):
                    found.append(f"{group}: {begun} of {len(members)} begun")
            late = [job for job in largest if (job.started_at or now) - job.accepted_at > begin_s]
            if late:
                found.append(f"largest of {name}: {len(late)} begun late")
        return found
