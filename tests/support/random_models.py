"""Runs the hypothesis models with random histories.

The tests draw the same histories each time. This program draws others:

    python -m tests.support.random_models --batches 8 --first-seed 1000

Each batch of a model has a seed of its own, which is printed. A batch is repeated with
``--model NAME --first-seed SEED --batches 1``. The exit status is 1 if a history failed.
"""

from __future__ import annotations

import argparse
import itertools
import multiprocessing
import random
import sys
import traceback
from dataclasses import dataclass

import pytest
from hypothesis import HealthCheck, seed, settings
from hypothesis.stateful import RuleBasedStateMachine, run_state_machine_as_test

from appleshift.sharding import array_partitions
from tests.support.counted_resources_model import CountedResourceModel
from tests.support.durability_check import DurabilityCheckedModel
from tests.support.sharding_model import SharesMachine

MODELS: dict[str, type[RuleBasedStateMachine]] = {
    "shards": SharesMachine,
    "durability": DurabilityCheckedModel,
    "counted-resources": CountedResourceModel,
}
HISTORIES_PER_BATCH = 250
STEPS_PER_HISTORY = 50
MAX_SEED = 2**31
MIN_TASKS_PER_SHARD = 2
"""The models' arrays are small; they must be divided all the same."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Histories of one model that follow from one seed."""

    model: str
    seed: int


@dataclass(frozen=True, slots=True)
class BatchResult:
    """The outcome of a batch; ``failure`` is the traceback of a failed history, or empty."""

    batch: Batch
    failure: str


def run_batch(batch: Batch) -> BatchResult:
    """Run the histories of a batch until one fails."""
    chosen = settings(
        database=None,
        deadline=None,
        max_examples=HISTORIES_PER_BATCH,
        stateful_step_count=STEPS_PER_HISTORY,
        suppress_health_check=list(HealthCheck),
        print_blob=True,
    )
    seeded_model = seed(batch.seed)(MODELS[batch.model])
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(array_partitions, "MIN_TASKS_PER_SHARD", MIN_TASKS_PER_SHARD)
        try:
            run_state_machine_as_test(seeded_model, settings=chosen)
        except Exception:
            return BatchResult(batch, traceback.format_exc())
    return BatchResult(batch, "")


def main() -> int:
    """Run the batches that the command line asks for and print each outcome."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--model", choices=sorted(MODELS), action="append")
    parser.add_argument("--first-seed", type=int, default=random.randrange(MAX_SEED))
    parser.add_argument("--batches", type=int, default=1, help="batches of each model")
    parser.add_argument("--jobs", type=int, default=2, help="processes")
    options = parser.parse_args()
    seeds = range(options.first_seed, options.first_seed + options.batches)
    pairs = itertools.product(seeds, options.model or MODELS)
    batches = [Batch(model, number) for number, model in pairs]
    failed = 0
    with multiprocessing.Pool(options.jobs) as pool:
        for result in pool.imap_unordered(run_batch, batches):
            outcome = "FAILED" if result.failure else "passed"
            print(f"{result.batch.model} seed={result.batch.seed} {outcome}", flush=True)
            if result.failure:
                failed += 1
                print(result.failure, flush=True)
    histories = len(batches) * HISTORIES_PER_BATCH
    print(f"{len(batches)} batches, at most {histories} histories, {failed} batches failed")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
