"""Tests of mangotally."""

from __future__ import annotations

import logging

logging.getLogger("mangotally").addHandler(logging.NullHandler())
