"""Starts a term: reads a shard's durable state and creates its scheduler from it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from appleshift.contracts.interfaces import LeaderLeaseView, ShardingView
from appleshift.leader_election.leader_term import LeaderTerm, leader_key
from appleshift.node_context import NodeContext
from appleshift.placement.counted_resource_interfaces import CountedResources
from appleshift.protocol.wire import ProtocolError
from appleshift.scheduler.dependencies import SchedulerDependencies
from appleshift.scheduler.scheduler import Scheduler
from appleshift.state.cluster_state import ClusterState
from appleshift.storage.key_value_store import StoreError
from appleshift.storage.keys import shard_prefix
from appleshift.storage.log_replayer import LogReplayer, RecordConsumer
from appleshift.storage.recovery import RecoveredLog, recover
from appleshift.storage.write_ahead_log import WriteAheadLog
from appleshift.transport.client import ClientError

log = logging.getLogger(__name__)

RETRY_S = 0.2
MIN_WRITE_RPS = 1.0
BYTES_PER_KB = 1024


@dataclass(frozen=True, slots=True)
class RecoveredTerm:
    """Durable state of a shard, as recovered at the start of a term."""

    replayer: LogReplayer
    recovered_log: RecoveredLog
    sharding: ShardingView | None


def recover_term(
    context: NodeContext, term: LeaderTerm, is_current: Callable[[], bool]
) -> RecoveredTerm | None:
    """Read a shard's durable state, with retries; return None once the term is over.

    Raises CompareFailedError if the shard map shows that the term is over.
    """
    deployment = context.settings.deployment
    prefix = shard_prefix(term.shard)
    while is_current():
        replayer = LogReplayer(ClusterState(deployment.zones, deployment.teams), _make_audit_log)
        try:
            recovered_log = recover(context.store, replayer, prefix)
            sharding = None
            if context.shard_map_follower is not None:
                sharding = context.shard_map_follower.sharding_for(term, replayer)
        except (StoreError, ClientError, ProtocolError) as error:
            log.info("recovery failed, retrying shard=%d error=%s", term.shard, error)
            context.stop.wait(RETRY_S)
        else:
            return RecoveredTerm(replayer, recovered_log, sharding)
    return None


def create_scheduler(
    context: NodeContext,
    lease: LeaderLeaseView,
    term: LeaderTerm,
    recovered: RecoveredTerm,
    now: float,
) -> Scheduler:
    """Create the scheduler of a term from the recovered state."""
    write_ahead_log = _resume_log(context, term, recovered, now)
    return Scheduler(
        SchedulerDependencies(
            settings=context.settings,
            operator=context.operator,
            lease=lease,
            fencing_token=term.fencing_token,
            replayer=recovered.replayer,
            write_ahead_log=write_ahead_log,
            clock=context.runtime.now,
            wall_time=context.runtime.wall_time(),
            counted_resources=_counted_resources(
                context, term, recovered.replayer, write_ahead_log
            ),
            sharding=recovered.sharding,
        )
    )


def _resume_log(
    context: NodeContext, term: LeaderTerm, recovered: RecoveredTerm, now: float
) -> WriteAheadLog:
    limits = context.settings.deployment.state
    shards = 1 if recovered.sharding is None else recovered.sharding.shard_count
    write_rps = limits.write_rps * context.operator.write_share / shards
    recovered_log = recovered.recovered_log
    write_ahead_log = WriteAheadLog(
        leader_key=leader_key(term.shard),
        leader_version=term.leader_key_version,
        term_id=term.term_id,
        write_rps=max(MIN_WRITE_RPS, write_rps),
        value_bytes=int(limits.value_kb * BYTES_PER_KB),
        max_transaction_ops=limits.txn_ops,
        header=recovered_log.header,
        header_version=recovered_log.header_version,
        next_entry=recovered_log.next_entry,
        log_bytes=recovered_log.log_bytes,
        now=now,
        prefix=shard_prefix(term.shard),
        extra_guards=term.extra_guards,
    )
    write_ahead_log.remove_keys(recovered_log.orphaned_keys)
    return write_ahead_log


def _counted_resources(
    context: NodeContext, term: LeaderTerm, replayer: LogReplayer, write_ahead_log: WriteAheadLog
) -> CountedResources | None:
    """Return the counted resources; None unless the operators' file or the log defines any.

    The first shard counts all of them, and schedules all jobs that request any.
    """
    if term.shard or (not context.operator.seats and not replayer.counted_resources):
        return None
    # Imported only where resources are counted.
    from appleshift.counted_resources.counted_resource_scheduler import create_counted_resources

    return create_counted_resources(
        context.operator,
        replayer,
        write_ahead_log,
        term.fencing_token,
        context.runtime.wall_time(),
    )


def _make_audit_log(written_entries: int) -> RecordConsumer:
    """Return the audit log, which follows the log from its first counted resource on.

    ``written_entries`` is the number of entries that are already in durable pages.
    """
    # Imported only where resources are counted.
    from appleshift.counted_resources.audit_log import AuditLog

    return AuditLog(written_entries)
