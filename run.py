"""Start appleshift from a checkout, with the libraries that the build installed in ``target/``.

A controller can write only to ``/tmp``, so Python could not store compiled modules and every
start would compile them again. The build therefore runs this file once, which stores the
compiled modules in ``target/pycache``.
"""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]
sys.pycache_prefix = str(ROOT / "target" / "pycache")

from appleshift.cli import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
