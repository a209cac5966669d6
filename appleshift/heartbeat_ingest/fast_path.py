"""Answers a heartbeat in which nothing changed on its connection's own thread.

Most heartbeats say what the last one said, and are answered without commands. Handing
each of them to the scheduler's thread and waiting for its reply costs two switches of
threads, more than all that is done about it. What such a heartbeat changes is when the
machine was last heard and until when its lease may run; both are left in an entry of its
machine, which the scheduler reads before it judges any silence or lease.

Why no lease is judged too early. A heartbeat's time is in the entry before its response
leaves. Judging the lease at some time, the scheduler has read the entry after that time:
a response that it did not see leaves later still, when the lease that it would prolong is
certainly over, and the worker, in its next agent epoch by then, drops it. An entry stays
for as long as its machine is known, so no late writer is missed.

Why nothing is told late. The scheduler forgets what it learned of a machine the moment
there is a command for it (``WorkerCommands.schedule_send``); a response that was under way
by then has no commands, and the command goes to the worker directly.
"""

from __future__ import annotations

from appleshift.protocol.workers import HEARTBEAT_TIMEOUT_S, HeartbeatHeader

ExpectedHeartbeat = tuple[int, int, bytes, bytes]
"""(agent epoch, fencing token, tasks as they were sent, response): a plain tuple, for it is
written and read with every heartbeat."""


class FastPathEntry:
    """What connections and the scheduler leave each other of one machine.

    The scheduler writes ``expected`` and ``last_processed``, connections ``last_answered``;
    each is one object, so that nobody reads half of it.
    """

    __slots__ = ("expected", "last_answered", "last_processed")

    def __init__(self) -> None:
        """Start without an expected heartbeat."""
        # None: the scheduler must process the next heartbeat.
        self.expected: ExpectedHeartbeat | None = None
        # (time, agent epoch, sequence number) of the last heartbeat that was answered here,
        # and whether it came so soon after the one before that the worker had the response
        # to that.
        self.last_answered: tuple[float, int, int, bool] = (0.0, 0, -1, False)
        # (time, agent epoch, sequence number) of the last one that the scheduler processed.
        # Without it a copy of an older heartbeat passed for a new one here.
        self.last_processed: tuple[float, int, int] = (0.0, 0, -1)


class FastPath:
    """The entries of all machines during one leader term of a shard."""

    def __init__(self) -> None:
        """Start without entries: the scheduler processes every machine's first heartbeat."""
        self.entries: dict[str, FastPathEntry] = {}

    def set_expected(
        self, machine: str, expected: ExpectedHeartbeat, at: float, seq: int
    ) -> FastPathEntry:
        """Record that heartbeats like this one need no more than this response.

        ``at`` and ``seq`` are the time and the number of the one that was processed.
        """
        entry = self.entries.get(machine)
        if entry is None:
            entry = self.entries[machine] = FastPathEntry()
        entry.last_processed = (at, expected[0], seq)
        entry.expected = expected
        return entry

    def response_to(self, heartbeat: HeartbeatHeader, now: float) -> bytes | None:
        """The response, if nothing changed; None: the scheduler must process the heartbeat.

        ``now`` was read before the caller made sure that it is entitled.
        """
        entry = self.entries.get(heartbeat.machine)
        expected = None if entry is None else entry.expected
        if entry is None or expected is None or heartbeat.reclaim_in_s is not None:
            return None
        agent_epoch, fencing_token, tasks, response = expected
        if heartbeat.agent_epoch != agent_epoch or heartbeat.fencing_token != fencing_token:
            return None
        number = (heartbeat.agent_epoch, heartbeat.seq)
        last = max(entry.last_processed[0], entry.last_answered[0])
        if (
            number <= max(entry.last_answered[1:3], entry.last_processed[1:])
            or bytes(heartbeat.tasks) != tasks
        ):
            return None
        entry.last_answered = (now, *number, now - last < HEARTBEAT_TIMEOUT_S)
        return response
