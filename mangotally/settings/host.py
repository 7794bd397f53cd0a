"""Settings of one host process."""

from __future__ import annotations

import ipaddress
from typing import Annotated, Literal

import pydantic

from mangotally.settings import tls as tls_settings

RPC_PORT_OFFSET = 1000
Digest = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]
OPERATOR_PORT_OFFSET = 2000


class LogSettings(pydantic.BaseModel):
    """Location and use of the platform's log.

    Attributes:
        url: Base URL of the log service.
        appends_per_s: Appends per second that the whole fleet may use.
        partitions: Number of history streams; must never change during the
            lifetime of a fleet.
        retention_ms: Minimum time for which the log keeps a record.
        call_lifetime_ms: Time for which an idempotency key identifies the
            same call.
        program_keep_ms: Time for which the answers of an ended program are
            kept.
        configuration_stream: Name of the configuration stream.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )

    url: str
    appends_per_s: float = pydantic.Field(default=300.0, gt=0)
    partitions: int = pydantic.Field(default=32, ge=1, le=4096)
    retention_ms: int = pydantic.Field(default=86_400_000, ge=1000)
    call_lifetime_ms: int = pydantic.Field(default=86_400_000, ge=1000)
    program_keep_ms: int = pydantic.Field(default=600_000, ge=0)
    configuration_stream: str = pydantic.Field(
        default="configuration", pattern=r"^[a-z0-9][a-z0-9-]{0,63}$"
    )


class TargetSettings(pydantic.BaseModel):
    """Time-outs of targets, and handling of failed and orphaned requests.

    Attributes:
        connect_ms: Time-out for establishing a connection.
        first_token_ms: Time-out for the first token of an empty prompt.
        first_token_ms_per_token: Added to that for each prompt token.
        between_tokens_ms: Time-out between two tokens.
        retry_share: Maximum ratio of retries to a service's requests.
        quarantine_ms: Time for which a request that crashed two targets is
            refused.
        weights_per_s: Fetches per second that the weight store allows.
        sweep_ms: Interval between reads of the calls and prefixes that
            engines hold.
        sweep_grace_ms: Time after which a call that no host claims is
            cancelled.
        order_ms: Interval between reads of what engines have loaded.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )

    connect_ms: int = pydantic.Field(default=1000, ge=1)
    first_token_ms: int = pydantic.Field(default=5000, ge=1)
    first_token_ms_per_token: float = pydantic.Field(default=0.5, ge=0)
    between_tokens_ms: int = pydantic.Field(default=3000, ge=1)
    retry_share: float = pydantic.Field(default=0.2, ge=0, le=1)
    quarantine_ms: int = pydantic.Field(default=600_000, ge=1000)
    weights_per_s: float = pydantic.Field(default=1.0, gt=0)
    sweep_ms: int = pydantic.Field(default=2000, ge=10)
    sweep_grace_ms: int = pydantic.Field(default=3000, ge=10)
    order_ms: int = pydantic.Field(default=1000, ge=10)


class CallerSettings(pydantic.BaseModel):
    """Limits on what callers may use of one host.

    Attributes:
        head_ms: Maximum time from opening a connection to its first request.
        body_ms: Maximum time to receive a request's body.
        all_bodies_bytes: Maximum total size of the bodies in memory.
        connections: Maximum number of open connections.
        organisation_calls: Maximum number of concurrent calls of one
            organisation.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    head_ms: int = pydantic.Field(default=10_000, ge=10)
    body_ms: int = pydantic.Field(default=30_000, ge=10)
    all_bodies_bytes: int = pydantic.Field(default=134_217_728, ge=1024)
    connections: int = pydantic.Field(default=4096, ge=1)
    organisation_calls: int = pydantic.Field(default=1024, ge=1)


class HostSettings(pydantic.BaseModel):
    """Settings of one host process.

    Attributes:
        host_id: Unique name of this host.
        address: IP address that this host listens on.
        port: Port for callers.
        rpc_port: Port for other hosts; by default `port` + 1000.
        operator_port: Port of the administration API; by default
            `port` + 2000.
        place: Failure domain of this host.
        log: The platform's log.
        roster_url: Base URL of the platform's host list.
        weights_url: Base URL of the weight store.
        operator_key_digests: SHA-256 digests of operators' keys.
        metrics_key_digests: SHA-256 digests of keys that read `/metrics`
            and nothing else.
        open_services: Plain services that require no API key.
        heartbeat_ms: Interval between heartbeats.
        lease_ms: Duration of a host's lease.
        roster_poll_ms: Interval between reads of the host list.
        load_poll_ms: Interval between reads of a target's load.
        shutdown_ms: Maximum time that active calls may take at shutdown.
        notice_ms: Time that the balancer and the other hosts need to detect
            that this host is leaving.
        max_body_bytes: Maximum size of a request body.
        targets: Time-outs and failure handling of targets.
        callers: Limits on what callers may use of this host.
        tls: Certificates; those between hosts may be omitted only if
            `address` is a loopback address.
        configuration_max_age_ms: Maximum age of the configuration before
            `on_stale` applies.
        on_stale: Whether calls are refused above that age, or continue.
        configuration_snapshot_ms: Maximum time between snapshots of the
            configuration; at most half the log's retention.
    """

    model_config = pydantic.ConfigDict(
        extra="forbid", frozen=True, allow_inf_nan=False
    )

    host_id: str = pydantic.Field(pattern=r"^[a-z0-9][a-z0-9._-]{0,63}$")
    address: str = "127.0.0.1"
    port: int = pydantic.Field(ge=1, le=65535)
    rpc_port: int | None = None
    operator_port: int | None = None
    place: str
    log: LogSettings
    roster_url: str
    weights_url: str
    operator_key_digests: tuple[Digest, ...] = ()
    metrics_key_digests: tuple[Digest, ...] = ()
    open_services: tuple[str, ...] = ()
    heartbeat_ms: int = pydantic.Field(default=1000, ge=10)
    lease_ms: int = pydantic.Field(default=5000, ge=50)
    roster_poll_ms: int = pydantic.Field(default=1000, ge=10)
    load_poll_ms: int = pydantic.Field(default=500, ge=10)
    shutdown_ms: int = pydantic.Field(default=120_000, ge=0)
    notice_ms: int = pydantic.Field(default=2000, ge=0)
    max_body_bytes: int = pydantic.Field(default=4_194_304, ge=1024)
    targets: TargetSettings = TargetSettings()
    callers: CallerSettings = CallerSettings()
    tls: tls_settings.TlsSettings = tls_settings.TlsSettings()
    configuration_max_age_ms: int = pydantic.Field(default=60_000, ge=1000)
    on_stale: Literal["refuse", "continue"] = "refuse"
    configuration_snapshot_ms: int = pydantic.Field(default=3_600_000, ge=1000)

    @pydantic.field_validator("address")
    @classmethod
    def _check_address(cls, value: str) -> str:
        ipaddress.ip_address(value)
        return value

    @pydantic.model_validator(mode="after")
    def _check_tls(self) -> HostSettings:
        address = ipaddress.ip_address(self.address)
        if self.tls.hosts is None and not address.is_loopback:
            raise ValueError(
                "tls.hosts is missing; it is required if address is not "
                "a loopback address"
            )
        return self

    @property
    def rpc_address(self) -> str:
        """Address for other hosts, as `ip:port`."""
        port = self.rpc_port or self.port + RPC_PORT_OFFSET
        return f"{self.address}:{port}"

    @property
    def effective_operator_port(self) -> int:
        """Port of the administration API, with the default applied."""
        return self.operator_port or self.port + OPERATOR_PORT_OFFSET
