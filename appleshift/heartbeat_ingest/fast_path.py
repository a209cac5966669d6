"""Answers a report in which nothing changed on its connection's own routine.

Most reports say what the last one said, and are told nothing. Handing each of them
to the core's routine and waiting for its answer costs two switches of routines, more
than all that is done about it. What such a report changes is when the machine was
heard and until when its lease may run; both are left in a cell of its machine, which
the core looks into before it judges any silence or lease.

Why no lease is judged too early. A report's time is in the cell before its answer
leaves. Judging the lease at some time, the core has read the cell after that time: an
answer that it did not see leaves later still, when the lease that it would prolong is
certainly over, and the worker, in its next session by then, drops it. A cell stays for
as long as its machine is known, so no late writer is missed.

Why nothing is told late. The core forgets what it learned of a machine the moment
there is something to tell it (``Orders.due``); an answer that was under way by then
says nothing, and the order goes to the worker directly.
"""

from __future__ import annotations

from appleshift.protocol.workers import HEARTBEAT_TIMEOUT_S, HeartbeatHeader


class FastPathEntry:
    """Of one machine. The core writes ``known`` and ``before``, connections ``heard``; each
    is one object, so that nobody reads half of it."""

    __slots__ = ("expected", "last_answered", "last_processed")

    def __init__(self) -> None:
        # (session, token, tasks as they were sent, answer); None: the core must see it.
        self.expected: tuple[int, int, bytes, bytes] | None = None
        # (time, session, number) of the last report that was answered here, and whether it
        # came so soon after the one before that the worker had the answer to that.
        self.last_answered: tuple[float, int, int, bool] = (0.0, 0, -1, False)
        # (time, session, number) of the last one that the core saw. Without it a copy of an
        # older report passed for a new one here.
        self.last_processed: tuple[float, int, int] = (0.0, 0, -1)


class FastPath:
    """Of one term of a share."""

    def __init__(self) -> None:
        self.entries: dict[str, FastPathEntry] = {}

    def remember(
        self, machine: str, known: tuple[int, int, bytes, bytes], at: float, seq: int
    ) -> FastPathEntry:
        """A report like this one, of that time and number, needs no more than this answer."""
        cell = self.entries.get(machine)
        if cell is None:
            cell = self.entries[machine] = FastPathEntry()
        cell.last_processed = (at, known[0], seq)
        cell.expected = known
        return cell

    def response_to(self, heartbeat: HeartbeatHeader, now: float) -> bytes | None:
        """The answer, if the report says nothing new; None: the core must see it.

        ``now`` was read before the caller made sure that it is entitled.
        """
        cell = self.entries.get(heartbeat.machine)
        known = None if cell is None else cell.expected
        if cell is None or known is None or heartbeat.reclaim_in_s is not None:
            return None
        agent_epoch, token, tasks, answer = known
        if heartbeat.agent_epoch != agent_epoch or heartbeat.fencing_token != token:
            return None
        number = (heartbeat.agent_epoch, heartbeat.seq)
        last = max(cell.last_processed[0], cell.last_answered[0])
        if (
            number <= max(cell.last_answered[1:3], cell.last_processed[1:])
            or bytes(heartbeat.tasks) != tasks
        ):
            return None
        cell.last_answered = (now, *number, now - last < HEARTBEAT_TIMEOUT_S)
        return answer
