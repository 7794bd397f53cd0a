"""Decides which software version continues an interrupted stream.

Load pattern: several software versions of a service run side by side while
targets crash, connections are reset, or all hosts are killed at once.
"""

from __future__ import annotations

import dataclasses

from mangotally import ids


@dataclasses.dataclass(frozen=True)
class Origin:
    """What generated the first event of a stream.

    Attributes:
        service: The service.
        target: The target, or None if only its version is known.
        version: Version of the target's software.
        begun_ms: When the first event was received, in Unix milliseconds; None
            if this is unknown.
    """

    service: ids.ServiceId
    target: ids.TargetId | None
    version: ids.SoftwareVersion
    begun_ms: int | None


def version_to_resume_at(
    origin: Origin, listed: ids.SoftwareVersion | None
) -> ids.SoftwareVersion | None:
    """Returns the only version that may continue a stream.

    Args:
        origin: What began the stream.
        listed: Version of the target with the same id that is listed now;
            None if there is none.

    Returns:
        The version. None if the target has restarted with another version: it
        may already have done so when the stream began.
    """
    if listed is not None and listed != origin.version:
        return None
    return origin.version
