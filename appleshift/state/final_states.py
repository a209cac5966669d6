"""Final states of all jobs that ever ended, in memory that hardly grows with their number.

A job's final state is kept for ever. Users number their jobs (``job-000412``), so the numbers
of the jobs with one final state form a compressed bitmap: a bit or less a job where the numbers
are dense, some bytes where they are not. Other ids are kept as they are.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, MutableMapping

from pyroaring import BitMap

from appleshift.state.memory_estimate import TEXT_FINAL_STATE_BYTES

NUMBERED_ID = re.compile(r"job-([0-9]{6}|[1-9][0-9]{6,8})(\+?)")
"""An id in the usual form, or the key of such a job's partition: a number that fits in the 32 bits
of a bitmap, and the suffix of a partition. The id can be rebuilt from these two."""
CONTAINER_BYTES = 64
"""A part of a bitmap without the numbers in it."""


class FinalStates(MutableMapping[str, int]):
    """The final states of ended jobs by id, in no particular order.

    One thread changes it. ``get`` may be called from any thread for ids whose state does not
    change, and final states do not.
    """

    def __init__(self) -> None:
        """Start without ended jobs."""
        # By suffix and final state: the numbers of the ids.
        self._numbers: dict[tuple[str, int], BitMap] = {}
        self._others: dict[str, int] = {}

    def __getitem__(self, job_id: str) -> int:
        """Return the final state of a job; KeyError if the job has none."""
        matched = NUMBERED_ID.fullmatch(job_id)
        if matched is None:
            return self._others[job_id]
        number, suffix = int(matched[1]), matched[2]
        # A copy, because another thread may add the first job of another state.
        for (of_suffix, state), numbers in list(self._numbers.items()):
            if of_suffix == suffix and number in numbers:
                return state
        raise KeyError(job_id)

    def __setitem__(self, job_id: str, state: int) -> None:
        """Set the final state of a job."""
        matched = NUMBERED_ID.fullmatch(job_id)
        if matched is None:
            self._others[job_id] = state
        else:
            self._set_numbers(matched[2], state, [int(matched[1])])

    def add_page(self, entries: Iterable[tuple[str, int]]) -> None:
        """Set the final states of many jobs, each named once."""
        pages: dict[tuple[str, int], list[int]] = {}
        for job_id, state in entries:
            matched = NUMBERED_ID.fullmatch(job_id)
            if matched is None:
                self._others[job_id] = state
            else:
                pages.setdefault((matched[2], state), []).append(int(matched[1]))
        for (suffix, state), numbers in pages.items():
            self._set_numbers(suffix, state, numbers)

    def _set_numbers(self, suffix: str, state: int, numbers: list[int]) -> None:
        if (suffix, state) not in self._numbers:
            self._numbers[suffix, state] = BitMap()
        added = BitMap(numbers)
        self._numbers[suffix, state].update(added)
        for (of_suffix, other_state), others in self._numbers.items():
            if of_suffix == suffix and other_state != state:
                others.difference_update(added)

    def __delitem__(self, job_id: str) -> None:
        """Forget the final state of a job; KeyError if the job has none."""
        state = self[job_id]
        matched = NUMBERED_ID.fullmatch(job_id)
        if matched is None:
            del self._others[job_id]
        else:
            self._numbers[matched[2], state].remove(int(matched[1]))

    def __iter__(self) -> Iterator[str]:
        """Yield the ids of all jobs with a final state."""
        for (suffix, _), numbers in self._numbers.items():
            for number in numbers:
                yield f"job-{number:06d}{suffix}"
        yield from self._others

    def __len__(self) -> int:
        """Return the number of jobs with a final state."""
        return sum(len(numbers) for numbers in self._numbers.values()) + len(self._others)

    def memory_bytes(self) -> int:
        """Return the estimated bytes that the final states take."""
        compressed = 0
        for numbers in self._numbers.values():
            statistics = numbers.get_statistics()
            compressed += CONTAINER_BYTES * statistics["n_containers"]
            compressed += statistics["n_bytes_array_containers"]
            compressed += statistics["n_bytes_run_containers"]
            compressed += statistics["n_bytes_bitset_containers"]
        return compressed + TEXT_FINAL_STATE_BYTES * len(self._others)
