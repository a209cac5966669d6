"""Dispatches requests and term events to the methods of a shard's scheduler."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from appleshift.contracts import events
from appleshift.placement.counted_resource_interfaces import CountedResources
from appleshift.protocol import users
from appleshift.scheduler.scheduler import Scheduler


def handle_request(
    scheduler: Scheduler, request: events.ApiRequest, wall_time: Callable[[], float]
) -> None:
    """Answer a request, at once or after its changes are durable."""
    match request:
        case events.HeartbeatReceived():
            scheduler.heartbeat_received(request.heartbeat, request.reply_to, request.encoded_tasks)
        case events.SubmitJob():
            scheduler.job_requests.submit(
                request.spec, request.reply_to, wall_time(), request.forwarded_by_home
            )
        case events.GetJobStatus():
            scheduler.job_requests.status(
                request.job_id,
                request.reply_to,
                request.forwarded_by_home,
                request.shard_map_version,
            )
        case events.CancelJob():
            scheduler.job_requests.cancel(
                request.job_id,
                request.reply_to,
                request.forwarded_by_home,
                request.shard_map_version,
            )
        case events.GetCountedResources():
            status, body = _counted_resources_reply(
                scheduler.counted_resources, request.after_audit_entry, scheduler.now
            )
            scheduler.reply(request.reply_to, status, body)
        case events.ShardRequestReceived() if scheduler.sharding is not None:
            scheduler.sharding.request_received(request.message, request.reply_to)
        case _:
            scheduler.reply_unavailable(request.reply_to)


def handle_term_event(scheduler: Scheduler, event: events.TermEvent) -> None:
    """Dispatch an event of the scheduler's own term; other event types are ignored."""
    handler = _TERM_EVENT_HANDLERS.get(type(event))
    if handler is not None:
        handler(scheduler, event)


def _commit_succeeded(scheduler: Scheduler, event: events.CommitSucceeded) -> None:
    scheduler.commit_succeeded(event.revision)


def _commit_stalled(scheduler: Scheduler, event: events.CommitStalled) -> None:
    scheduler.commit_stalled()


def _commands_sent(scheduler: Scheduler, event: events.CommandsSent) -> None:
    scheduler.commands.commands_sent(
        event.machine, event.agent_epoch, event.outcome, event.heartbeat
    )


def _probe_answered(scheduler: Scheduler, event: events.ProbeAnswered) -> None:
    scheduler.probe_answered(event.machine, event.heartbeat)


def _machine_types_listed(scheduler: Scheduler, event: events.MachineTypesListed) -> None:
    scheduler.fleet.set_machine_types(event.types)


def _machines_listed(scheduler: Scheduler, event: events.MachinesListed) -> None:
    scheduler.fleet.machines_listed(event.machines, event.complete)


def _rental_answered(scheduler: Scheduler, event: events.RentalAnswered) -> None:
    scheduler.fleet.rental_answered(event.request, event.machines, event.refused)


def _deletion_answered(scheduler: Scheduler, event: events.DeletionAnswered) -> None:
    scheduler.deletion_answered(event.machines, event.confirmed)


def _shard_reply_received(scheduler: Scheduler, event: events.ShardReplyReceived) -> None:
    if scheduler.sharding is not None:
        scheduler.sharding.reply_received(event.target_shard, event.reply)


def _license_server_answered(scheduler: Scheduler, event: events.LicenseServerAnswered) -> None:
    if scheduler.counted_resources is None:
        return
    more_available = scheduler.counted_resources.license_server_answered(
        event.resource, event.serial, event.reply, scheduler.now
    )
    scheduler.placement_needed = more_available or scheduler.placement_needed


_TERM_EVENT_HANDLERS: dict[type[events.TermEvent], Callable[[Scheduler, Any], None]] = {
    events.CommitSucceeded: _commit_succeeded,
    events.CommitStalled: _commit_stalled,
    events.CommandsSent: _commands_sent,
    events.ProbeAnswered: _probe_answered,
    events.MachineTypesListed: _machine_types_listed,
    events.MachinesListed: _machines_listed,
    events.RentalAnswered: _rental_answered,
    events.DeletionAnswered: _deletion_answered,
    events.ShardReplyReceived: _shard_reply_received,
    events.LicenseServerAnswered: _license_server_answered,
}


def _counted_resources_reply(
    resources: CountedResources | None, after: int | None, now: float
) -> tuple[int, dict[str, Any]]:
    """Return current counts if ``after`` is None, else audit entries after that number."""
    if resources is None:
        return 404, users.error_body("no counted resources are defined")
    return 200, resources.view(now) if after is None else resources.history(after)
