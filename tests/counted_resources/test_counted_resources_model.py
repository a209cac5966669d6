"""The model of counted resources, and that it finds what it is for."""

from __future__ import annotations

import traceback

import pytest
from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from appleshift.counted_resources.counted_resource_scheduler import CountedResourceScheduler
from appleshift.scheduler.scheduler import Scheduler
from tests.counted_resources.test_counted_resources_simulation import release_at_kill_order
from tests.support.counted_resources_model import CountedResourceModel

SAME_EACH_TIME = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=150,
    stateful_step_count=50,
    suppress_health_check=list(HealthCheck),
)
FINDS = settings(SAME_EACH_TIME, max_examples=400, phases=[Phase.generate])


def test_resource_model_lost_late_or_repeated_messages_keep_counts() -> None:
    run_state_machine_as_test(CountedResourceModel, settings=SAME_EACH_TIME)


class OnlyTheCount(CountedResourceModel):
    """Nothing but what is on machines is looked at."""

    def the_book_agrees_with_the_tables(self) -> None:
        pass

    def the_audit_is_whole(self) -> None:
        pass


def found(machine: type[CountedResourceModel], what: str) -> bool:
    try:
        run_state_machine_as_test(machine, settings=FINDS)
    except AssertionError as error:
        return what in "".join(traceback.format_exception(error))
    return False


class TestPlantedModelDefects:
    def test_planted_release_at_kill_command_is_detected_by_model(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        release_at_kill_order(monkeypatch)
        assert found(OnlyTheCount, "in use")

    def test_planted_release_on_silent_machine_is_detected_by_model(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        tick = Scheduler._tick

        def hasty(self: Scheduler) -> None:
            for machine in list(self.cluster.machines.values()):
                if machine.runs and machine.last_contact_at < self.now - 2.0:
                    self.agent_epoch_ended(machine)
            tick(self)

        monkeypatch.setattr(Scheduler, "_tick", hasty)
        assert found(OnlyTheCount, "in use")

    def test_planted_start_before_recovered_counts_is_detected_by_model(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        def late(self: CountedResourceScheduler) -> None:
            for resource in self.resources:
                resource.held = 0

        monkeypatch.setattr(CountedResourceScheduler, "end_recovery", late)
        assert found(OnlyTheCount, "in use")
