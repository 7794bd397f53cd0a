"""Logs: one line of key=value pairs per event."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger import json as json_logger

TYPICAL_LINE_BYTES = 300
_PLAIN = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,"
)


class KeyValueFormatter(json_logger.JsonFormatter):
    """Renders the collected fields of a record as key=value pairs."""

    def __init__(self) -> None:
        super().__init__(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={
                "asctime": "time",
                "levelname": "level",
                "message": "event",
                "name": "logger",
            },
        )

    def jsonify_log_record(self, log_data: dict[str, Any]) -> str:
        """Renders the fields; the base class would render JSON."""
        pairs = (f"{key}={_render(value)}" for key, value in log_data.items())
        return " ".join(pairs)


def configure(level: int = logging.INFO, stream: TextIO | None = None) -> None:
    """Sends all logs to a stream as key=value lines.

    Args:
        level: Least level that is logged.
        stream: Where to; standard error if None.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def _render(value: Any) -> str:
    text = str(value)
    if text and all(char in _PLAIN for char in text):
        return text
    return json.dumps(text)
