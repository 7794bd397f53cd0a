"""Command line of an entry host."""

from __future__ import annotations

import logging
import os
import pathlib
import sys

import fire
from returns import result

from mangotally.commands import process
from mangotally.entry import application
from mangotally.settings import entry as entry_settings
from mangotally.settings import loader
from mangotally.util import clock as clock_lib
from mangotally.util import logs, output

logger = logging.getLogger(__name__)

EXIT_BAD_USE = 2


def run(settings: str = "", settings_variable: str = "") -> None:
    """Runs one entry host until SIGTERM.

    Args:
        settings: YAML file with the settings of this host.
        settings_variable: Environment variable that holds its path.
    """
    logs.set_up(stream=sys.stdout)
    path = settings or os.environ.get(settings_variable, "")
    if not path:
        _exit("name a file with --settings, or a variable that holds one")
    loaded = loader.load(entry_settings.EntrySettings, pathlib.Path(path))
    if isinstance(loaded, result.Failure):
        _exit(loaded.failure())
    found = loaded.unwrap()
    handler = output.BoundedHandler(sys.stdout.fileno(), clock_lib.BootClock())
    process.run_until_stopped(lambda: application.Application(found), handler)


def main() -> None:
    """Runs the command line."""
    fire.Fire(run)


def _exit(reason: str) -> None:
    logger.critical("bad_settings", extra={"reason": reason})
    raise SystemExit(EXIT_BAD_USE)
