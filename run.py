"""Start appleshift from a checkout, with the libraries the build put under ``target/``.

Controllers may write nowhere but ``/tmp``, so Python could never store the
compiled modules and each start would pay for compiling them again. The build
therefore runs this file once; it keeps the compiled modules under ``target/``.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]
sys.pycache_prefix = str(ROOT / "target" / "pycache")

from appleshift.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
