"""Write back the applied configuration that a restored store has lost."""

import asyncio
import random
from collections.abc import Callable

from eliot import log_message

from egretrouter.backends import ObjectStore
from egretrouter.core.configuration import (
    INDEX_KEY,
    PART_KEY_PREFIX,
    ConfigurationError,
    ConfigurationIndex,
)
from egretrouter.core.errors import BackendError, ObjectMissingError, VersionConflictError
from egretrouter.core.identifiers import Digest

TRIES = 5
FIRST_DELAY_SECONDS = 1.0
"""The watching processes of all zones notice a restore together, so their writes are spread."""


async def write_back(
    store: ObjectStore,
    index: ConfigurationIndex,
    *,
    get_part: Callable[[Digest], bytes | None],
    rng: random.Random,
) -> None:
    """Write an index and its parts, unless the store has this generation or a higher one."""
    for attempt in range(TRIES):
        await asyncio.sleep(FIRST_DELAY_SECONDS * 2**attempt * rng.random())
        try:
            await _write_back_once(store, index, get_part)
        except VersionConflictError:
            # Another process has written it back, or an operator has published.
            continue
        except (BackendError, ConfigurationError) as error:
            log_message("control:write_back_failed", error=type(error).__name__)
        else:
            return


async def _write_back_once(
    store: ObjectStore, index: ConfigurationIndex, get_part: Callable[[Digest], bytes | None]
) -> None:
    version, stored_parts = 0, set[Digest]()
    try:
        stored = await store.get(INDEX_KEY)
    except ObjectMissingError:
        pass
    else:
        found = ConfigurationIndex.from_json(stored.content)
        if found.generation >= index.generation:
            return
        version, stored_parts = stored.version, set(found.parts.values())
    for digest in sorted(set(index.parts.values()) - stored_parts):
        content = get_part(digest)
        if content is not None:
            await _create(store, PART_KEY_PREFIX + digest, content)
    await store.put(INDEX_KEY, index.to_json(), expected_version=version)
    log_message("control:configuration_written_back", generation=index.generation)


async def _create(store: ObjectStore, key: str, content: bytes) -> None:
    try:
        await store.put(key, content, expected_version=0)
    except VersionConflictError:
        return  # The key is the digest of the content, so the object has the same content.
