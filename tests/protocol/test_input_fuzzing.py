"""Runs the fuzzer of all decoders on 8,000 inputs that are the same in each run."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


def run_fuzzer(folder: Path, planted: str) -> subprocess.CompletedProcess[str]:
    """Run the fuzzer in ``folder``; ``planted`` is "1" to plant a defect that it must detect."""
    limits = ["-runs=8000", "-seed=7", "-max_len=2048", f"-artifact_prefix={folder}/"]
    corpus = folder / "corpus"
    corpus.mkdir()
    return subprocess.run(
        [sys.executable, "-m", "tests.support.input_fuzzer", str(corpus), *limits],
        cwd=ROOT,
        env={**os.environ, "PLANTED": planted},
        capture_output=True,
        text=True,
    )


def test_input_fuzzer_every_input_is_accepted_or_refused(tmp_path: Path) -> None:
    completed = run_fuzzer(tmp_path, "0")
    assert completed.returncode == 0, completed.stderr[-3000:]
    assert "Done 8000 runs" in completed.stderr


def test_input_fuzzer_planted_defect_is_detected(tmp_path: Path) -> None:
    completed = run_fuzzer(tmp_path, "1")
    assert completed.returncode != 0
    assert "AssertionError" in completed.stdout + completed.stderr
