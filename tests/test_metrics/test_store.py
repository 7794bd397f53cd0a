"""Tests of the metrics store, its text format and the endpoint."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from prometheus_client import parser

from mangotally import errors, ids
from mangotally.metrics import exposition, recorder, store
from mangotally.util import clock
from tests import fleet as fleet_lib

if TYPE_CHECKING:
    import aiohttp

ORGANISATION = ids.OrganisationId("org-a")
TARGET = ids.TargetId("model-1")


def samples_of(text: str) -> dict[tuple[str, str], float]:
    """Returns the samples of an exposition by name and label values."""
    return {
        (sample.name, ",".join(sorted(sample.labels.values()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


class StoreTest(unittest.TestCase):
    """Recording and exposition of metrics."""

    def test_one_call(self) -> None:
        """A call is counted for its organisation and its target."""
        manual_clock = clock.ManualClock()
        metrics = store.MetricsStore()
        timer = recorder.CallTimer(metrics, ORGANISATION, manual_clock)
        manual_clock.advance(40)
        timer.record_token()
        manual_clock.advance(400)
        timer.record_token()
        timer.finish(TARGET, 7)
        metrics.count_refusal(errors.Reason.OVER_RATE)
        samples = samples_of(exposition.render(metrics).decode())
        for label, name in (("organisation", "org-a"), ("target", "model-1")):
            prefix = f"mangotally_{label}_latency_ms"
            self.assertEqual(samples[f"{prefix}_count", name], 1)
            self.assertEqual(samples[f"{prefix}_bucket", f"250,{name}"], 0)
            self.assertEqual(samples[f"{prefix}_bucket", f"500,{name}"], 1)
            first = f"mangotally_{label}_first_token_ms_bucket"
            self.assertEqual(samples[first, f"25,{name}"], 0)
            self.assertEqual(samples[first, f"50,{name}"], 1)
            tokens = f"mangotally_{label}_generated_tokens_total"
            self.assertEqual(samples[tokens, name], 7)
        self.assertEqual(samples["mangotally_refusals_total", "over-rate"], 1)
        dumped = str(metrics.dump())
        self.assertIn("org-a", dumped)
        self.assertIn("over-rate", dumped)

    def test_many_organisations(self) -> None:
        """The number of series is bounded, and every call is counted."""
        metrics = store.MetricsStore(max_series=3)
        for number in range(10):
            metrics.record_call(
                recorder.CallRecord(
                    ids.OrganisationId(f"org-{number}"), None, 10.0
                )
            )
        counts = {
            name: series.latency.total_count
            for name, series in metrics.organisations.items()
        }
        self.assertEqual(
            counts, {"org-7": 1, "org-8": 1, "org-9": 1, store.OTHER: 7}
        )

    def test_out_of_range_values(self) -> None:
        """Values out of range are clamped."""
        metrics = store.MetricsStore()
        for latency_ms in (-1.0, 0.0, 1e12):
            metrics.record_call(
                recorder.CallRecord(ORGANISATION, TARGET, latency_ms)
            )
        samples = samples_of(exposition.render(metrics).decode())
        bucket = "mangotally_target_latency_ms_bucket"
        self.assertEqual(samples[bucket, "+Inf,model-1"], 3)
        self.assertEqual(samples[bucket, "300000,model-1"], 2)


class EndpointTest(unittest.IsolatedAsyncioTestCase):
    """The endpoint `/metrics` of a host."""

    async def test_metrics_of_a_host(self) -> None:
        """Calls are exposed; a metrics key is valid for `/metrics` only."""
        fleet = fleet_lib.Fleet(hosts=1)
        async with fleet:
            host = fleet.local.hosts[0]
            await fleet.turn(await fleet.open_program(), 1, "hi")
            await fleet.request("GET", f"/services/{fleet_lib.PLAIN_SERVICE}/x")
            await fleet.request("GET", "/v1/programs/none")
            base = f"http://127.0.0.1:{host.settings.effective_operator_port}"
            platform = fleet.local.platform
            for path, presented, expected in (
                ("/admin/keys", platform.metrics_key, 401),
                ("/metrics", platform.operator_key, 200),
                ("/metrics", platform.metrics_key, 200),
                ("/metrics", fleet.key(), 401),
                ("/metrics", "", 401),
            ):
                status, text = await self._get(
                    fleet.session, base + path, presented
                )
                self.assertEqual(status, expected)
                if status == 200:
                    samples = samples_of(text)
            name = str(fleet_lib.ORGANISATION)
            count = "mangotally_organisation_latency_ms_count"
            self.assertEqual(samples[count, name], 2)
            self.assertEqual(
                samples["mangotally_refusals_total", "not-found"], 1
            )
            targets = [
                value
                for (metric, _), value in samples.items()
                if metric == "mangotally_target_first_token_ms_count"
            ]
            self.assertEqual(targets, [1])
            self.assertNotIn(fleet.key(), str(host.dump()))

    async def _get(
        self, session: aiohttp.ClientSession, url: str, key: str
    ) -> tuple[int, str]:
        headers = {"Authorization": f"Bearer {key}"}
        async with session.get(url, headers=headers) as response:
            return response.status, await response.text()
