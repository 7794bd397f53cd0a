"""Command-line interface of an entry host."""

from __future__ import annotations

import logging
import os
import pathlib
import sys

from returns import result

from mangotally.commands import process
from mangotally.entry import application
from mangotally.settings import entry as entry_settings
from mangotally.settings import prepared
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
    loaded = _load(pathlib.Path(path))
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
    match sys.argv[1:]:
        case ["--settings-variable", str() as name]:
            raise SystemExit(run(settings_variable=name))
    # Imported late: the usual start does not need it.
    import fire

    raise SystemExit(fire.Fire(run, serialize=lambda _code: None))


def _load(
    path: pathlib.Path,
) -> result.Result[entry_settings.EntrySettings, str]:
    found = prepared.load(entry_settings.EntrySettings, path)
    if found is not None:
        return result.Success(found)
    # Imported late: prepared settings do not need the libraries it uses.
    from mangotally.settings import loader

    return loader.load(entry_settings.EntrySettings, path)


def _log_bad_settings(reason: str) -> int:
    logger.critical("bad_settings", extra={"reason": reason})
    return EXIT_BAD_USE
