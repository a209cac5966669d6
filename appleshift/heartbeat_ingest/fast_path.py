"""Answers heartbeats that report no change on the connection's thread.

Most heartbeats repeat the previous one and are answered without commands. Passing each of
them to the scheduler's thread and waiting for the reply costs two thread switches, more than
processing the heartbeat. A heartbeat without changes only updates the time of the machine's
last heartbeat and the end of its worker lease. The connection records both in the machine's
entry, and the scheduler reads the entry before it checks a heartbeat timeout or a lease.

Why no lease is treated as expired too early: a heartbeat's time is written to the entry
before its response is sent. The scheduler reads the entry after the time for which it checks
the lease. A response whose entry it did not read is therefore sent after that time, when the
lease that the response would renew has expired. The worker has then begun its next agent
epoch and drops the response. An entry is kept as long as the machine is in the cluster
state, so that no late write is lost.

Why no command is delayed: the scheduler clears the machine's expected heartbeat as soon as
there is a command for the machine (``WorkerCommands.schedule_send``). A response that is
already being sent then contains no commands, and the command is sent to the worker directly.
"""

from __future__ import annotations

from appleshift.protocol.workers import HEARTBEAT_TIMEOUT_S, HeartbeatHeader

ExpectedHeartbeat = tuple[int, int, bytes, bytes]
"""(agent epoch, fencing token, encoded tasks, encoded response). A plain tuple, because it is
read with every heartbeat and written with each one that the scheduler processes."""


class FastPathEntry:
    """A machine's fast-path state, shared by the scheduler and the connections' threads.

    The scheduler writes ``expected`` and ``last_processed``, connections write
    ``last_answered``. Each attribute is replaced as one object, so that no thread reads a
    partly written value.
    """

    __slots__ = ("expected", "last_answered", "last_processed")

    def __init__(self) -> None:
        """Create an entry without an expected heartbeat."""
        # None: the scheduler must process the next heartbeat.
        self.expected: ExpectedHeartbeat | None = None
        # (time, agent epoch, sequence number) of the last heartbeat answered on the fast path,
        # and whether it arrived within the heartbeat timeout after the previous heartbeat, so
        # that the worker must have received the previous response.
        self.last_answered: tuple[float, int, int, bool] = (0.0, 0, -1, False)
        # (time, agent epoch, sequence number) of the last heartbeat that the scheduler
        # processed. Without it the fast path accepted a copy of an older heartbeat as new.
        self.last_processed: tuple[float, int, int] = (0.0, 0, -1)


class FastPath:
    """The fast-path entries of a shard's machines, by machine name, during one leader term."""

    def __init__(self) -> None:
        """Create it without entries: the scheduler processes each machine's first heartbeat."""
        self.entries: dict[str, FastPathEntry] = {}

    def set_expected(
        self, machine: str, expected: ExpectedHeartbeat, at: float, seq: int
    ) -> FastPathEntry:
        """Store the heartbeat that the fast path answers for a machine; returns its entry.

        ``at`` and ``seq`` are the time and the sequence number of the heartbeat that the
        scheduler just processed.
        """
        entry = self.entries.get(machine)
        if entry is None:
            entry = self.entries[machine] = FastPathEntry()
        entry.last_processed = (at, expected[0], seq)
        entry.expected = expected
        return entry

    def response_to(self, heartbeat: HeartbeatHeader, now: float) -> bytes | None:
        """The encoded response to a heartbeat that reports no change.

        None if the scheduler must process the heartbeat. The caller must read ``now`` before
        it checks that its leader lease is valid.
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
