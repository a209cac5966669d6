"""Runs the model of counted resources and checks that it detects planted defects."""

from __future__ import annotations

import traceback

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from appleshift.counted_resources.counted_resource_scheduler import CountedResourceScheduler
from appleshift.scheduler.scheduler import Scheduler
from tests.counted_resources.test_counted_resources_simulation import release_at_kill_order
from tests.support.counted_resources_model import CountedResourceModel

DETERMINISTIC = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)
DEFECT_SEARCH = settings(DETERMINISTIC, max_examples=400, phases=[Phase.generate])


def test_resource_model_lost_late_or_repeated_messages_keep_counts() -> None:
    run_state_machine_as_test(CountedResourceModel, settings=DETERMINISTIC)


class UsageOnlyModel(CountedResourceModel):
    """Checks only the units in use on machines, so that other checks detect no defect first."""

    def held_units_match_assignments(self) -> None:
        pass

    def audit_log_is_complete(self) -> None:
        pass


def model_detects(machine: type[CountedResourceModel], message: str) -> bool:
    """Whether the model fails with an assertion whose traceback contains the message."""
    try:
        run_state_machine_as_test(machine, settings=DEFECT_SEARCH)
    except AssertionError as error:
        return message in "".join(traceback.format_exception(error))
    return False


class TestPlantedModelDefects:
    def test_planted_release_at_kill_command_is_detected_by_model(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        release_at_kill_order(monkeypatch)
        assert model_detects(UsageOnlyModel, "in use")

    def test_planted_release_on_silent_machine_is_detected_by_model(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        original_tick = Scheduler._tick

        def end_silent_epochs_early(self: Scheduler) -> None:
            for machine in list(self.cluster.machines.values()):
                if machine.runs and machine.last_contact_at < self.now - 2.0:
                    self.agent_epoch_ended(machine)
            original_tick(self)

        monkeypatch.setattr(Scheduler, "_tick", end_silent_epochs_early)
        assert model_detects(UsageOnlyModel, "in use")

    def test_planted_start_before_recovered_counts_is_detected_by_model(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def reset_held_units(self: CountedResourceScheduler) -> None:
            for resource in self.resources:
                resource.held = 0

        monkeypatch.setattr(CountedResourceScheduler, "end_recovery", reset_held_units)
        assert model_detects(UsageOnlyModel, "in use")
