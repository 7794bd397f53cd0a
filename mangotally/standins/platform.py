"""All stand-ins of the platform for one deployment."""

from __future__ import annotations

import contextlib
import dataclasses
import random
import secrets
import socket
from typing import TYPE_CHECKING, Self

from mangotally import ids
from mangotally.policy import configuration, records
from mangotally.roster import base as roster_base
from mangotally.settings import host as host_settings
from mangotally.settings import lists
from mangotally.settings import tls as tls_settings
from mangotally.standins import engine, log, roster, service, weights

if TYPE_CHECKING:
    from mangotally.standins import deployments

_KEY_BYTES = 24
_SERVER_PORTS = range(10_000, 32_768)
_allocated_ports: set[int] = set()
SPEED_SPREAD = 0.1


class Platform:
    """Starts and stops all stand-ins, as an asynchronous context manager."""

    def __init__(
        self,
        deployment: deployments.Deployment,
        speed: engine.EngineSpeed | None = None,
        seed: int = 0,
    ) -> None:
        """Creates a platform, which is started on entry.

        Args:
            deployment: Services, failure domains and organisations to simulate.
            speed: Base speed of its engines.
            seed: Seed of the random variation of the engines' speeds.
        """
        self.deployment = deployment
        self._speed = speed or engine.EngineSpeed()
        self.tls = tls_settings.TlsSettings()
        self._random = random.Random(seed)
        self.log = log.LogStandIn()
        self.roster = roster.RosterStandIn()
        self.weights = weights.WeightsStandIn()
        self.engines: dict[ids.TargetId, engine.EngineStandIn] = {}
        self.services: dict[ids.TargetId, service.ServiceStandIn] = {}
        self.operator_key = f"op-{secrets.token_urlsafe(_KEY_BYTES)}"
        self.metrics_key = f"me-{secrets.token_urlsafe(_KEY_BYTES)}"
        self.keys: dict[ids.OrganisationId, tuple[ids.KeyId, str]] = {}
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self) -> Self:
        """Starts all stand-ins and publishes the initial configuration."""
        await self._stack.enter_async_context(self.log)
        await self._stack.enter_async_context(self.roster)
        await self._stack.enter_async_context(self.weights)
        for group in self.deployment.groups:
            for number in range(group.workers):
                await self._start_worker(group, number)
        self._publish()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """Stops all stand-ins."""
        await self._stack.aclose()

    def host_settings(self, number: int) -> host_settings.HostSettings:
        """Returns the settings of a host, with free ports.

        Args:
            number: Number of the host, counted from 1.
        """
        ports = free_ports(3)
        places = self.deployment.places
        return host_settings.HostSettings(
            host_id=f"h{number}",
            port=ports[0],
            rpc_port=ports[1],
            operator_port=ports[2],
            place=places[number % len(places)],
            log=host_settings.LogSettings(url=self.log.url),
            roster_url=self.roster.url,
            weights_url=self.weights.url,
            tls=self.tls,
            operator_key_digests=(configuration.digest_key(self.operator_key),),
            metrics_key_digests=(configuration.digest_key(self.metrics_key),),
            load_poll_ms=100,
            heartbeat_ms=200,
            lease_ms=1500,
            notice_ms=0,
        )

    async def _start_worker(
        self, group: deployments.WorkerGroup, number: int
    ) -> None:
        name = f"{group.service}-{number + 1}"
        target = ids.TargetId(name)
        if group.kind is lists.ServiceKind.MODEL:
            worker = engine.EngineStandIn(name, self._vary_speed())
            self.engines[target] = worker
            await self._stack.enter_async_context(worker)
            url = worker.url
        else:
            plain = service.ServiceStandIn(name)
            self.services[target] = plain
            await self._stack.enter_async_context(plain)
            url = plain.url
        places = self.deployment.places
        await self.roster.put(
            roster_base.RosterEntry(
                name,
                roster_base.EntryKind.TARGET,
                url,
                ids.FailureDomainId(places[number % len(places)]),
                ids.ServiceId(group.service),
                roster_base.EntryState.LIVE,
            )
        )

    def _vary_speed(self) -> engine.EngineSpeed:
        factor = self._random.uniform(1 - SPEED_SPREAD, 1 + SPEED_SPREAD)
        return dataclasses.replace(
            self._speed, decode_ms=self._speed.decode_ms * factor
        )

    def _publish(self) -> None:
        first = records.ConfigurationVersion(
            1,
            0,
            lists.Lists(plans=self.deployment.plans, uses=self.deployment.uses),
        )
        found: list[object] = [first]
        for item in self.deployment.plans.organisations:
            organisation = ids.OrganisationId(item.id)
            key = f"mt-{secrets.token_urlsafe(_KEY_BYTES)}"
            key_id = ids.KeyId(f"k-{item.id}")
            self.keys[organisation] = (key_id, key)
            found.append(
                records.KeyGiven(
                    key_id,
                    organisation,
                    configuration.digest_key(key),
                    ids.Offset(0),
                )
            )
        stream = self.log.stream(records.CONFIGURATION_STREAM)
        stream.records.append(records.registry.encode_batch(found))


def free_ports(count: int) -> list[int]:
    """Returns free TCP ports on the loopback address; never returns one twice.

    They are below the range of ephemeral ports, so that no outgoing
    connection takes a port between this call and its use.
    """
    found: list[int] = []
    while len(found) < count:
        port = secrets.choice(_SERVER_PORTS)
        if port not in _allocated_ports and _is_free(port):
            _allocated_ports.add(port)
            found.append(port)
    return found


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True
