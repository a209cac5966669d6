"""One shard on one node: its election and, while this node leads it, its scheduler."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

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
from appleshift.leader_election.dependencies import CandidacyConditions, ElectionDependencies
from appleshift.leader_election.election import LeaderElection
from appleshift.leader_election.leader_lease import LeaderLease
from appleshift.leader_election.leader_term import LeaderTerm
from appleshift.leader_election.log_committer import LogCommitter
from appleshift.leader_election.read_leases import ReadLeases
from appleshift.node_context import NodeContext
from appleshift.objectives.achieved_objectives import AchievedObjectives
from appleshift.placement.counted_resource_interfaces import CountedResources
from appleshift.protocol import users
from appleshift.protocol.workers import HeartbeatHeader
from appleshift.scheduler.scheduler import Scheduler
from appleshift.shard_event_handlers import handle_request, handle_term_event
from appleshift.storage.key_value_store import CompareFailedError
from appleshift.term_recovery import create_scheduler, recover_term

log = logging.getLogger(__name__)

DRAIN_TIMEOUT_S = 0.5
"""Longest time that a hand-over waits until accepted requests are durable."""
NOT_HELD_RETRY_AFTER_S = 1


class ShardReplica:
    """Belongs to the schedulers' thread, except ``election``, ``lease`` and ``committer``."""

    def __init__(
        self,
        context: NodeContext,
        shard: int = 0,
        extra_guards: Callable[[], tuple[tuple[str, int], ...] | None] = tuple,
        candidacy_delay_s: Callable[[], float] = float,
    ) -> None:
        """See ``CandidacyConditions`` for the callables; the first shard does not use them."""
        self.context = context
        self.shard = shard
        runtime, operator = context.runtime, context.operator
        self.lease = LeaderLease([*context.peer_clients], operator.pledge_s, runtime.now())
        self.read_leases = ReadLeases()
        self.election = LeaderElection(
            ElectionDependencies(
                node_name=context.settings.name,
                store=context.store,
                peer_clients=context.peer_clients,
                lease=self.lease,
                operator=operator,
                runtime=runtime,
                term_id_prefix=f"{context.process_id}.s{shard}" if shard else context.process_id,
                process_id=context.process_id,
                shard=shard,
            ),
            on_election_won=lambda term: context.post(events.ElectionWon(term)),
            on_leadership_lost=lambda: context.post(events.LeadershipLost(shard)),
            conditions=CandidacyConditions(
                extra_guards,
                # The leader assigns all shards but the first to nodes. The node sets the
                # delay for the first shard only after it has created this replica.
                candidacy_delay_s if shard else lambda: context.candidacy_delay_s(),
            ),
        )
        self.scheduler: Scheduler | None = None
        self.achieved_objectives: AchievedObjectives | None = None
        self.term: LeaderTerm | None = None
        self.committer = LogCommitter(
            context.store,
            context.post,
            lambda: self.term,
            runtime,
            f"commit-{shard}" if shard else "commit",
        )
        self._draining_since: float | None = None

    def start(self) -> None:
        """Start the threads of the election and of the log committer."""
        self.committer.start()
        self.election.start()

    def stop(self) -> None:
        """Give up leadership of the shard at once, and stop the threads."""
        self.election.stop()
        self.committer.stop()

    # -- events ---------------------------------------------------------------------

    def handle(self, event: events.Event) -> None:
        """Handle an event for this shard or for all shards."""
        match event:
            case events.HandOverRequested():
                self.start_hand_over()
            case events.ApiRequest():
                self._handle_request(event)
            case events.ElectionWon():
                self._begin_term(event.term)
            case events.LeadershipLost():
                self.end_term()
            case events.TermEvent():
                self._handle_term_event(event)

    def _handle_request(self, request: events.ApiRequest) -> None:
        scheduler = self.scheduler
        if scheduler is None:
            body = users.error_body("nobody holds this share yet")
            request.reply_to.put((503, body, NOT_HELD_RETRY_AFTER_S))
            return
        scheduler.now = self.context.runtime.now()
        handle_request(scheduler, request, self.context.runtime.wall_time)

    def _handle_term_event(self, event: events.TermEvent) -> None:
        scheduler = self.scheduler
        if event.term is not self.term or scheduler is None:
            # Events of earlier terms are ignored.
            return
        scheduler.now = self.context.runtime.now()
        if isinstance(event, events.Fenced):
            self.end_term()
            self.election.step_down()
        else:
            handle_term_event(scheduler, event)

    # -- rounds of the scheduler ----------------------------------------------------

    def has_pending_work(self) -> bool:
        """Return whether there is work for the next round even without an event."""
        return self.scheduler is not None and (
            self.scheduler.placement_needed or self.scheduler.write_ahead_log.backlog() > 0
        )

    def run_round(self) -> None:
        """Run a scheduler step, commit the records that it appended and execute its actions."""
        scheduler, runtime = self.scheduler, self.context.runtime
        if scheduler is None:
            return
        now = runtime.now()
        scheduler.step(now, runtime.wall_time())
        if self.achieved_objectives is not None:
            self.achieved_objectives.step(now, runtime.wall_time())
        if self.lease.may_write(now):
            transaction = scheduler.write_ahead_log.next_transaction(now)
            if transaction is not None:
                assert self.term is not None, "a scheduler without a term"
                self.committer.enqueue(transaction, self.term)
        if scheduler.counted_resources is not None and self.lease.may_answer(now):
            self._call_license_servers(scheduler.counted_resources, now)
        for action in scheduler.take_actions():
            self._execute(action)
        if scheduler.needs_new_term:
            self.start_hand_over()
        if self._draining_since is not None and (
            scheduler.write_ahead_log.is_idle() or now - self._draining_since > DRAIN_TIMEOUT_S
        ):
            self._draining_since = None
            self.election.hand_over()

    def start_hand_over(self) -> None:
        """Start a hand-over: accept no more requests, and wait for accepted ones to be durable."""
        if self.scheduler is not None and not self.scheduler.draining:
            log.info("handing over shard=%d", self.shard)
            self.scheduler.draining = True
            self._draining_since = self.context.runtime.now()

    def _entitlement_check(self, term: LeaderTerm | None) -> Callable[[], bool]:
        """Return a check to repeat right before an external call that has side effects."""
        return lambda: self.term is term and self.lease.may_answer(self.context.runtime.now())

    def _call_license_servers(self, resources: CountedResources, now: float) -> None:
        context = self.context
        for request in resources.reservation_requests(now):
            if context.license_server_calls is None:
                # Imported only by nodes that call a license server.
                from appleshift.counted_resources.license_calls import LicenseServerCalls

                context.license_server_calls = LicenseServerCalls(
                    context.post,
                    context.connect,
                    context.runtime,
                    lambda: self.lease.may_answer(context.runtime.now()),
                )
            context.license_server_calls.send(request, self.term)

    def _execute(self, action: Action) -> None:
        context, term = self.context, self.term
        match action:
            case Reply():
                action.reply_to.put((action.status, action.body, action.retry_after_s))
            case SendCommands():
                context.worker_calls.send_commands(action, term)
            case ProbeMachine():
                context.worker_calls.probe(action, term)
            case RentMachines():
                context.cloud_calls.rent(action, term, self._entitlement_check(term))
            case DeleteMachines():
                context.cloud_calls.delete(action, term, self._entitlement_check(term))
            case CallShard() if context.shard_map_follower is not None:
                context.shard_map_follower.call_shard(action, term)

    # -- terms ----------------------------------------------------------------------

    def _begin_term(self, term: LeaderTerm) -> None:
        """Recover the durable state and create the scheduler, which then answers requests."""
        began = self.context.runtime.now()
        self.read_leases.begin_term(began)
        try:
            recovered = recover_term(self.context, term, lambda: self._may_recover(term))
        except CompareFailedError as error:
            log.info("recovery fenced shard=%d failed_guards=%s", self.shard, error)
            self.election.step_down()
            return
        if recovered is None:
            return
        now = self.context.runtime.now()
        self._draining_since = None
        self.scheduler = create_scheduler(self.context, self.lease, term, recovered, now)
        self.achieved_objectives = AchievedObjectives(
            self.scheduler.cluster,
            self.scheduler.objectives,
            now,
            self.context.runtime.wall_time(),
        )
        self.term = term
        if not self.shard:
            self.election.relayed_fraction = self.election.recent_relayed_fraction()
            self.context.cloud_calls.set_term(term)
        cluster = recovered.replayer.cluster
        log.info(
            "term started shard=%d token=%d leader_version=%d log_entries=%d jobs=%d machines=%d"
            " recovery_ms=%.0f",
            self.shard,
            term.fencing_token,
            term.leader_key_version,
            recovered.recovered_log.next_entry,
            len(cluster.jobs),
            len(cluster.machines),
            (now - began) * 1000,
        )

    def _may_recover(self, term: LeaderTerm) -> bool:
        return (
            not self.context.stop.is_set()
            and self.lease.is_leader
            and self.lease.fencing_token == term.fencing_token
        )

    def end_term(self) -> None:
        """Discard the scheduler, and send its last replies to waiting requests."""
        scheduler = self.scheduler
        self.scheduler = self.achieved_objectives = None
        self.term = None
        self._draining_since = None
        if not self.shard:
            self.election.relayed_fraction = 0.0
            self.context.cloud_calls.set_term(None)
        if scheduler is not None:
            scheduler.end_term()
            for action in scheduler.take_actions():
                if isinstance(action, Reply):
                    self._execute(action)

    # -- called by the threads of connections ---------------------------------------

    def unchanged_response(self, heartbeat: HeartbeatHeader, now: float) -> bytes | None:
        """Return the response to a heartbeat that reports no change.

        None if the scheduler must process the heartbeat, or this node may not answer it.
        """
        scheduler = self.scheduler
        if scheduler is None or not self.lease.may_answer(now):
            return None
        return scheduler.fast_path.response_to(heartbeat, now)

    def has_machine(self, machine: str) -> bool:
        """Return whether a machine is in this shard, even if its name maps to another one.

        Reads the scheduler's state from other threads: a wrong result only causes a delay.
        """
        scheduler = self.scheduler
        found = None if scheduler is None else scheduler.cluster.machine(machine)
        return found is not None and not found.in_other_shard

    def last_reported_state(self, job_id: str) -> str | None:
        """Return a job's final state, or PENDING if it has not ended; None if it is unknown."""
        scheduler = self.scheduler
        return None if scheduler is None else scheduler.job_requests.last_reported_state(job_id)

    def memory_view(self) -> dict[str, float] | None:
        """Return what the state takes in memory, for operators; None unless led here."""
        scheduler = self.scheduler
        return None if scheduler is None else scheduler.memory_budget.view()

    def view(self) -> dict[str, Any]:
        """Return the shard's state for operators, as a dict for the API's response."""
        scheduler = self.scheduler
        if scheduler is None:
            return {"held_here": False}
        machines = list(scheduler.cluster.machines.values())
        machine_count = sum(1 for machine in machines if not machine.in_other_shard)
        view = {"held_here": True, "jobs": len(scheduler.cluster.jobs), "machines": machine_count}
        return view if scheduler.sharding is None else {**view, **scheduler.sharding.view()}
