"""The order in which a node starts and ends its parts."""

import types

import anyio

from dogwoodgap import node, settings


class EndingNode(node.Node):
    """A node with one background task and nothing else, that stops at once."""

    def __init__(self):
        sections = {
            "node": {"name": "n1", "data_centre": "dc"},
            "platform": {"url": "http://127.0.0.1:1"},
        }
        super().__init__(settings.NodeSettings.model_validate(sections))
        self.polling = False
        self.polled_at_close = None

    def build(self, platform, fresh):
        membership = types.SimpleNamespace(depart=anyio.lowlevel.checkpoint)
        self.fleet = types.SimpleNamespace(membership=membership)
        self.backends = types.SimpleNamespace(aclose=self.note_close)

    async def serve(self):
        self.tasks.start_soon(self.poll)
        await anyio.wait_all_tasks_blocked()

    async def poll(self):
        self.polling = True
        try:
            await anyio.sleep_forever()
        finally:
            self.polling = False

    async def note_close(self):
        self.polled_at_close = self.polling


def test_polls_end_before_the_backend_clients_are_closed():
    """Guards against a planned stop that ends with a poll's error on a closed client."""
    ending = EndingNode()
    anyio.run(ending.run)
    assert ending.polled_at_close is False
