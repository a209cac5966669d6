"""Entry point of ``python -m appleshift``."""

import sys

from appleshift.cli import main

sys.exit(main())
