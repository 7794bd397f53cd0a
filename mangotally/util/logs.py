"""Log formatting: one line of key=value pairs per event."""

from __future__ import annotations

import json
import logging
import sys
from typing import Any, TextIO

from pythonjsonlogger import json as json_logger

TYPICAL_LINE_BYTES = 300
_UNQUOTED_CHARS = frozenset(
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.:/@+,"
)


class KeyValueFormatter(json_logger.JsonFormatter):
    """Formats the fields of a log record as key=value pairs."""

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
        """Formats the fields as key=value pairs instead of JSON."""
        pairs = (
            f"{key}={_format_value(value)}" for key, value in log_data.items()
        )
        return " ".join(pairs)


def configure(level: int = logging.INFO, stream: TextIO | None = None) -> None:
    """Configures the root logger to write key=value lines to a stream.

    Args:
        level: Lowest level that is logged.
        stream: The stream to write to; standard error if None.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)


def _format_value(value: Any) -> str:
    text = str(value)
    if text and all(char in _UNQUOTED_CHARS for char in text):
        return text
    return json.dumps(text)
