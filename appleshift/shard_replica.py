"""One share at one node: whether it holds it, and the core while it does."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Protocol

from appleshift.contracts import events
from appleshift.contracts.actions import (
    Action,
    CallShard,
    DeleteMachines,
    ProbeMachine,
    RentMachines,
    Reply,
    SendCommands,
)
from appleshift.contracts.interfaces import ShardingView
from appleshift.dispatch.outbound_calls import CloudCalls, WorkerCalls
from appleshift.leader_election.election import LeaderElection, LeaderTerm
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.leader_election.log_committer import LogCommitter
from appleshift.objectives.achieved import AchievedObjectives
from appleshift.placement.counted_resources import CountedResources
from appleshift.protocol import users
from appleshift.protocol.operator import OperatorSettings
from appleshift.protocol.settings import Settings
from appleshift.protocol.wire import ProtocolError
from appleshift.protocol.workers import HeartbeatHeader
from appleshift.scheduler.dependencies import SchedulerDependencies
from appleshift.scheduler.scheduler import Scheduler
from appleshift.state.cluster_state import ClusterState
from appleshift.storage.key_value_store import (
    CompareFailedError,
    KeyValueStore,
    StoreError,
    recover,
)
from appleshift.storage.records import LogReplayer, RecordFollower
from appleshift.storage.write_ahead_log import WriteAheadLog, shard_prefix
from appleshift.transport.client import ClientError, HttpCaller
from appleshift.transport.concurrency import Runtime

if TYPE_CHECKING:
    from appleshift.counted_resources.license_calls import LicenseServerCalls

log = logging.getLogger(__name__)

DRAIN_S = 0.5
"""So long may what was accepted take to become durable before a share is left."""


class ShardCoordination(Protocol):
    """The map of shares, and calls between their holders; see ``appleshift.sharding``."""

    def sharding_for(self, term: LeaderTerm, replayer: LogReplayer) -> ShardingView | None:
        """What a share's new core has to do with the others; None with one share.

        Raises StoreError, ClientError or ProtocolError to be asked again, and
        TxnFailedError if the term is over.
        """
        ...

    def call_shard(self, action: CallShard, term: Any) -> None: ...


@dataclass
class NodeContext:
    """What all shares of a node have in common."""

    settings: Settings
    operator: OperatorSettings
    runtime: Runtime
    store: KeyValueStore
    peer_clients: dict[str, HttpCaller]
    connect: Callable[[tuple[str, int]], HttpCaller]
    post: Callable[[events.Event], None]
    process_id: str
    workers: WorkerCalls
    cloud: CloudCalls
    stop: Any
    shard_map_follower: ShardCoordination | None = None
    """The map of shares, once there is one or one is wanted."""
    candidacy_delay_s: Callable[[], float] = float
    """For how long this node leaves free keys to others that reach more."""
    license_servers: LicenseServerCalls | None = None
    """Made when the first licence server is to be asked."""


class ShardReplica:
    """Owned by the core's routine, but for ``election``, ``leadership`` and ``committer``."""

    def __init__(
        self,
        context: NodeContext,
        share: int = 0,
        guards: Callable[[], tuple[tuple[str, int], ...] | None] = tuple,
        hold_back: Callable[[], float] = float,
    ) -> None:
        self.context = context
        self.shard = share
        runtime, operator = context.runtime, context.operator
        self.lease = LeaderLease([*context.peer_clients], operator.pledge_s, runtime.now())
        self.election = LeaderElection(
            context.settings.name,
            context.store,
            context.peer_clients,
            self.lease,
            operator,
            on_won=lambda term: context.post(events.ElectionWon(term)),
            on_lost=lambda: context.post(events.LeadershipLost(share)),
            process_mark=context.process_id if not share else f"{context.process_id}.s{share}",
            runtime=runtime,
            shard=share,
            extra_guards=guards,
            # Who holds further shares is the leader's to say.
            candidacy_delay_s=hold_back if share else lambda: context.candidacy_delay_s(),
            process_id=context.process_id,
        )
        self.scheduler: Scheduler | None = None
        self.achieved_objectives: AchievedObjectives | None = None
        self.term: LeaderTerm | None = None
        self.committer = LogCommitter(
            context.store,
            context.post,
            lambda: self.term,
            runtime,
            f"commit-{share}" if share else "commit",
        )
        self._draining_since: float | None = None

    def start(self) -> None:
        self.committer.start()
        self.election.start()

    def stop(self) -> None:
        self.election.stop()
        self.committer.stop()

    # -- events ---------------------------------------------------------------------

    def handle(self, event: events.Event) -> None:
        if isinstance(event, events.HandOverRequested):
            self.hand_over()
        elif isinstance(event, events.ApiRequest):
            self._handle_request(event)
        elif isinstance(event, events.ElectionWon):
            self._begin_term(event.term)
        elif isinstance(event, events.LeadershipLost):
            self.end_term()
        elif event.term is self.term and self.scheduler is not None:
            # What comes from an earlier term is void.
            self._handle_term_event(self.scheduler, event)

    def _handle_request(self, event: events.ApiRequest) -> None:
        scheduler = self.scheduler
        if scheduler is None:
            event.reply_to.put((503, users.error_body("nobody holds this share yet"), 1))
            return
        scheduler.now = self.context.runtime.now()
        if isinstance(event, events.HeartbeatReceived):
            scheduler.heartbeat_received(event.heartbeat, event.reply_to, event.tasks)
        elif isinstance(event, events.SubmitJob):
            wall = self.context.runtime.wall_time()
            scheduler.job_requests.submit(event.spec, event.reply_to, wall, event.forwarded_by_home)
        elif isinstance(event, events.GetJobStatus):
            scheduler.job_requests.status(
                event.job_id, event.reply_to, event.forwarded_by_home, event.shard_map_version
            )
        elif isinstance(event, events.CancelJob):
            scheduler.job_requests.cancel(
                event.job_id, event.reply_to, event.forwarded_by_home, event.shard_map_version
            )
        elif isinstance(event, events.GetCountedResources):
            scheduler.reply(
                event.reply_to,
                *_counted_resources_reply(scheduler.counted_resources, event.after, scheduler.now),
            )
        elif isinstance(event, events.ShardRequestReceived) and scheduler.sharding is not None:
            scheduler.sharding.request_received(event.message, event.reply_to)
        else:
            scheduler.reply_unavailable(event.reply_to)

    def _handle_term_event(self, scheduler: Scheduler, event: events.TermEvent) -> None:
        scheduler.now = self.context.runtime.now()
        if isinstance(event, events.CommitSucceeded):
            scheduler.commit_succeeded(event.revision)
        elif isinstance(event, events.CommandsSent):
            scheduler.commands.commands_sent(
                event.machine, event.agent_epoch, event.starts, event.outcome, event.heartbeat
            )
        elif isinstance(event, events.ProbeAnswered):
            scheduler.probe_answered(event.machine, event.heartbeat)
        elif isinstance(event, events.CommitStalled):
            scheduler.commit_stalled()
        elif isinstance(event, events.Fenced):
            self.end_term()
            self.election.step_down()
        elif isinstance(event, events.MachineTypesListed):
            scheduler.fleet.set_machine_types(event.types)
        elif isinstance(event, events.MachinesListed):
            scheduler.fleet.machines_listed(event.machines, event.complete)
        elif isinstance(event, events.RentalAnswered):
            scheduler.fleet.rental_answered(event.request, event.machines, event.refused)
        elif isinstance(event, events.DeletionAnswered):
            scheduler.deletion_answered(event.machines, event.ok)
        elif isinstance(event, events.ShardReplyReceived) and scheduler.sharding is not None:
            scheduler.sharding.reply_received(event.target_shard, event.reply)
        elif (
            isinstance(event, events.LicenseServerAnswered)
            and scheduler.counted_resources is not None
        ):
            told = scheduler.counted_resources.license_server_answered(
                event.resource, event.serial, event.reply, scheduler.now
            )
            scheduler.placement_needed = told or scheduler.placement_needed

    # -- what it decides ------------------------------------------------------------

    def is_busy(self) -> bool:
        return self.scheduler is not None and (
            self.scheduler.placement_needed or self.scheduler.write_ahead_log.backlog() > 0
        )

    def run_round(self) -> None:
        scheduler, runtime = self.scheduler, self.context.runtime
        if scheduler is None:
            return
        now = runtime.now()
        scheduler.step(now, runtime.wall_time())
        if self.achieved_objectives is not None:
            self.achieved_objectives.step(now, runtime.wall_time())
        if self.lease.may_write(now):
            txn = scheduler.write_ahead_log.next_transaction(now)
            if txn is not None:
                self.committer.send(txn, self.term)
        if scheduler.counted_resources is not None and self.lease.may_answer(now):
            self._call_license_servers(scheduler.counted_resources, now)
        for action in scheduler.take_actions():
            self._execute(scheduler, action)
        if self._draining_since is not None and (
            scheduler.write_ahead_log.is_idle() or now - self._draining_since > DRAIN_S
        ):
            self._draining_since = None
            self.election.hand_over()

    def hand_over(self) -> None:
        """Leave the share in order: what was accepted becomes durable, nothing new is."""
        if self.scheduler is not None and not self.scheduler.draining:
            log.info("handing over share %d", self.shard)
            self.scheduler.draining = True
            self._draining_since = self.context.runtime.now()

    def _is_entitled(self, term: LeaderTerm | None) -> Callable[[], bool]:
        """Asked again right before something changes outside."""
        return lambda: self.term is term and self.lease.may_answer(self.context.runtime.now())

    def _call_license_servers(self, seats: CountedResources, now: float) -> None:
        context = self.context
        for ask in seats.reservation_requests(now):
            if context.license_servers is None:
                from appleshift.counted_resources.license_calls import LicenseServerCalls

                context.license_servers = LicenseServerCalls(
                    context.post,
                    context.connect,
                    context.runtime,
                    lambda: self.lease.may_answer(context.runtime.now()),
                )
            context.license_servers.send(ask, self.term)

    def _execute(self, scheduler: Scheduler, action: Action) -> None:
        context, term = self.context, self.term
        if isinstance(action, Reply):
            action.reply_to.put((action.status, action.body, action.retry_after))
        elif isinstance(action, SendCommands):
            context.workers.send_commands(action, term)
        elif isinstance(action, ProbeMachine):
            context.workers.probe(action, term)
        elif isinstance(action, RentMachines):
            context.cloud.rent(action, term, self._is_entitled(term))
        elif isinstance(action, DeleteMachines):
            context.cloud.delete(action, term, self._is_entitled(term))
        elif isinstance(action, CallShard) and context.shard_map_follower is not None:
            context.shard_map_follower.call_shard(action, term)

    # -- terms --------------------------------------------------------------------------

    def _begin_term(self, term: LeaderTerm) -> None:
        """Recover what is durable; only then does anyone get an answer."""
        context = self.context
        deployment = context.settings.deployment
        began = context.runtime.now()
        prefix = shard_prefix(self.shard)
        while True:
            if context.stop.is_set() or not self.lease.is_leader:
                return
            if self.lease.fencing_token != term.fencing_token:
                return
            replayer = LogReplayer(
                ClusterState(deployment.zones, deployment.teams), _make_audit_log
            )
            try:
                recovered = recover(context.store, replayer, prefix)
                sharing = None
                if context.shard_map_follower is not None:
                    sharing = context.shard_map_follower.sharding_for(term, replayer)
                break
            except CompareFailedError as error:
                log.info("deposed in recovery: guards failed on %s", error)
                self.election.step_down()
                return
            except (StoreError, ClientError, ProtocolError) as error:
                log.info("recovery: %s", error)
                context.stop.wait(0.2)
        now = context.runtime.now()
        limits = deployment.state
        parts = 1 if sharing is None else sharing.shard_count
        write_ahead_log = WriteAheadLog(
            leader_key=self.election.key,
            leader_version=term.key_version,
            term_id=term.term_id,
            write_rps=max(1.0, limits.write_rps * context.operator.write_share / parts),
            value_bytes=int(limits.value_kb * 1024),
            max_transaction_ops=limits.txn_ops,
            header=recovered.header,
            header_version=recovered.header_version,
            next_entry=recovered.next_entry,
            log_bytes=recovered.log_bytes,
            now=now,
            prefix=prefix,
            extra_guards=term.extra_guards,
        )
        write_ahead_log.remove_keys(recovered.orphaned_keys)
        self._draining_since = None
        self.scheduler = Scheduler(
            SchedulerDependencies(
                settings=context.settings,
                operator=context.operator,
                lease=self.lease,
                fencing_token=term.fencing_token,
                replayer=replayer,
                write_ahead_log=write_ahead_log,
                clock=context.runtime.now,
                wall_time=context.runtime.wall_time(),
                counted_resources=self._counted_resources(replayer, write_ahead_log, term),
                sharding=sharing,
            )
        )
        self.achieved_objectives = AchievedObjectives(
            self.scheduler.cluster, self.scheduler.objectives, now, context.runtime.wall_time()
        )
        self.term = term
        if not self.shard:
            self.election.relayed_fraction = self.election.recent_relayed_fraction()
            context.cloud.set_term(term)
        log.info(
            "leading%s with token %d: %d jobs, %d machines, recovered in %.0f ms",
            f" share {self.shard}" if self.shard else "",
            term.fencing_token,
            len(replayer.cluster.jobs),
            len(replayer.cluster.machines),
            (now - began) * 1000,
        )

    def _counted_resources(
        self, replayer: LogReplayer, write_ahead_log: WriteAheadLog, term: LeaderTerm
    ) -> CountedResources | None:
        """Counted resources, if there are any: in a file of ours or in the log.

        All of them are counted in the first share, which decides for the jobs
        that ask for any.
        """
        if self.shard or (not self.context.operator.seats and not replayer.counted_resources):
            return None
        from appleshift.counted_resources.scheduler_part import build

        return build(
            self.context.operator,
            replayer,
            write_ahead_log,
            term.fencing_token,
            self.context.runtime.wall_time(),
        )

    def end_term(self) -> None:
        scheduler = self.scheduler
        self.scheduler = self.achieved_objectives = None
        self.term = None
        self._draining_since = None
        if not self.shard:
            self.election.relayed_fraction = 0.0
            self.context.cloud.set_term(None)
        if scheduler is not None:
            scheduler.end_term()
            for action in scheduler.take_actions():
                if isinstance(action, Reply):
                    action.reply_to.put((action.status, action.body, action.retry_after))

    def unchanged_response(self, heartbeat: HeartbeatHeader, now: float) -> bytes | None:
        """The answer to a report that says nothing new; asked by connections' routines."""
        scheduler = self.scheduler
        if scheduler is None or not self.lease.may_answer(now):
            return None
        return scheduler.fast_path.response_to(heartbeat, now)

    def has_machine(self, machine: str) -> bool:
        """Is this the share that a machine is in, whatever its name says? Asked by the
        routines of connections: a wrong answer costs a moment."""
        scheduler = self.scheduler
        found = None if scheduler is None else scheduler.cluster.machine(machine)
        return found is not None and not found.in_other_shard

    def last_reported_state(self, job_id: str) -> str | None:
        """What users have been told of a job at least, as far as this node knows."""
        scheduler = self.scheduler
        return None if scheduler is None else scheduler.job_requests.last_reported_state(job_id)

    def view(self) -> dict[str, Any]:
        scheduler = self.scheduler
        if scheduler is None:
            return {"held_here": False}
        own = sum(
            1 for machine in list(scheduler.cluster.machines.values()) if not machine.in_other_shard
        )
        found = {"held_here": True, "jobs": len(scheduler.cluster.jobs), "machines": own}
        return found if scheduler.sharding is None else {**found, **scheduler.sharding.view()}


def _make_audit_log(written: int) -> RecordFollower:
    """The log speaks of counted resources: their audit is followed from there."""
    from appleshift.counted_resources.audit_log import AuditLog as Audit

    return Audit(written)


def _counted_resources_reply(
    seats: CountedResources | None, after: int | None, now: float
) -> tuple[int, dict[str, Any]]:
    """Counted resources as operators see them; with a number, the audit after it."""
    if seats is None:
        return 404, users.error_body("no counted resources are defined")
    return 200, seats.view(now) if after is None else seats.history(after)
