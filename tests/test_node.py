"""Tests of the order in which a node stops its components."""

import types

import anyio

from dogwoodgap import node, settings


class StoppingNode(node.Node):
    """A node whose only component is one background task, and which stops at once."""

    def __init__(self):
        sections = {
            "node": {"name": "n1", "data_centre": "dc"},
            "platform": {"url": "http://127.0.0.1:1"},
        }
        super().__init__(settings.NodeSettings.model_validate(sections))
        self.polling = False
        self.polling_at_close = None

    def build(self, platform_client, unpooled):
        membership = types.SimpleNamespace(depart=anyio.lowlevel.checkpoint)
        self.fleet = types.SimpleNamespace(membership=membership)
        self.backends = types.SimpleNamespace(aclose=self.record_close)

    async def serve(self):
        self.tasks.start_soon(self.poll)
        await anyio.wait_all_tasks_blocked()

    async def poll(self):
        self.polling = True
        try:
            await anyio.sleep_forever()
        finally:
            self.polling = False

    async def record_close(self):
        self.polling_at_close = self.polling


def test_background_tasks_end_before_the_backend_clients_are_closed():
    """Guards against a background task that fails on a closed client during a planned stop."""
    stopping_node = StoppingNode()
    anyio.run(stopping_node.run)
    assert stopping_node.polling_at_close is False
