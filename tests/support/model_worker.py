"""A worker for models that drive schedulers directly: it executes commands at once."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from appleshift.protocol.workers import Heartbeat, TaskStatus

ENDED = ("exited",)


@dataclass
class ModelWorker:
    """A worker that follows the worker protocol, without images.

    ``tasks`` has state and exit reason by task name and attempt.
    """

    name: str
    zone: str
    lease_renewed_at: float
    agent_epoch: int = 1
    seq: int = 0
    token: int = 0
    tasks: dict[tuple[str, int], list[str]] = field(default_factory=dict)
    dead: bool = False
    paused: bool = False
    powered_off: bool = False
    """Without power: its tasks have ended, and no other process is informed."""

    def report(self) -> Heartbeat:
        self.seq += 1
        tasks = [
            TaskStatus(task_name, attempt, state, reason or None)
            for (task_name, attempt), (state, reason) in self.tasks.items()
        ]
        addr = f"10.1.0.{self.name[1:]}:9000"
        return Heartbeat(
            self.name,
            addr,
            "large",
            self.zone,
            False,
            self.agent_epoch,
            self.seq,
            self.token,
            tasks,
        )

    def execute(self, token: int, commands: list[dict[str, Any]], saves: set[str]) -> None:
        self.token = token
        for command in commands:
            key = (command["piece"], command["try"])
            task = self.tasks.get(key)
            if command["verb"] == "run" and task is None:
                is_running = any(
                    p == key[0] and t[0] not in ENDED for (p, _), t in self.tasks.items()
                )
                self.tasks[key] = ["exited", "in_use"] if is_running else ["running", ""]
            elif command["verb"] == "clear" and task is not None and task[0] in ENDED:
                del self.tasks[key]
            elif command["verb"] == "kill" and task is not None and task[0] not in ENDED:
                if task[0] == "running" and key[0] in saves and command["wind_down_s"] >= 1.0:
                    self.tasks[key] = ["saving", ""]
                elif task[0] != "saving" or command["wind_down_s"] <= 0:
                    self.tasks[key] = ["exited", "stopped"]

    def live_tasks(self) -> list[tuple[str, int]]:
        """Return task names and attempts of the tasks that have not ended."""
        return [key for key, task in self.tasks.items() if task[0] not in ENDED]
