"""Derive the limits of copies from an instance's link and the time allowed for a switch."""

from egretrouter.core.objective import Objective
from egretrouter.core.weights import CopySettings, Manifest, PartWindow
from egretrouter.daemons._copies import CopyLimits, link_bucket
from egretrouter.daemons._weight_transfers import NarrowLink
from egretrouter.direct._settings import DirectSettings

UNLIMITED_BYTES = 1 << 40
# The rest of the link carries the calls of the engine on the same instance. Its event streams share
# the uplink with uploads and are delayed more easily than its requests, which are small.
UPLOAD_LINK_SHARE = 0.85
DOWNLOAD_LINK_SHARE = 0.97
PART_BYTES = 8 * 1024
# Parts are paced by the sender, so one that takes longer than this was queued in the network.
SLOW_PART_SECONDS = 0.25
COPY_BURST_BYTES = 40 * 1024


def narrow_link(settings: DirectSettings) -> NarrowLink:
    """Limit copies to a share of the instance's link, and leave the rest to live calls."""
    bytes_per_second = settings.link_bits_per_second / 8
    return NarrowLink(
        downloads=link_bucket(DOWNLOAD_LINK_SHARE * bytes_per_second, COPY_BURST_BYTES),
        uploads=link_bucket(UPLOAD_LINK_SHARE * bytes_per_second, PART_BYTES),
        part_bytes=PART_BYTES,
        window=PartWindow(slow_seconds=SLOW_PART_SECONDS),
    )


def copy_limits(settings: DirectSettings) -> CopyLimits:
    """Scale the timeouts of copies to the time allowed for a switch of versions."""
    switch_seconds = settings.bounds.weights_ms / 1000
    return CopyLimits(
        zone_bytes_per_minute=UNLIMITED_BYTES,
        expected_members=1,
        # The link is limited per part, so no limit per chunk is needed.
        instance_bytes_per_second=UNLIMITED_BYTES,
        regional_bytes_per_second=UNLIMITED_BYTES,
        settings=CopySettings(
            objective=Objective.TIME,
            origin_copies=1,
            parallel_fetches=4,
            parallel_fetches_beside_origin=1,
            parallel_origin_fetches=2,
            parallel_remote_fetches=4,
            parallel_fetches_per_source=2,
            parallel_uploads=4,
            max_upload_delay_seconds=switch_seconds / 32,
            discovery_seconds=switch_seconds / 40,
            fallback_seconds=switch_seconds / 20,
            ask_timeout_seconds=switch_seconds / 27,
            announce_seconds=switch_seconds / 32,
            ramp_announce_seconds=switch_seconds / 64,
            deadline_initial_seconds=switch_seconds / 8,
            deadline_min_seconds=switch_seconds / 16,
            deadline_max_seconds=switch_seconds / 2,
            busy_seconds=switch_seconds / 80,
            backoff_min_seconds=switch_seconds / 32,
            backoff_max_seconds=switch_seconds / 4,
            origin_backoff_max_seconds=switch_seconds / 20,
            quarantine_seconds=switch_seconds / 4,
            serve_after_load_seconds=3600.0,
            pause_seconds=switch_seconds / 4,
        ),
    )


def copy_seconds(settings: DirectSettings, manifest: Manifest) -> float:
    """Return the minimum duration of a copy at the link's download rate."""
    bits_per_second = DOWNLOAD_LINK_SHARE * settings.link_bits_per_second
    return 8 * manifest.weight_bytes / bits_per_second
