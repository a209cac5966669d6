"""The fuzzer of all decoders runs some thousand inputs, the same ones each time."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent.parent


def fuzz(folder: Path, planted: str) -> subprocess.CompletedProcess[str]:
    """Run the fuzzer; ``planted`` is "1" to add a defect that it must detect."""
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
    done = fuzz(tmp_path, "0")
    assert done.returncode == 0, done.stderr[-3000:]
    assert "Done 8000 runs" in done.stderr


def test_input_fuzzer_planted_defect_is_detected(tmp_path: Path) -> None:
    done = fuzz(tmp_path, "1")
    assert done.returncode != 0
    assert "AssertionError" in done.stdout + done.stderr
