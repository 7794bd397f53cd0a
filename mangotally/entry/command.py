"""Command-line interface of an entry host."""

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


def run(settings: str = "", settings_variable: str = "") -> int:
    """Runs one entry host until SIGTERM or SIGINT.

    Args:
        settings: Path of the YAML file with the settings of this host.
        settings_variable: Environment variable that holds that path, used if
            no path is given.

    Returns:
        The exit code.
    """
    logs.configure(stream=sys.stdout)
    path = settings or os.environ.get(settings_variable, "")
    if not path:
        return _log_bad_settings(
            "name a file with --settings or --settings-variable"
        )
    loaded = loader.load(entry_settings.EntrySettings, pathlib.Path(path))
    if isinstance(loaded, result.Failure):
        return _log_bad_settings(loaded.failure())
    host_settings = loaded.unwrap()
    handler = output.BoundedHandler(sys.stdout.fileno(), clock_lib.BootClock())
    process.run_until_stopped(
        lambda: application.Application(host_settings), handler
    )
    return 0


def main() -> None:
    """Parses the command line and runs the host."""
    raise SystemExit(fire.Fire(run, serialize=lambda _code: None))


def _log_bad_settings(reason: str) -> int:
    logger.critical("bad_settings", extra={"reason": reason})
    return EXIT_BAD_USE
