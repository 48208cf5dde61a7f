"""Define the identifier types shared by every module."""

from typing import NewType

InstanceId = NewType("InstanceId", str)
ZoneId = NewType("ZoneId", str)
RegionId = NewType("RegionId", str)
WorkspaceId = NewType("WorkspaceId", str)
ServiceName = NewType("ServiceName", str)
ModelName = NewType("ModelName", str)
VersionName = NewType("VersionName", str)
EndpointId = NewType("EndpointId", str)
CallId = NewType("CallId", str)
PromptPartId = NewType("PromptPartId", str)
PublicationId = NewType("PublicationId", str)

Digest = NewType("Digest", str)
"""A lower-case hexadecimal BLAKE2b-256 digest."""

Generation = NewType("Generation", int)
Epoch = NewType("Epoch", int)
ChunkIndex = NewType("ChunkIndex", int)
