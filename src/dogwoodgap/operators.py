"""Adapters of a node's components to the interfaces of the administration API."""

from dogwoodgap import admin_parts, configuration, fleet, models, revisions, serving


class ConfigurationAdapter:
    """Access to the fleet configuration for the administration API."""

    def __init__(self, node_configuration: configuration.Configuration):
        self.configuration = node_configuration

    @property
    def current(self) -> models.FleetConfiguration:
        """The configuration in force on this node."""
        return self.configuration.current

    async def update(
        self,
        document: models.FleetConfiguration,
        expected_generation: int,
        author: str,
        note: str,
    ) -> models.FleetConfiguration:
        """Store the next generation, or raise ConfigurationConflictError."""
        generation = await self.configuration.update(document, expected_generation, author, note)
        return document.model_copy(update={"generation": generation})

    async def history(self, limit: int) -> list[revisions.Revision]:
        """Return up to ``limit`` latest revisions, newest first."""
        return await self.configuration.history(limit)

    async def get(self, generation: int) -> models.FleetConfiguration:
        """Return the configuration of a stored generation."""
        return await self.configuration.get(generation)

    async def in_force(self) -> dict[str, int]:
        """Return the generation in force on each live node."""
        return {entry.node: entry.generation for entry in await self.configuration.in_force()}


class NodesAdapter:
    """Access to the nodes of the fleet for the administration API."""

    def __init__(self, node_fleet: fleet.Fleet, stop: serving.GracefulStop):
        self.fleet = node_fleet
        self.stop = stop

    @property
    def own_name(self) -> str:
        """The name of this node."""
        return self.fleet.name

    def list(self) -> list[admin_parts.NodeInfo]:
        """Return all known nodes, sorted by name."""
        table = self.fleet.membership.table.members
        return [
            admin_parts.NodeInfo(
                name=member.node,
                boot=member.boot,
                data_centre=member.data_centre,
                state=member.status.name.lower(),
                http_address=self.fleet.with_scheme(member.http_address),
                generation=self.generation(member.node),
            )
            for member in sorted(table.values(), key=lambda entry: entry.node)
        ]

    def generation(self, node: str) -> int:
        """Return the last known generation in force on a node; 0 for an unknown node."""
        if node == self.own_name:
            return self.fleet.configuration.generation
        member = self.fleet.membership.find(node)
        return member.configuration_generation if member is not None else 0

    async def drain(self, author: str) -> None:
        """Start a graceful stop of this node; ``author`` is not used."""
        self.stop.request()
